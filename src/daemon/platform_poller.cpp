#include "daemon/platform_poller.h"

#include "adapters/callback_guard.h"
#include "daemon/platform_documents.h"

namespace skylarkhitch {

namespace {

    constexpr Milliseconds listTimeout { 2000 };
    constexpr Milliseconds loadTimeout { 1000 };

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
            runGuarded("instance_list", [this] { requestInstanceList(); });
        }
        if (now >= nextLoad) {
            nextLoad = now + m_settings.loadPeriod;
            runGuarded("loads", [this] { requestLoads(); });
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
    auto list = parseInstanceList(result);
    if (!list)
        return;
    if (m_peers) {
        for (const auto& [id, address] : list->peerAddresses)
            m_peers->setAddress(id, address);
    }
    m_control.post(std::move(list->listed));
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
