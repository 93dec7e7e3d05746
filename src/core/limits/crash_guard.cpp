#include "core/limits/crash_guard.h"

#include <algorithm>

namespace skylarkhitch {

void CrashGuard::fell(const std::string& fingerprint, const UpstreamId& upstream, TimePoint now)
{
    auto& trace = m_traces[fingerprint];
    trace.at = now;
    auto& suspicions = m_suspicions[upstream];
    auto known = std::find_if(suspicions.begin(), suspicions.end(), [&](const Suspicion& it) { return it.fingerprint == fingerprint; });
    if (known != suspicions.end()) {
        known->at = now;
        return;
    }
    ++trace.own;
    suspicions.push_back({ fingerprint, now });
}

void CrashGuard::stillUp(const UpstreamId& upstream, TimePoint askedAt)
{
    auto it = m_suspicions.find(upstream);
    if (it == m_suspicions.end())
        return;
    std::erase_if(it->second, [&](const Suspicion& suspicion) {
        if (askedAt <= suspicion.at)
            return false;
        auto trace = m_traces.find(suspicion.fingerprint);
        if (trace != m_traces.end())
            trace->second.own = std::max<std::int64_t>(0, trace->second.own - 1);
        return true;
    });
    if (it->second.empty())
        m_suspicions.erase(it);
}

void CrashGuard::learn(const InstanceId& from, const std::map<std::string, std::int64_t>& crashes, TimePoint now)
{
    // A fingerprint that is missing from the peer's counts has been withdrawn by the peer.
    for (auto& [fingerprint, trace] : m_traces) {
        if (!crashes.contains(fingerprint))
            trace.peers.erase(from);
    }
    for (const auto& [fingerprint, n] : crashes) {
        auto& trace = m_traces[fingerprint];
        trace.peers[from] = n;
        trace.at = std::max(trace.at, now);
    }
}

std::int64_t CrashGuard::fallsOf(const std::string& fingerprint) const
{
    auto it = m_traces.find(fingerprint);
    if (it == m_traces.end())
        return 0;
    auto sum = it->second.own;
    for (const auto& [id, n] : it->second.peers)
        sum += n;
    return sum;
}

bool CrashGuard::refuses(const std::string& fingerprint) const
{
    return fallsOf(fingerprint) >= falls;
}

std::map<std::string, std::int64_t> CrashGuard::own() const
{
    std::map<std::string, std::int64_t> counts;
    for (const auto& [fingerprint, trace] : m_traces) {
        if (trace.own > 0)
            counts[fingerprint] = trace.own;
    }
    return counts;
}

void CrashGuard::forget(TimePoint olderThan)
{
    absl::erase_if(m_traces, [&](const auto& it) { return it.second.at < olderThan; });
    for (auto& [upstream, suspicions] : m_suspicions)
        std::erase_if(suspicions, [&](const Suspicion& it) { return it.at < olderThan; });
    absl::erase_if(m_suspicions, [](const auto& it) { return it.second.empty(); });
}

}
