#pragma once

// The heartbeat that each instance sends to others several times a second, and its CBOR encoding. Release counters only
// grow within an incarnation, and receivers drop a heartbeat that is not newer than the last one, so a heartbeat that is
// lost, duplicated or late does no harm.

#include "core/ids.h"
#include "core/limits/prompt_part_news.h"
#include "core/limits/upstream_limit_news.h"
#include "core/rollout/rollout_news.h"
#include "core/routing/upstream_departures.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhitch {

// The requests of one instance that are in flight on one upstream.
struct UpstreamWork {
    std::int64_t requests = 0;
    // Prompt tokens of requests that have not received their first event.
    std::int64_t waitingTokens = 0;
};

// Logarithms of latencies in milliseconds. Their mean is that of typical responses, which a few very slow ones barely change.
struct LogLatencies {
    std::int64_t count = 0;
    double sum = 0;
    double squareSum = 0;

    friend bool operator==(const LogLatencies&, const LogLatencies&) = default;
};

// Results of the requests of one route and model on one release of a service.
struct ReleaseCounters {
    // Requests that succeeded.
    std::int64_t done = 0;
    std::int64_t failed = 0;
    // Sum of the latencies of the successful requests: the time to the response, or to the first event of a stream. Includes the
    // time that abandoned requests waited.
    Milliseconds latency {};
    // Of the successful requests alone.
    LogLatencies logLatencies;
    // Requests whose callers left before the response, or before the first event of a stream.
    std::int64_t abandoned = 0;

    friend bool operator==(const ReleaseCounters&, const ReleaseCounters&) = default;
};

// Counts a successful request.
void addSuccess(ReleaseCounters&, Milliseconds latency);
// Counts a successful request whose latency is no evidence, since its upstream states a limit: it changes no mean.
void addSuccessWithoutLatency(ReleaseCounters&);
// Counts a request whose caller left after the given time.
void addAbandoned(ReleaseCounters&, Milliseconds waited);
// Adds the counters of another instance or release.
void add(ReleaseCounters& sum, const ReleaseCounters&);

// The requests that are counted together in ReleaseCounters.
struct ReleaseRoute {
    ServiceId service;
    std::string release;
    std::string route;
    // Empty if the router does not choose the model. Models differ in speed, so their latencies are not compared.
    ModelId model;

    friend auto operator<=>(const ReleaseRoute&, const ReleaseRoute&) = default; // NOLINT(modernize-use-nullptr): a false report on <=>
};

// Counters from which a rollout judges a release against the others.
using ReleaseEvidence = std::map<ReleaseRoute, ReleaseCounters>;

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
    // Some of the peer addresses that the sender knows, from which a new instance discovers its peers.
    std::vector<std::string> known;
};

std::string encodeHeartbeat(const FleetHeartbeat&);
// Returns nullopt if the bytes are not a complete heartbeat.
std::optional<FleetHeartbeat> decodeHeartbeat(const std::string& bytes);

}
