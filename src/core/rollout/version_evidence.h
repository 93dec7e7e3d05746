#pragma once

// Decides from failures and ratings whether a version has turned bad. Each instance runs a cumulative sum test
// (CUSUM; Page, 1954) on the evidence of all instances: it fits a change that comes at an unknown time, as a vendor's
// patch does. A bad version is quarantined, probed after a while with a few requests, and let back when they go well.

#include "core/configuration/configuration.h"
#include "core/messages.h"

#include <absl/container/flat_hash_map.h>

namespace skylarkhitch {

struct EvidenceSettings {
    // Failure rates that the test tells apart.
    double healthyFailureRate = 0.02;
    double badFailureRate = 0.25;
    // Fall of the mean rating that the test looks for, and the spread of single ratings.
    double ratingDrop = 0.2;
    double ratingSpread = 0.2;
    // Sum at which a version is called bad; the chance of a false alarm for one observation falls as exp(-threshold).
    double threshold = 12;
    Milliseconds firstQuarantine { 30000 };
    Milliseconds longestQuarantine { 1800000 };
    // Requests that a version on probation may have in flight at one instance.
    std::int64_t probesInFlight = 1;
    // Good answers, of all instances, that end a probation.
    std::int64_t goodProbes = 20;
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
    void attemptEnded(const VersionId&, const UpstreamId&, AttemptEnd, TimePoint, Outbox&);
    // An upstream went down with what it ran, here or as a peer saw it. Counts as one failure, however many requests it had.
    void upstreamFell(const VersionId&, const UpstreamId&, TimePoint, Outbox&);
    void rated(const VersionId&, double rating, TimePoint, Outbox&);
    // Takes the counters of another instance; only their growth since the last ones is new evidence.
    void learn(const Incarnation& from, const std::map<VersionId, VersionCounters>&, TimePoint, Outbox&);

    // Whether a request may run on the version now, given the requests in flight on it here.
    bool mayRun(const VersionId&, std::int64_t inFlight, TimePoint, Outbox&);
    VersionHealth health(const VersionId&) const;
    const std::map<VersionId, VersionCounters>& own() const { return m_own; }
    // Mean rating as far as it is known, the configured quality until then.
    double meanRating(const VersionId&) const;

private:
    struct State {
        double quality = 0.5;
        double failureSum = 0;
        double ratingSum = 0;
        double meanRating = 0.5;
        VersionHealth health = VersionHealth::Healthy;
        TimePoint until {};
        int quarantines = 0;
        std::int64_t goodProbes = 0;
    };

    void observe(const VersionId&, std::int64_t done, std::int64_t failed, TimePoint, Outbox&);
    void observeRatings(const VersionId&, std::int64_t n, double sum, TimePoint, Outbox&);
    void judge(const VersionId&, State&, TimePoint, Outbox&);
    void quarantine(const VersionId&, State&, TimePoint, Outbox&);

    EvidenceSettings m_settings;
    absl::flat_hash_map<VersionId, State> m_states;
    absl::flat_hash_map<UpstreamId, TimePoint> m_lastFalls;
    std::map<VersionId, VersionCounters> m_own;
    struct PeerCounters {
        std::uint64_t incarnation = 0;
        std::map<VersionId, VersionCounters> counters;
    };
    std::map<InstanceId, PeerCounters> m_peers;
};

}
