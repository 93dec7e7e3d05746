#include "core/rollout/session_releases.h"

namespace skylarkhitch {

void SessionReleases::recordServed(std::uint64_t session, const std::string& release, TimePoint now)
{
    m_sightings[session] = { release, now, true };
}

void SessionReleases::learn(const std::vector<RecentSession>& sessions, TimePoint now)
{
    for (const auto& it : sessions) {
        auto at = now - it.age;
        auto [sighting, isNew] = m_sightings.try_emplace(it.session, Sighting { it.release, at, false });
        if (!isNew && sighting->second.at < at)
            sighting->second = { it.release, at, false };
    }
}

const std::string* SessionReleases::releaseOf(std::uint64_t session, TimePoint now) const
{
    auto it = m_sightings.find(session);
    return it == m_sightings.end() || now - it->second.at > m_sessionTimeout ? nullptr : &it->second.release;
}

std::vector<RecentSession> SessionReleases::own(TimePoint now) const
{
    std::vector<RecentSession> sessions;
    for (const auto& [session, it] : m_sightings) {
        if (it.own && now - it.at <= m_sessionTimeout)
            sessions.push_back({ session, it.release, toMilliseconds(now - it.at) });
    }
    return sessions;
}

void SessionReleases::forget(TimePoint now)
{
    absl::erase_if(m_sightings, [&](const auto& it) { return now - it.second.at > m_sessionTimeout; });
}

}
