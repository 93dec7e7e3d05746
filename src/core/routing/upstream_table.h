#pragma once

// What this instance knows of each upstream, and the choice of one for an attempt. Load is this instance's own
// requests in flight, the other instances' by heartbeat, and the upstream's own report. Upstreams that have a place for
// this instance take turns. The choice of the less loaded of two sampled ones (Mitzenmacher, 2001) stands beside it: what is
// known of the others' load is late, and in every case that was measured taking turns did as well or better.

#include "core/configuration/configuration.h"
#include "core/messages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <random>

namespace skylarkhitch {

enum class ChoicePolicy { RoundRobin,
    TwoChoices };

struct UpstreamSettings {
    ChoicePolicy policy = ChoicePolicy::RoundRobin;
    // Failures in a row after which an upstream is left alone for a while.
    int failuresToEject = 3;
    Milliseconds firstEjection { 500 };
    Milliseconds longestEjection { 15000 };
    // Extra wait that is accepted before a request leaves its failure domain.
    Milliseconds domainHop { 5 };
};

// What an attempt needs of its upstream.
struct UpstreamNeed {
    VersionId version;
    ServiceId service;
    // Upstreams that this request has tried already.
    const absl::flat_hash_set<UpstreamId>* tried = nullptr;
    // Part of each upstream's places that this instance may fill, 0 to 1.
    double ownPart = 1;
};

class UpstreamTable {
public:
    UpstreamTable(DomainId own, UpstreamSettings, std::uint64_t seed);

    void configure(const ConfigurationPtr&);

    // The best upstream with a free place, or none.
    std::optional<UpstreamId> choose(const UpstreamNeed&, TimePoint);
    // Whether any upstream could serve this need at all, now or when a place becomes free.
    bool anyUsable(const UpstreamNeed&, TimePoint) const;

    void attemptStarted(const UpstreamId&);
    void attemptEnded(const UpstreamId&, AttemptEnd, TimePoint, Outbox&);
    // The attempt was given up here; this says nothing about the upstream.
    void attemptCancelled(const UpstreamId&);
    void loadReported(const LoadReported&, TimePoint, Outbox&);
    void listed(const std::vector<ListedInstance>&, Outbox&);
    // Takes a peer's counters; returns the upstreams on which it saw new cuts.
    std::vector<UpstreamId> learn(const InstanceId& from, const std::map<UpstreamId, UpstreamCounters>&);
    // A peer is gone; what it had in flight counts no more.
    void forget(const InstanceId&);

    const std::map<UpstreamId, UpstreamCounters>& own() const { return m_own; }
    // Places of all usable upstreams of a pool.
    double usableSlots(const UpstreamNeed&, TimePoint) const;
    bool leaving(const UpstreamId&) const;
    // Requests of this instance in flight on all upstreams of a version.
    std::int64_t inFlightOn(const VersionId&) const;

private:
    struct State {
        const Upstream* settings = nullptr;
        std::int64_t own = 0;
        // In flight from the other instances, by their heartbeats.
        std::int64_t peers = 0;
        std::int64_t reportedRunning = 0;
        std::int64_t reportedWaiting = 0;
        // Own requests in flight when the last report came, to see what it can not know of.
        std::int64_t ownAtReport = 0;
        double limit = 0;
        bool leavingByWord = false;
        bool leavingByList = false;
        int failuresInRow = 0;
        int ejections = 0;
        TimePoint ejectedUntil {};
    };

    std::vector<UpstreamId> candidates(const UpstreamNeed&, TimePoint, bool needPlace) const;
    bool usable(const State&, TimePoint) const;
    static bool hasPlace(const State&, double ownPart);
    static double load(const State&);
    double expectedWait(const UpstreamId&) const;
    void eject(const UpstreamId&, State&, TimePoint, Outbox&);
    void setLeaving(const UpstreamId&, State&, bool byWord, bool byList, Outbox&);
    UpstreamId pick(std::vector<UpstreamId>&);

    DomainId m_domain;
    UpstreamSettings m_settings;
    std::mt19937_64 m_random;
    std::uint64_t m_turn = 0;
    ConfigurationPtr m_configuration;
    absl::flat_hash_map<UpstreamId, State> m_states;
    absl::flat_hash_map<std::string, std::vector<UpstreamId>> m_pools;
    std::map<UpstreamId, UpstreamCounters> m_own;
    // What each peer said last, so that its part can be taken out of the sums again.
    absl::flat_hash_map<InstanceId, std::map<UpstreamId, UpstreamCounters>> m_peers;
};

}
