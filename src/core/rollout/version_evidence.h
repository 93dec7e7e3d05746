#pragma once

// Detects from failures and ratings when a version has degraded. Each instance runs a cumulative sum test (CUSUM; Page,
// 1954) on the evidence of all instances, which suits a change at an unknown time, such as a vendor's patch. A bad version
// is quarantined, later probed with a few requests, and restored when enough of them succeed.

#include "core/configuration/configuration.h"
#include "core/messages.h"

#include <absl/container/flat_hash_map.h>

namespace skylarkhitch {

struct EvidenceSettings {
    // Failure rates that the test distinguishes.
    double healthyFailureRate = 0.02;
    double badFailureRate = 0.25;
    // Drop of the mean rating that the test detects, and the standard deviation of single ratings.
    double ratingDrop = 0.2;
    double ratingSpread = 0.2;
    // Sum at which a version is judged bad. The false alarm probability per observation decreases as exp(-threshold).
    double threshold = 12;
    // Each quarantine lasts twice as long as the previous one, up to the maximum; a successful probation resets the duration.
    Milliseconds initialQuarantine { 30000 };
    Milliseconds maxQuarantine { 1800000 };
    // Requests that a version on probation may have in flight per instance.
    std::int64_t probesInFlight = 1;
    // Completed requests, over all instances, that end a probation.
    std::int64_t successfulProbes = 20;
};

enum class VersionHealth { Healthy,
    Quarantined,
    Probation };

const char* healthName(VersionHealth);

class VersionEvidence {
public:
    explicit VersionEvidence(EvidenceSettings settings = {})
        : m_settings(settings)
    {
    }

    void configure(const ConfigurationPtr&);
    // Records the result of an attempt. Attempts that were not sent or were refused are no evidence about the version; a lost
    // connection is recorded as a crash.
    void attemptEnded(const VersionId&, const UpstreamId&, AttemptEnd, TimePoint, Outbox&);
    // Records an upstream crash seen here or reported by a peer. Counts as one failure, however many requests were running.
    void upstreamCrashed(const VersionId&, const UpstreamId&, TimePoint, Outbox&);
    void rated(const VersionId&, double rating, TimePoint, Outbox&);
    // Merges the counters of another instance. Only their growth since the previous heartbeat of the same incarnation is new
    // evidence.
    void learn(const Incarnation& from, const std::map<VersionId, VersionCounters>&, TimePoint, Outbox&);

    // Whether a request may run on the version now. `inFlight` is the number of this instance's requests in flight on it, which
    // is limited during probation. Starts the probation of a version whose quarantine has ended.
    bool mayRun(const VersionId&, std::int64_t inFlight, TimePoint, Outbox&);
    VersionHealth health(const VersionId&) const;
    // This instance's counters, for its heartbeats. They do not include crashes, which UpstreamTable counts.
    const std::map<VersionId, VersionCounters>& own() const { return m_own; }
    // Exponentially weighted mean of the ratings, starting from the configured quality.
    double meanRating(const VersionId&) const;

private:
    struct State {
        // Expected mean rating, from the configuration.
        double quality = 0.5;
        // The two cumulative sums of the test.
        double failureSum = 0;
        double ratingSum = 0;
        double meanRating = 0.5;
        VersionHealth health = VersionHealth::Healthy;
        TimePoint quarantinedUntil {};
        // Quarantines since the version was last healthy.
        int quarantines = 0;
        std::int64_t successfulProbes = 0;
    };

    void observe(const VersionId&, std::int64_t done, std::int64_t failed, TimePoint, Outbox&);
    void observeRatings(const VersionId&, std::int64_t n, double sum, TimePoint, Outbox&);
    void updateHealth(const VersionId&, State&, TimePoint, Outbox&);
    void quarantine(const VersionId&, State&, TimePoint, Outbox&);

    EvidenceSettings m_settings;
    absl::flat_hash_map<VersionId, State> m_states;
    absl::flat_hash_map<UpstreamId, TimePoint> m_lastCrashes;
    std::map<VersionId, VersionCounters> m_own;
    struct PeerCounters {
        std::uint64_t incarnation = 0;
        std::map<VersionId, VersionCounters> counters;
    };
    std::map<InstanceId, PeerCounters> m_peers;
};

}
