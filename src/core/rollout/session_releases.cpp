#include "core/rollout/session_releases.h"

namespace skylarkhitch {

void SessionReleases::seen(std::uint64_t session, const std::string& release, TimePoint now)
{
    m_traces[session] = { release, now, true };
}

void SessionReleases::learn(const std::vector<SessionSeen>& sessions, TimePoint now)
{
    for (const auto& it : sessions) {
        auto at = now - it.age;
        auto [trace, isNew] = m_traces.try_emplace(it.session, Trace { it.release, at, false });
        if (!isNew && trace->second.at < at)
            trace->second = { it.release, at, false };
    }
}

const std::string* SessionReleases::releaseOf(std::uint64_t session, TimePoint now) const
{
    auto it = m_traces.find(session);
    return it == m_traces.end() || now - it->second.at > m_sessionTime ? nullptr : &it->second.release;
}

std::vector<SessionSeen> SessionReleases::own(TimePoint now) const
{
    std::vector<SessionSeen> sessions;
    for (const auto& [session, it] : m_traces) {
        if (it.own && now - it.at <= m_sessionTime)
            sessions.push_back({ session, it.release, toMilliseconds(now - it.at) });
    }
    return sessions;
}

void SessionReleases::forget(TimePoint now)
{
    absl::erase_if(m_traces, [&](const auto& it) { return now - it.second.at > m_sessionTime; });
}

}
