#include "daemon/platform_poller.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds listTimeout { 2000 };
    constexpr Milliseconds loadTimeout { 1000 };

    LoadReported parseLoadReport(const UpstreamId& id, TimePoint askedAt, const HttpResult& result)
    {
        LoadReported report { .upstream = id, .askedAt = askedAt, .reachable = result.end == HttpEnd::Complete };
        auto json = Json::parse(result.body, nullptr, false);
        if (!json.is_object())
            return report;
        report.running = json.value("running", std::int64_t { 0 });
        report.waiting = json.value("waiting", std::int64_t { 0 });
        report.leaving = json.value("leaving", false);
        return report;
    }

}

PlatformPoller::PlatformPoller(PollerSettings settings, HttpClient& client, ControlLoop& control, PeerTransport* peers)
    : m_settings(std::move(settings))
    , m_client(client)
    , m_control(control)
    , m_peers(peers)
    , m_thread([this] { run(); })
{
}

PlatformPoller::~PlatformPoller()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopRequested.notify_one();
    m_thread.join();
}

void PlatformPoller::run()
{
    using Clock = std::chrono::steady_clock;
    auto nextList = Clock::now();
    auto nextLoad = nextList;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        auto now = Clock::now();
        if (now >= nextList && !m_settings.listAddress.empty()) {
            nextList = now + m_settings.listPeriod;
            requestInstanceList();
        }
        if (now >= nextLoad) {
            nextLoad = now + m_settings.loadPeriod;
            requestLoads();
        }
        auto next = m_settings.listAddress.empty() ? nextLoad : std::min(nextList, nextLoad);
        m_stopRequested.wait_until(lock, next, [&] { return m_stopping; });
    }
}

void PlatformPoller::requestInstanceList()
{
    HttpCall call { .address = m_settings.listAddress, .path = "/v1/instances", .timeout = listTimeout };
    m_client.start(std::move(call), { .onEnd = [this](const HttpResult& result) { onInstanceList(result); } });
}

void PlatformPoller::onInstanceList(const HttpResult& result)
{
    auto json = Json::parse(result.body, nullptr, false);
    if (result.end != HttpEnd::Complete || !json.is_array())
        return;
    InstancesListed listed;
    for (const auto& it : json) {
        if (!it.is_object())
            continue;
        bool isEntry = it.value("role", "") == "entry";
        ListedInstance instance { it.value("id", ""), isEntry ? InstanceRole::Entry : InstanceRole::Upstream, it.value("address", ""), it.value("state", "") == "leaving" };
        auto peerAddress = it.value("peer_address", "");
        if (isEntry && m_peers && !peerAddress.empty())
            m_peers->setAddress({ instance.id }, peerAddress);
        listed.instances.push_back(std::move(instance));
    }
    m_control.post(std::move(listed));
}

void PlatformPoller::requestLoads()
{
    m_control.postTask([this](Router& router, TimePoint now, Outbox&) {
        if (!router.configManager().current())
            return;
        for (const auto& [id, upstream] : router.configManager().current()->upstreams) {
            HttpCall call { .address = upstream.address, .path = "/v1/load", .timeout = loadTimeout, .connectTimeout = loadTimeout };
            m_client.start(std::move(call), { .onEnd = [this, id = id, now](const HttpResult& result) { m_control.post(parseLoadReport(id, now, result)); } });
        }
    });
}

}
