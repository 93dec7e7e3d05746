#pragma once

// What each instance tells the others several times a second, and its encoding (CBOR). Counters grow within an
// incarnation, so a beat that is lost, doubled or late does no harm.

#include "core/ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhitch {

// An instance's work on one upstream at this moment.
struct UpstreamWork {
    std::int64_t requests = 0;
    // Prompt tokens of requests whose first event has not come.
    std::int64_t waitingTokens = 0;
};

// How the requests of one route and model went on one release of a service.
struct ReleaseCounters {
    std::int64_t done = 0;
    std::int64_t failed = 0;
    // Sum of the times to the answer, or to the first event of a stream, of those that were done.
    Milliseconds latency {};

    friend bool operator==(const ReleaseCounters&, const ReleaseCounters&) = default;
};

struct ReleaseRoute {
    ServiceId service;
    std::string release;
    std::string route;
    // Empty where the router does not choose the model. Models differ in speed, so their times are not compared.
    ModelId model;

    friend auto operator<=>(const ReleaseRoute&, const ReleaseRoute&) = default; // NOLINT(modernize-use-nullptr): a false report on <=>
};

using ReleaseEvidence = std::map<ReleaseRoute, ReleaseCounters>;

// A session that was served lately, and by which release.
struct SessionSeen {
    std::uint64_t session = 0;
    std::string release;
    Milliseconds age {};
};

// Where an instance is reached.
struct InstanceAddresses {
    // Where callers connect, ip:port.
    std::string entry;
    // Where beats and requests of peers arrive, ip:port for both UDP and TCP.
    std::string peers;
};

struct FleetBeat {
    Incarnation from;
    DomainId domain;
    InstanceAddresses addresses;
    // Grows with every beat of an incarnation.
    std::uint64_t sequence = 0;
    // Takes new callers.
    bool ready = false;
    bool leaving = false;
    // Revision of the sender's copy of the store.
    std::int64_t storeRevision = 0;
    // Whether the store took the sender's last call.
    bool hasStore = false;
    // Time since the sender last had an answer of the store; a negative number if it never had one.
    Milliseconds storeAge { -1 };
    // Time since the store last failed to answer it; nothing if it never did.
    std::optional<Milliseconds> sinceStoreAway;
    std::map<UpstreamId, UpstreamWork> work;
    ReleaseEvidence evidence;
    // Fingerprints of requests that felled an upstream, with the number of upstreams.
    std::map<std::string, std::int64_t> crashes;
    // Sessions that a roll-out must not move, see rollout/session_releases.h.
    std::vector<SessionSeen> sessions;
    // Peer addresses that the sender knows, so that a new instance finds everybody.
    std::vector<std::string> known;
};

std::string encodeBeat(const FleetBeat&);
// Nothing if the bytes are not a whole beat.
std::optional<FleetBeat> decodeBeat(const std::string& bytes);

}
