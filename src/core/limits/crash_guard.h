#pragma once

// Tracks requests suspected of crashing upstreams, by request fingerprint. A request whose upstream crashed during an
// attempt may run once more. After a second crash every instance refuses it for a while, including when the caller sends
// it again to another instance. Requests that are alike have the same fingerprint, so several instances may lose one each in the same
// crash; it counts once. What instances that have all ended knew comes back from the platform's store, see QuarantineRecords.

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <map>
#include <set>
#include <string>

namespace skylarkhitch {

class CrashGuard {
public:
    // Crash count, over all instances, at which a request is refused.
    static constexpr std::int64_t crashLimit = 2;
    // Crashes are kept for as long as a caller may resend the request that caused them.
    static constexpr Seconds retention { 120 };

    // Records that the connection to the upstream was lost during the request. Each upstream counts once per request. Callers may pass
    // an id of the upstream process, so that a response after a restart does not withdraw the crash.
    void recordCrash(const std::string& fingerprint, const UpstreamId&, TimePoint);
    // Records that the upstream responded to a request or probe sent at this time, which rules out a crash for any connection
    // lost before then: these no longer count.
    void recordAlive(const UpstreamId&, TimePoint askedAt);
    // Replaces the crashes received from a process of a peer, in the form of own(). Those of its former processes stay until they are
    // forgotten: a process that ended withdraws nothing.
    void learn(const Incarnation& from, const std::map<std::string, std::int64_t>& crashes, TimePoint);

    // Replaces the requests that are refused because the store names them, whatever crashes are known.
    void setRecorded(absl::flat_hash_set<std::string> fingerprints) { m_recorded = std::move(fingerprints); }

    bool refuses(const std::string& fingerprint) const;
    // Whether the request is refused only because the store names it.
    bool isOnlyRecorded(const std::string& fingerprint) const;
    // The requests that are refused because of crashes that are known here, with their crash counts.
    std::map<std::string, std::int64_t> refused() const;
    std::int64_t crashCount(const std::string& fingerprint) const;
    // This instance's crashes, for its heartbeats. A key names the fingerprint and the upstream; one that names the fingerprint only
    // counts crashes of unknown upstreams.
    std::map<std::string, std::int64_t> own() const;
    // The same without the upstreams, for callers whose ids of upstreams do not tell one crash of an upstream from the next.
    std::map<std::string, std::int64_t> ownCounts() const;
    // Drops the crashes that were recorded here before this time, and requests of which no peer has reported one since.
    void forget(TimePoint olderThan);

private:
    struct PeerCrashes {
        absl::flat_hash_set<std::string> upstreams;
        // Of unknown upstreams.
        std::int64_t unnamed = 0;
        TimePoint at {};
    };
    struct Crashes {
        // When each upstream crashed, by its name in heartbeats.
        absl::flat_hash_map<std::string, TimePoint> own;
        std::map<Incarnation, PeerCrashes> peers;
    };
    absl::flat_hash_map<std::string, Crashes> m_crashes;
    // The processes of peers that told of some of these.
    std::set<Incarnation> m_tellers;
    absl::flat_hash_set<std::string> m_recorded;
    // Fingerprints of the requests that each upstream may have crashed on.
    absl::flat_hash_map<UpstreamId, absl::flat_hash_set<std::string>> m_fingerprints;
};

}
