#include "core/limits/crash_guard.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // Separates the fingerprint and the upstream in the keys of heartbeats.
    constexpr const char* separator = "@";

    // Bits of a hash, since all crashes have to fit into a datagram. Only crashes on the same request are told apart.
    std::string nameInHeartbeats(const UpstreamId& upstream) { return absl::StrCat(absl::Hex(hashOf(upstream.value) & 0xffff)); }

}

void CrashGuard::recordCrash(const std::string& fingerprint, const UpstreamId& upstream, TimePoint now)
{
    m_crashes[fingerprint].own[nameInHeartbeats(upstream)] = now;
    m_fingerprints[upstream].insert(fingerprint);
}

void CrashGuard::recordAlive(const UpstreamId& upstream, TimePoint askedAt)
{
    auto fingerprints = m_fingerprints.find(upstream);
    if (fingerprints == m_fingerprints.end())
        return;
    auto name = nameInHeartbeats(upstream);
    absl::erase_if(fingerprints->second, [&](const std::string& fingerprint) {
        auto crashes = m_crashes.find(fingerprint);
        if (crashes == m_crashes.end())
            return true;
        auto own = crashes->second.own.find(name);
        if (own != crashes->second.own.end() && askedAt <= own->second)
            return false;
        crashes->second.own.erase(name);
        return true;
    });
    if (fingerprints->second.empty())
        m_fingerprints.erase(fingerprints);
}

void CrashGuard::learn(const Incarnation& from, const std::map<std::string, std::int64_t>& crashes, TimePoint now)
{
    // Most peers have none to tell or to withdraw.
    if (crashes.empty() && !m_tellers.contains(from))
        return;
    if (crashes.empty())
        m_tellers.erase(from);
    else
        m_tellers.insert(from);
    // What is missing was withdrawn by the peer.
    for (auto& [fingerprint, known] : m_crashes)
        known.peers.erase(from);
    for (const auto& [key, n] : crashes) {
        auto end = key.find(separator);
        auto& peer = m_crashes[key.substr(0, end)].peers[from];
        peer.at = now;
        if (end == std::string::npos)
            peer.unnamed += n;
        else
            peer.upstreams.insert(key.substr(end + 1));
    }
}

std::int64_t CrashGuard::crashCount(const std::string& fingerprint) const
{
    auto it = m_crashes.find(fingerprint);
    if (it == m_crashes.end())
        return 0;
    absl::flat_hash_set<std::string> upstreams;
    for (const auto& [name, at] : it->second.own)
        upstreams.insert(name);
    std::int64_t unnamed = 0;
    for (const auto& [id, peer] : it->second.peers) {
        upstreams.insert(peer.upstreams.begin(), peer.upstreams.end());
        unnamed += peer.unnamed;
    }
    return static_cast<std::int64_t>(upstreams.size()) + unnamed;
}

bool CrashGuard::refuses(const std::string& fingerprint) const
{
    return m_recorded.contains(fingerprint) || crashCount(fingerprint) >= crashLimit;
}

bool CrashGuard::isOnlyRecorded(const std::string& fingerprint) const
{
    return m_recorded.contains(fingerprint) && crashCount(fingerprint) < crashLimit;
}

std::map<std::string, std::int64_t> CrashGuard::refused() const
{
    std::map<std::string, std::int64_t> refused;
    for (const auto& it : m_crashes) {
        if (auto n = crashCount(it.first); n >= crashLimit)
            refused[it.first] = n;
    }
    return refused;
}

std::map<std::string, std::int64_t> CrashGuard::own() const
{
    std::map<std::string, std::int64_t> crashes;
    for (const auto& [fingerprint, it] : m_crashes) {
        for (const auto& [name, at] : it.own)
            crashes[absl::StrCat(fingerprint, separator, name)] = 1;
    }
    return crashes;
}

std::map<std::string, std::int64_t> CrashGuard::ownCounts() const
{
    std::map<std::string, std::int64_t> counts;
    for (const auto& [fingerprint, it] : m_crashes) {
        if (!it.own.empty())
            counts[fingerprint] = static_cast<std::int64_t>(it.own.size());
    }
    return counts;
}

void CrashGuard::forget(TimePoint olderThan)
{
    m_tellers.clear();
    for (auto& [fingerprint, it] : m_crashes) {
        absl::erase_if(it.own, [&](const auto& own) { return own.second < olderThan; });
        std::erase_if(it.peers, [&](const auto& peer) { return peer.second.at < olderThan; });
        for (const auto& [peer, crashes] : it.peers)
            m_tellers.insert(peer);
    }
    absl::erase_if(m_crashes, [](const auto& it) { return it.second.own.empty() && it.second.peers.empty(); });
    for (auto& [upstream, fingerprints] : m_fingerprints)
        absl::erase_if(fingerprints, [&](const std::string& it) { return !m_crashes.contains(it); });
    absl::erase_if(m_fingerprints, [](const auto& it) { return it.second.empty(); });
}

}
