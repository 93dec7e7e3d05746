#pragma once

// What an instance relays of others in its heartbeats: who is live, and sums over the instances of which it heard itself. In a
// large site each failure domain has a few hubs. The instances of the domain send their heartbeats to these only, and get in return
// what a hub knows of the whole site; the hubs of different domains tell each other of their own. See fleet_membership.h.

#include "core/membership/fleet_counters.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace skylarkhitch {

// Identifies an incarnation in liveness rows. Two incarnations with the same key would share their liveness until one of them ends.
std::uint32_t incarnationKey(const Incarnation&);

// That an instance was live, as one that heard it tells.
struct LivenessRow {
    std::uint32_t key = 0;
    // Lower bits of the sequence number of its last heartbeat.
    std::uint16_t sequence = 0;
    // Time since that arrived, in hundredths of a second.
    std::uint16_t age = 0;
    bool ready = false;
    bool leaving = false;
    bool reachesUpstreams = true;
    bool storeReachable = false;

    friend bool operator==(const LivenessRow&, const LivenessRow&) = default;
};

// What does not change as long as an incarnation lives.
struct InstanceIdentity {
    Incarnation incarnation;
    DomainId domain;
    // For callers, and for peers.
    std::string entryAddress;
    std::string peerAddress;
    // Hundredths of a processor core that it has; 0 if unknown.
    std::int64_t capacity = 0;

    friend bool operator==(const InstanceIdentity&, const InstanceIdentity&) = default;
};

// Sums over instances.
struct FleetSums {
    // Number of instances in the sums.
    std::size_t instances = 0;
    std::map<UpstreamId, UpstreamWork> work;
    ReleaseEvidence evidence;
};

// Of each instance, the fingerprints of requests that crashed upstreams, with the number of upstreams that each crashed.
using CrashCounts = std::map<InstanceId, std::map<std::string, std::int64_t>>;

struct FleetDigest {
    std::vector<LivenessRow> rows;
    std::vector<InstanceIdentity> identities;
    FleetSums sums;
    CrashCounts crashes;
};

// Bounds of what is taken from one digest; the rest of a longer one is ignored.
constexpr std::size_t maxDigestRows = 2000;
constexpr std::size_t maxDigestIdentities = 1000;
constexpr std::size_t maxDigestUpstreams = 4000;

nlohmann::json toJson(const FleetDigest&);
// Throws std::exception if the value does not have the form of toJson().
FleetDigest fleetDigestFrom(const nlohmann::json&);

}
