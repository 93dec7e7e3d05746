#pragma once

// Data that the control thread and the traffic thread exchange. The traffic thread gets an immutable view of the
// configuration, upstreams, instances and rollouts, which is replaced as a whole, and the peers' counts, which it combines with
// its own.

#include "core/limits/service_retry_budget.h"
#include "core/membership/fleet_heartbeat.h"
#include "core/rollout/release_plan.h"
#include "core/routing/routing_configuration.h"
#include "core/routing/upstream_registry.h"

#include <absl/container/flat_hash_map.h>

namespace skylarkhitch {

// An instance that accepts new callers.
struct EntryInstance {
    InstanceId id;
    DomainId domain;
    std::string address;
};

// The part of a rollout's state that affects routing.
struct RolloutView {
    std::string target;
    RolloutStage stage = RolloutStage::Canary;
    // Set if this instance found the target bad and the stored stage does not show it yet, or if the order has no stage yet.
    bool suspended = false;
};

struct FleetView {
    RoutingConfigurationPtr configuration;
    std::map<ServiceId, std::vector<UpstreamEntry>> upstreams;
    std::map<ServiceId, RolloutView> rollouts;
    std::vector<EntryInstance> entries;
    // Number of live instances, including this one.
    std::size_t liveInstances = 1;
    // Revision of the local copy of the store that the view was built from.
    std::int64_t storeRevision = 0;
    // When that copy was last known to be current.
    TimePoint upToDateAt {};
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

// State of the live peers, from their latest heartbeats.
struct PeerUpdate {
    absl::flat_hash_map<UpstreamId, UpstreamWork> work;
    std::map<InstanceId, std::map<std::string, std::int64_t>> crashes;
    std::vector<RecentSession> sessions;
};

// State of the traffic thread, sent to the control thread before each heartbeat.
struct TrafficReport {
    std::map<UpstreamId, UpstreamWork> work;
    ReleaseEvidence evidence;
    std::map<std::string, std::int64_t> crashes;
    std::vector<RecentSession> sessions;
    bool ready = false;
    // CPU time that the traffic thread has used since it started.
    Microseconds cpuTime {};
};

}
