#pragma once

// The release that recently served each session, at this or another instance. During the canary stage, a rollout keeps active
// sessions on their release. Only sessions whose hash falls into the canary share could move to the target in that stage, so
// callers record only these, and heartbeats carry only these to the other instances.

#include "core/membership/fleet_heartbeat.h"

#include <absl/container/flat_hash_map.h>

namespace skylarkhitch {

class SessionReleases {
public:
    // A session is active for this long after its last request.
    explicit SessionReleases(Milliseconds sessionTimeout)
        : m_sessionTimeout(sessionTimeout)
    {
    }

    // `session` is a hash of the session id.
    void recordServed(std::uint64_t session, const std::string& release, TimePoint now);
    // Merges the sessions that another instance told; the most recent sighting wins, if the time that a heartbeat takes does not
    // explain the difference.
    void learn(const std::vector<RecentSession>&, TimePoint now);
    // The release of an active session, or null.
    const std::string* releaseOf(std::uint64_t session, TimePoint now) const;
    // Active sessions last seen by this instance, for its heartbeats.
    std::vector<RecentSession> own(TimePoint now) const;
    // The same with those learned from others, for the heartbeats of a site whose instances do not all hear each other: the most
    // recent ones, `max` at most.
    std::vector<RecentSession> all(TimePoint now, std::size_t max) const;
    // The same for one heartbeat of several: those seen lately, and of the others one part after the other.
    std::vector<RecentSession> inTurn(TimePoint now, std::size_t turn, std::size_t max) const;
    // Drops the sessions that are no longer active.
    void forget(TimePoint now);

private:
    // Sightings that each heartbeat has.
    static constexpr Milliseconds recentTime { 1500 };
    // Parts of the others. An odd number, since a receiver may get every second heartbeat.
    static constexpr std::size_t parts = 3;

    static void keepMostRecent(std::vector<RecentSession>&, std::size_t max);

    struct Sighting {
        std::string release;
        TimePoint at;
        // Seen by this instance, not learned from another.
        bool own = false;
    };
    Milliseconds m_sessionTimeout;
    absl::flat_hash_map<std::uint64_t, Sighting> m_sightings;
};

}
