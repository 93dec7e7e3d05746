#pragma once

// Tracks the state of each upstream and chooses one for each attempt. Load combines this instance's requests in flight,
// those of the other instances from their heartbeats, and the upstream's own load reports. Upstreams with a free slot for
// this instance are chosen by round robin. The power of two random choices (Mitzenmacher, 2001) is available as an
// alternative; round robin did as well or better in every measured case, since the load of other instances is known late.

#include "core/configuration/configuration.h"
#include "core/messages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <random>

namespace skylarkhitch {

enum class ChoicePolicy { RoundRobin,
    PowerOfTwoChoices };

struct UpstreamSettings {
    ChoicePolicy policy = ChoicePolicy::RoundRobin;
    // Consecutive failures after which an upstream is ejected for a while; one that could not be reached is ejected at once.
    int failuresToEject = 3;
    // Each ejection lasts twice as long as the previous one, up to the maximum; a success resets the duration.
    Milliseconds initialEjection { 500 };
    Milliseconds maxEjection { 15000 };
    // Penalty for an upstream in another failure domain, used with PowerOfTwoChoices only: its value in seconds is added to the
    // load per slot.
    Milliseconds crossDomainPenalty { 5 };
};

// What an attempt requires of its upstream.
struct UpstreamRequirements {
    // The service, or the version if the service is empty.
    VersionId version;
    ServiceId service;
    // Upstreams that this request was already sent to.
    const absl::flat_hash_set<UpstreamId>* tried = nullptr;
    // Fraction of each upstream's slots that this instance may use, 0 to 1.
    double ownShare = 1;
};

class UpstreamTable {
public:
    UpstreamTable(DomainId own, UpstreamSettings, std::uint64_t seed);

    void configure(const ConfigurationPtr&);

    // Chooses an upstream with a free slot, if any.
    std::optional<UpstreamId> choose(const UpstreamRequirements&, TimePoint);
    // Whether any untried upstream can serve the attempt, now or when a slot becomes free.
    bool anyUsable(const UpstreamRequirements&, TimePoint) const;

    void attemptStarted(const UpstreamId&);
    void attemptEnded(const UpstreamId&, AttemptEnd, TimePoint, Outbox&);
    // The attempt was cancelled by this instance, which is no evidence about the upstream.
    void attemptCancelled(const UpstreamId&);
    // Updates the load and the leaving state of an upstream, or ejects it if it was unreachable.
    void loadReported(const LoadReported&, TimePoint, Outbox&);
    // Marks the upstreams that the platform's instance list shows as leaving.
    void listed(const std::vector<ListedInstance>&, Outbox&);
    // Replaces a peer's counters; returns the upstreams for which the peer counted new crashes.
    std::vector<UpstreamId> learn(const InstanceId& from, const std::map<UpstreamId, UpstreamCounters>&);
    // Drops the counters of a peer that is gone.
    void forget(const InstanceId&);

    const std::map<UpstreamId, UpstreamCounters>& own() const { return m_own; }
    // Total of the current limits of the pool's usable upstreams, without the tried ones.
    double usableSlots(const UpstreamRequirements&, TimePoint) const;
    // Whether the upstream stops accepting requests, by its own report or by the instance list.
    bool leaving(const UpstreamId&) const;
    // This instance's requests in flight on all upstreams of a version.
    std::int64_t inFlightOn(const VersionId&) const;

private:
    struct State {
        // Null if the upstream is no longer configured.
        const Upstream* settings = nullptr;
        std::int64_t ownInFlight = 0;
        // Requests in flight from the other instances, from their heartbeats.
        std::int64_t peersInFlight = 0;
        std::int64_t reportedRunning = 0;
        std::int64_t reportedWaiting = 0;
        // This instance's requests in flight when the last load report arrived; requests sent later are not in the report.
        std::int64_t ownInFlightAtReport = 0;
        // Adaptive limit of requests in flight: additive increase on success, multiplicative decrease on refusals and timeouts.
        double limit = 0;
        bool leavingByReport = false;
        bool leavingByList = false;
        int consecutiveFailures = 0;
        // Ejections since the last success.
        int ejections = 0;
        TimePoint ejectedUntil {};
    };

    std::vector<UpstreamId> candidates(const UpstreamRequirements&, TimePoint, bool needFreeSlot) const;
    bool usable(const State&, TimePoint) const;
    static bool hasFreeSlot(const State&, double ownShare);
    static double load(const State&);
    double expectedWait(const UpstreamId&) const;
    void eject(const UpstreamId&, State&, TimePoint, Outbox&);
    void setLeaving(const UpstreamId&, State&, bool byReport, bool byList, Outbox&);
    UpstreamId pick(std::vector<UpstreamId>&);

    DomainId m_domain;
    UpstreamSettings m_settings;
    std::mt19937_64 m_random;
    std::uint64_t m_nextIndex = 0;
    ConfigurationPtr m_configuration;
    absl::flat_hash_map<UpstreamId, State> m_states;
    absl::flat_hash_map<std::string, std::vector<UpstreamId>> m_pools;
    std::map<UpstreamId, UpstreamCounters> m_own;
    // Last counters of each peer, subtracted from the sums when new ones arrive.
    absl::flat_hash_map<InstanceId, std::map<UpstreamId, UpstreamCounters>> m_peers;
};

}
