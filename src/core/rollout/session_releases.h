#pragma once

// Which release a session was served by lately, here or at another instance. A roll-out leaves sessions that are under
// way on their release; only sessions in the canary's part of the hash space can be moved early, so only these have to
// be remembered and spread.

#include "core/membership/fleet_beat.h"

#include <absl/container/flat_hash_map.h>

namespace skylarkhitch {

class SessionReleases {
public:
    // Requests of a session that follow each other within this time belong together.
    explicit SessionReleases(Milliseconds sessionTime)
        : m_sessionTime(sessionTime)
    {
    }

    void seen(std::uint64_t session, const std::string& release, TimePoint now);
    // What another instance saw.
    void learn(const std::vector<SessionSeen>&, TimePoint now);
    // The release of a session that is under way, or null.
    const std::string* releaseOf(std::uint64_t session, TimePoint now) const;
    // What this instance saw itself, for its beats.
    std::vector<SessionSeen> own(TimePoint now) const;
    void forget(TimePoint now);

private:
    struct Trace {
        std::string release;
        TimePoint at;
        bool own = false;
    };
    Milliseconds m_sessionTime;
    absl::flat_hash_map<std::uint64_t, Trace> m_traces;
};

}
