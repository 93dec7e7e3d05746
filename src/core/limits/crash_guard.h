#pragma once

// Tracks requests suspected of crashing upstreams, by request fingerprint. A request whose upstream crashed during an
// attempt may run once more. After a second crash every instance refuses it for a while, including when the caller sends
// it again to another instance.

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <string>
#include <vector>

namespace skylarkhitch {

class CrashGuard {
public:
    // Crash count, over all instances, at which a request is refused.
    static constexpr std::int64_t crashLimit = 2;

    // Records that the connection to the upstream was lost during the request. Each upstream counts once per request at this
    // instance. Callers may pass an id of the upstream process, so that a response after a restart does not withdraw the crash.
    void recordCrash(const std::string& fingerprint, const UpstreamId&, TimePoint);
    // Records that the upstream responded to a request or probe sent at this time, which rules out a crash for any connection
    // lost before then: these no longer count.
    void recordAlive(const UpstreamId&, TimePoint askedAt);
    // Replaces the counts received from a peer. The counts of all instances are added up.
    void learn(const InstanceId& from, const std::map<std::string, std::int64_t>& crashes, TimePoint);

    bool refuses(const std::string& fingerprint) const;
    std::int64_t crashCount(const std::string& fingerprint) const;
    // This instance's counts, for its heartbeats.
    std::map<std::string, std::int64_t> own() const;
    // Drops requests for which no crash was recorded here or reported by a peer since this time.
    void forget(TimePoint olderThan);

private:
    struct CrashCounts {
        std::int64_t own = 0;
        std::map<InstanceId, std::int64_t> peers;
        // When a crash was last recorded here or reported by a peer.
        TimePoint at;
    };
    absl::flat_hash_map<std::string, CrashCounts> m_counts;
    // A lost connection that counts as a crash unless the upstream responds to a later request or probe.
    struct SuspectedCrash {
        std::string fingerprint;
        TimePoint at;
    };
    absl::flat_hash_map<UpstreamId, std::vector<SuspectedCrash>> m_suspectedCrashes;
};

}
