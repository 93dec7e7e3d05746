#pragma once

// Data that the control thread and the traffic thread exchange. The traffic thread gets an immutable view of the
// configuration, upstreams, failure domains, instances and rollouts, which is replaced as a whole, and the peers' load, crash counts and
// sessions, which it combines with its own. It sends its own in a report.

#include "core/limits/service_retry_budget.h"
#include "core/membership/fleet_heartbeat.h"
#include "core/rollout/release_plan.h"
#include "core/routing/domain_evacuation.h"
#include "core/routing/routing_configuration.h"
#include "core/routing/upstream_registry.h"

#include <absl/container/flat_hash_map.h>

namespace skylarkhitch {

// A live entry instance that accepts new callers.
struct EntryInstance {
    InstanceId id;
    DomainId domain;
    std::string address;
    // Whether it reaches upstreams; if not, it sends requests by way of others.
    bool reachesUpstreams = true;

    friend bool operator==(const EntryInstance&, const EntryInstance&) = default;
};

// The part of a rollout's state that affects routing.
struct RolloutView {
    std::string target;
    RolloutStage stage = RolloutStage::Canary;
    // No requests go to the target. Set if this instance found the target bad and the stored stage is not final yet, or if the
    // store has no record of the rollout yet.
    bool suspended = false;
    // When this instance saw the order appear; the time of the process start or earlier if it was there already.
    TimePoint orderedAt {};
};

struct FleetView {
    // Null before the first configuration.
    RoutingConfigurationPtr configuration;
    // Upstreams that accept new work.
    std::map<ServiceId, std::vector<UpstreamEntry>> upstreams;
    // Which failure domains these upstreams may be used in.
    DomainAvailability domains;
    std::map<ServiceId, RolloutView> rollouts;
    std::vector<EntryInstance> entries;
    // Fingerprints of requests that are refused because the store names them as crashing upstreams.
    std::set<std::string> refusedRequests;
    // Number of known instances, live or not, including this one.
    std::size_t knownInstances = 1;
    // Whether each instance sends each heartbeat to all others.
    bool isFullMesh = true;
    // Whether peers learn from this instance what it learns from others.
    bool passesOnNews = true;
    // Revision of the local copy of the store that the view was built from.
    std::int64_t storeRevision = 0;
    // When that copy was last known to be current, as of when the view was built.
    TimePoint upToDateAt {};
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

// State of the live peers, from their latest heartbeats.
struct PeerUpdate {
    // Sums over the peers.
    absl::flat_hash_map<UpstreamId, UpstreamWork> work;
    // Crash counts of each peer, by request fingerprint.
    std::map<Incarnation, std::map<std::string, std::int64_t>> crashes;
    std::vector<RecentSession> sessions;
};

// What a peer told that must take effect at once.
struct PeerNews {
    PromptPartNews promptParts;
    std::vector<StatedLimit> limits;
    std::vector<PromptHolding> promptHoldings;

    bool empty() const { return promptParts.empty() && limits.empty() && promptHoldings.empty(); }
};

// State of the traffic thread, sent to the control thread before each heartbeat.
struct TrafficReport {
    std::map<UpstreamId, UpstreamWork> work;
    // Request counters since the start of the process.
    ReleaseEvidence evidence;
    // Crash counts by request fingerprint.
    std::map<std::string, std::int64_t> crashes;
    PeerNews news;
    std::vector<RecentSession> sessions;
    bool ready = false;
    // The instance has lost its links to the upstreams.
    bool areLinksLost = false;
    std::vector<QuarantinedParts> quarantinedParts;
    std::size_t limitedUpstreams = 0;
    // It was sent early, since it has news that must take effect at once.
    bool isUrgent = false;
    // CPU time that the traffic thread has used since it started.
    Microseconds cpuTime {};
    // Open connections from callers.
    std::int64_t callerConnections = 0;
};

}
