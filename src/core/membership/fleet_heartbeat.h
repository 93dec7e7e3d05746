#pragma once

// The heartbeat that each instance sends to others several times a second, and its CBOR encoding. Release counters only
// grow within an incarnation, and receivers drop a heartbeat that is not newer than the last one, so a heartbeat that is
// lost, duplicated or late does no harm.

#include "core/ids.h"
#include "core/limits/prompt_part_news.h"
#include "core/limits/upstream_limit_news.h"
#include "core/membership/fleet_counters.h"
#include "core/membership/fleet_digest.h"
#include "core/rollout/rollout_news.h"
#include "core/routing/domain_evacuation.h"
#include "core/routing/upstream_departures.h"
#include "core/scheduling/prompt_news.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhitch {

// A recently served session and the release that served it.
struct RecentSession {
    std::uint64_t session = 0;
    std::string release;
    Milliseconds age {};
};

struct InstanceAddresses {
    // For callers, ip:port.
    std::string entry;
    // For heartbeats (UDP) and requests (TCP) of peers, ip:port.
    std::string peers;
};

struct FleetHeartbeat {
    Incarnation from;
    DomainId domain;
    InstanceAddresses addresses;
    // Grows with every heartbeat of an incarnation.
    std::uint64_t sequence = 0;
    // Whether the sender accepts new callers.
    bool ready = false;
    // Whether the sender reaches upstreams.
    bool reachesUpstreams = true;
    // Whether the sender is shutting down.
    bool leaving = false;
    // Revision of the sender's mirror of the store.
    std::int64_t storeRevision = 0;
    // Whether the sender's last store call succeeded.
    bool storeReachable = false;
    // Time since the store last replied to the sender; negative if it never did.
    Milliseconds storeAge { -1 };
    // Time since the store was last unreachable from the sender and all its live peers; nullopt if it never was.
    std::optional<Milliseconds> sinceStoreUnreachable;
    std::map<UpstreamId, UpstreamWork> work;
    // Only of services that are being rolled out.
    ReleaseEvidence evidence;
    // Fingerprints of requests that crashed upstreams, with the number of upstreams that each crashed.
    std::map<std::string, std::int64_t> crashes;
    // Crashes of upstreams and the prompt parts that may have caused them, here and at others.
    PromptPartNews promptParts;
    // Request limits that upstreams state, here and at others.
    std::vector<StatedLimit> limits;
    // Sessions that a rollout must not move to another release, see rollout/session_releases.h.
    std::vector<RecentSession> sessions;
    // Version of the configuration in force at the sender; 0 before the first one. The store may hold an older one after it came
    // back from a copy.
    std::int64_t configurationVersion = 0;
    // Rollouts whose stage the sender knows.
    std::vector<RolloutNews> rollouts;
    // Upstreams that the store lists as ready although they had left.
    std::vector<UpstreamDeparture> heldBack;
    // Evacuations that a copy of the store lacks. Only with readsDigests.
    std::vector<KeptEvacuation> evacuations;
    // Some of the peer addresses that the sender knows, from which a new instance discovers its peers.
    std::vector<std::string> known;
    // Whether the sender understands digests; instances of earlier versions do not.
    bool readsDigests = false;
    // Hundredths of a processor core that the sender has; 0 if unknown. Only with readsDigests.
    std::int64_t capacity = 0;
    // The sender wants digests from the receiver.
    bool asksForDigest = false;
    std::optional<FleetDigest> digest;
    // Prompt prefixes that engines have read, here and at others. Only with readsDigests.
    std::vector<PromptHolding> promptHoldings;
};

std::string encodeHeartbeat(const FleetHeartbeat&);
// Returns nullopt if the bytes are not a complete heartbeat.
std::optional<FleetHeartbeat> decodeHeartbeat(const std::string& bytes);

}
