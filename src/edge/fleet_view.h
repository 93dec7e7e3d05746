#pragma once

// What the control thread tells the traffic thread: an immutable view of configuration, upstreams, instances and
// roll-outs, replaced as a whole, and the news of peers that the traffic thread adds to its own counts.

#include "core/limits/repeat_budget.h"
#include "core/membership/fleet_beat.h"
#include "core/rollout/release_plan.h"
#include "core/routing/routing_configuration.h"
#include "core/routing/upstream_roster.h"

#include <absl/container/flat_hash_map.h>

namespace skylarkhitch {

// An instance that callers may be sent to.
struct EntryInstance {
    InstanceId id;
    DomainId domain;
    std::string address;
};

// A roll-out as far as it decides where requests go.
struct RolloutInForce {
    std::string target;
    RolloutStage stage = RolloutStage::Canary;
    // This instance found the target bad before the stage in force says so, or the order has no stage yet.
    bool suspended = false;
};

struct FleetView {
    RoutingConfigurationPtr configuration;
    std::map<ServiceId, std::vector<UpstreamEntry>> upstreams;
    std::map<ServiceId, RolloutInForce> rollouts;
    std::vector<EntryInstance> entries;
    // Live instances, this one included.
    std::size_t liveInstances = 1;
    // The revision of the store's copy that the view was made from.
    std::int64_t storeRevision = 0;
    // When that copy was last known to be up to date.
    TimePoint freshAt {};
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

// What came with the beats of all peers since the last news.
struct PeerNews {
    absl::flat_hash_map<UpstreamId, UpstreamWork> work;
    std::map<InstanceId, std::map<std::string, std::int64_t>> crashes;
    std::vector<SessionSeen> sessions;
};

// What the traffic thread tells the control thread before each beat.
struct TrafficReport {
    std::map<UpstreamId, UpstreamWork> work;
    ReleaseEvidence evidence;
    std::map<std::string, std::int64_t> crashes;
    std::vector<SessionSeen> sessions;
    bool ready = false;
    // Of the traffic thread since the start.
    Microseconds processorTime {};
};

}
