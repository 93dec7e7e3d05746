#include "core/rollout/session_releases.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    // Without a margin, two instances would make a sighting later and later by telling it each other.
    constexpr Milliseconds ageTolerance { 100 };

}

void SessionReleases::recordServed(std::uint64_t session, const std::string& release, TimePoint now)
{
    m_sightings[session] = { release, now, true };
}

void SessionReleases::learn(const std::vector<RecentSession>& sessions, TimePoint now)
{
    for (const auto& it : sessions) {
        auto at = now - it.age;
        auto [sighting, isNew] = m_sightings.try_emplace(it.session, Sighting { it.release, at, false });
        if (!isNew && sighting->second.at + ageTolerance < at)
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

std::vector<RecentSession> SessionReleases::all(TimePoint now, std::size_t max) const
{
    std::vector<RecentSession> sessions;
    for (const auto& [session, it] : m_sightings) {
        if (now - it.at <= m_sessionTimeout)
            sessions.push_back({ session, it.release, std::max(Milliseconds(0), toMilliseconds(now - it.at)) });
    }
    keepMostRecent(sessions, max);
    return sessions;
}

std::vector<RecentSession> SessionReleases::inTurn(TimePoint now, std::size_t turn, std::size_t max) const
{
    auto sessions = all(now, m_sightings.size());
    std::erase_if(sessions, [&](const auto& it) { return it.age > recentTime && it.session % parts != turn % parts; });
    keepMostRecent(sessions, max);
    return sessions;
}

void SessionReleases::keepMostRecent(std::vector<RecentSession>& sessions, std::size_t max)
{
    if (sessions.size() <= max)
        return;
    auto end = sessions.begin() + static_cast<std::ptrdiff_t>(max);
    std::nth_element(sessions.begin(), end, sessions.end(), [](const auto& a, const auto& b) { return a.age < b.age; });
    sessions.resize(max);
}

void SessionReleases::forget(TimePoint now)
{
    absl::erase_if(m_sightings, [&](const auto& it) { return now - it.second.at > m_sessionTimeout; });
}

}
