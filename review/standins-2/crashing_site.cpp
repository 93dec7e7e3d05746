#include "crashing_site.h"

#include <algorithm>

namespace review {

CrashingSite::CrashingSite(Record& record)
    : m_record(record)
{
}

CrashingSite::~CrashingSite()
{
    m_isOver = true;
    for (auto* threads : { &m_callers, &m_fatal }) {
        for (auto& it : *threads) {
            if (it.joinable())
                it.join();
        }
    }
    m_store.cutWatches();
}

bool CrashingSite::start(const std::string& sharedParts, int callers)
{
    m_store.put("op/config", configuration(3).dump());
    for (int n = 1; n <= engineCount; ++n)
        m_engines.emplace_back(m_store, m_record, absl::StrCat("i-", n));
    for (int n = 1; n <= instanceCount; ++n)
        m_instances.emplace_back(m_folder, absl::StrCat("edge-", n), absl::StrCat("127.0.0.", 10 + n), InstanceSettings { m_store.address(), absl::StrCat("127.0.0.11:", ports().peer) });
    for (auto& it : m_instances) {
        if (!it.awaitReady(10s))
            return false;
    }
    std::this_thread::sleep_for(1500ms);
    for (int caller = 0; caller < callers; ++caller) {
        m_callers.emplace_back([this, sharedParts] {
            while (!m_isOver) {
                int n = nextId();
                auto response = send("draft", absl::StrCat("sound-", n), absl::StrCat(sharedParts, ",5ab", n % 20, ":100,e", n, ":1000"));
                ++m_soundSent;
                m_soundServed += isWholeStream(response) ? 1 : 0;
                std::this_thread::sleep_for(100ms);
            }
        });
    }
    m_callers.emplace_back([this] {
        while (!m_isOver) {
            for (auto& it : m_engines)
                it.restartIfDue();
            std::this_thread::sleep_for(20ms);
        }
    });
    std::this_thread::sleep_for(2s);
    return true;
}

std::string CrashingSite::send(const std::string& route, const std::string& id, const std::string& parts)
{
    auto connection = m_instances[std::hash<std::string>()(id) % instanceCount].connect();
    if (!connection)
        return {};
    auto fields = absl::StrCat("X-Model-Name: m1\r\nX-Token-Count: 1600,60\r\nX-Prefix-Hash: ", parts, "\r\n");
    connection->write(requestBytes("POST", absl::StrCat("/", route, "/", id), id, 20000ms, fields, "prompt " + id));
    return connection->readResponse(20s);
}

void CrashingSite::sendFatal(const std::string& route, const std::string& parts)
{
    m_fatal.emplace_back([this, route, parts] {
        auto id = absl::StrCat("fatal-", nextId());
        auto response = send(route, id, parts);
        m_record.line(absl::StrCat(id, " answered ", statusOf(response)));
    });
}

std::optional<std::vector<Clock::time_point>> CrashingSite::finishAndListCrashes()
{
    for (auto& it : m_fatal)
        it.join();
    m_isOver = true;
    for (auto& it : m_callers)
        it.join();
    for (auto& it : m_instances) {
        if (it.hasEnded()) {
            m_record.line(it.name() + " has ended by itself");
            return std::nullopt;
        }
    }
    std::vector<Clock::time_point> crashes;
    for (auto& it : m_engines) {
        for (auto at : it.crashes())
            crashes.push_back(at);
    }
    std::sort(crashes.begin(), crashes.end());
    return crashes;
}

int CrashingSite::finish()
{
    auto crashes = finishAndListCrashes();
    if (!crashes)
        return couldNotRun;
    std::vector<Clock::time_point> requests;
    for (auto& it : m_engines) {
        for (auto at : it.fatalRequests())
            requests.push_back(at);
    }
    std::sort(requests.begin(), requests.end());
    m_record.line(absl::StrCat("sound requests: ", m_soundServed.load(), " of ", m_soundSent.load(), " served whole"));
    m_record.line(absl::StrCat(crashes->size(), " crashes; ", requests.size(), " requests with the part reached engines"));
    constexpr std::size_t crashesToCount = 5, allowed = 3;
    if (crashes->size() < crashesToCount) {
        m_record.line("fewer than five crashes: the rule holds");
        return hasTrouble() && crashes->empty() ? couldNotRun : held;
    }
    auto fifth = (*crashes)[crashesToCount - 1];
    auto late = static_cast<std::size_t>(requests.end() - std::upper_bound(requests.begin(), requests.end(), fifth + 3000ms));
    m_record.line(absl::StrCat("fifth crash at ", m_record.seconds(fifth), " s; later than 3 s after it ", late, " requests with the part reached engines; allowed ", allowed));
    return late > allowed ? broken : held;
}

}
