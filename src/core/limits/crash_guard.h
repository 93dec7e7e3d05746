#pragma once

// Remembers requests that felled upstreams. A request whose attempt fell with its upstream runs once more; after a
// second fall it is refused at every instance for a while, also when its caller sends it again elsewhere.

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <string>
#include <vector>

namespace skylarkhitch {

class CrashGuard {
public:
    // Upstreams that a request may fell before it is refused.
    static constexpr std::int64_t falls = 2;

    // An upstream counts once, however often the request was cut there.
    void fell(const std::string& fingerprint, const UpstreamId&, TimePoint);
    // The upstream answered a question that was asked at this time: a cut before then was not a crash.
    void stillUp(const UpstreamId&, TimePoint askedAt);
    // Takes a peer's counts; the larger of the known counts holds.
    void learn(const InstanceId& from, const std::map<std::string, std::int64_t>& crashes, TimePoint);

    bool refuses(const std::string& fingerprint) const;
    std::int64_t fallsOf(const std::string& fingerprint) const;
    // Counts of this instance, for its heartbeats.
    std::map<std::string, std::int64_t> own() const;
    void forget(TimePoint olderThan);

private:
    struct Trace {
        std::int64_t own = 0;
        std::map<InstanceId, std::int64_t> peers;
        TimePoint at;
    };
    absl::flat_hash_map<std::string, Trace> m_traces;
    // A cut that an answer of the upstream may yet explain otherwise.
    struct Suspicion {
        std::string fingerprint;
        TimePoint at;
    };
    absl::flat_hash_map<UpstreamId, std::vector<Suspicion>> m_suspicions;
};

}
