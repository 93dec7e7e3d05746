#pragma once

// The release that recently served each session, at this or another instance. A roll-out keeps active sessions on their
// release. Only sessions in the canary's part of the hash space could be moved early, so only these are tracked and
// sent to the other instances.

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

    void recordServed(std::uint64_t session, const std::string& release, TimePoint now);
    // Merges the sessions seen by another instance; the most recent sighting wins.
    void learn(const std::vector<RecentSession>&, TimePoint now);
    // The release of an active session, or null.
    const std::string* releaseOf(std::uint64_t session, TimePoint now) const;
    // Active sessions last seen by this instance, for its heartbeats.
    std::vector<RecentSession> own(TimePoint now) const;
    void forget(TimePoint now);

private:
    struct Sighting {
        std::string release;
        TimePoint at;
        bool own = false;
    };
    Milliseconds m_sessionTimeout;
    absl::flat_hash_map<std::uint64_t, Sighting> m_sightings;
};

}
