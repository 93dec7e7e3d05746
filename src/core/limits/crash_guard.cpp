#include "core/limits/crash_guard.h"

#include <algorithm>

namespace skylarkhitch {

void CrashGuard::recordCrash(const std::string& fingerprint, const UpstreamId& upstream, TimePoint now)
{
    auto& counts = m_counts[fingerprint];
    counts.at = now;
    auto& suspectedCrashes = m_suspectedCrashes[upstream];
    auto known = std::find_if(suspectedCrashes.begin(), suspectedCrashes.end(), [&](const SuspectedCrash& it) { return it.fingerprint == fingerprint; });
    if (known != suspectedCrashes.end()) {
        known->at = now;
        return;
    }
    ++counts.own;
    suspectedCrashes.push_back({ fingerprint, now });
}

void CrashGuard::recordAlive(const UpstreamId& upstream, TimePoint askedAt)
{
    auto it = m_suspectedCrashes.find(upstream);
    if (it == m_suspectedCrashes.end())
        return;
    std::erase_if(it->second, [&](const SuspectedCrash& suspected) {
        if (askedAt <= suspected.at)
            return false;
        auto counts = m_counts.find(suspected.fingerprint);
        if (counts != m_counts.end())
            counts->second.own = std::max<std::int64_t>(0, counts->second.own - 1);
        return true;
    });
    if (it->second.empty())
        m_suspectedCrashes.erase(it);
}

void CrashGuard::learn(const InstanceId& from, const std::map<std::string, std::int64_t>& crashes, TimePoint now)
{
    // A fingerprint that is missing from the peer's counts has been withdrawn by the peer.
    for (auto& [fingerprint, counts] : m_counts) {
        if (!crashes.contains(fingerprint))
            counts.peers.erase(from);
    }
    for (const auto& [fingerprint, n] : crashes) {
        auto& counts = m_counts[fingerprint];
        counts.peers[from] = n;
        counts.at = std::max(counts.at, now);
    }
}

std::int64_t CrashGuard::crashCount(const std::string& fingerprint) const
{
    auto it = m_counts.find(fingerprint);
    if (it == m_counts.end())
        return 0;
    auto sum = it->second.own;
    for (const auto& [id, n] : it->second.peers)
        sum += n;
    return sum;
}

bool CrashGuard::refuses(const std::string& fingerprint) const
{
    return crashCount(fingerprint) >= crashLimit;
}

std::map<std::string, std::int64_t> CrashGuard::own() const
{
    std::map<std::string, std::int64_t> ownCounts;
    for (const auto& [fingerprint, counts] : m_counts) {
        if (counts.own > 0)
            ownCounts[fingerprint] = counts.own;
    }
    return ownCounts;
}

void CrashGuard::forget(TimePoint olderThan)
{
    absl::erase_if(m_counts, [&](const auto& it) { return it.second.at < olderThan; });
    for (auto& [upstream, suspectedCrashes] : m_suspectedCrashes)
        std::erase_if(suspectedCrashes, [&](const SuspectedCrash& it) { return it.at < olderThan; });
    absl::erase_if(m_suspectedCrashes, [](const auto& it) { return it.second.empty(); });
}

}
