#pragma once

// Messages between instances and their encoding (CBOR). A message needs no reply of its own kind: what must be
// answered carries a ticket, and the answer is a message the other way.

#include "core/ids.h"
#include "core/ledger/ledger_record.h"

#include <map>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace skylarkhitch {

// An edit that came into force.
struct EditNote {
    Revision revision = 0;
    std::string editId;
    std::string author;
    TimePoint at;
};

// What operators wrote, as it is stored and passed on.
struct ConfigurationDocument {
    Revision revision = 0;
    // Names the edit, so that a writer whose reply was lost can find its own work.
    std::string editId;
    std::string author;
    TimePoint at;
    // The merged configuration as JSON text.
    std::string text;
    // The newest edits, this one last: settles a lost reply also when others have edited since.
    std::vector<EditNote> history;
};

// Counters of one upstream as one instance has seen it. They only grow within an incarnation, but for inFlight.
struct UpstreamCounters {
    std::int64_t inFlight = 0;
    std::int64_t done = 0;
    std::int64_t failed = 0;
    std::int64_t crashed = 0;
};

// Evidence on one version from one instance; the counts only grow within an incarnation.
struct VersionCounters {
    std::int64_t done = 0;
    std::int64_t failed = 0;
    std::int64_t rated = 0;
    // Sum of ratings in thousandths.
    std::int64_t ratingThousandths = 0;
};

// Requests of one team and rank, waiting and running, for the upstreams of one pool.
struct PoolDemand {
    std::string pool;
    std::int64_t rankOrder = 0;
    TeamId team;
    std::int64_t requests = 0;
};

// Sent to every peer at a fixed period.
struct Heartbeat {
    DomainId domain;
    std::string entryAddress;
    Revision revision = 0;
    bool leaving = false;
    bool storeReachable = true;
    // Grows with every heartbeat of an incarnation; an older one is dropped.
    std::uint64_t sequence = 0;
    std::map<UpstreamId, UpstreamCounters> upstreams;
    std::map<VersionId, VersionCounters> versions;
    // Fingerprints of requests that felled an upstream, with the number of upstreams.
    std::map<std::string, std::int64_t> crashes;
    std::vector<PoolDemand> demands;
};

// Asks the writer of a shard to append a record.
struct AppendRequest {
    std::uint64_t ticket = 0;
    std::uint32_t shard = 0;
    LedgerRecord record;
};

struct AppendReply {
    std::uint64_t ticket = 0;
    int error = 0;
    std::optional<LedgerRecord> existing;
};

// Asks a peer in another failure domain to keep a record until the store takes it.
struct HoldRequest {
    std::uint64_t ticket = 0;
    LedgerRecord record;
};

struct HoldReply {
    std::uint64_t ticket = 0;
};

// Asks for the configuration of a higher revision.
struct ConfigurationPull { };

struct ConfigurationPush {
    ConfigurationDocument document;
};

using PeerMessage = std::variant<Heartbeat, AppendRequest, AppendReply, HoldRequest, HoldReply, ConfigurationPull, ConfigurationPush>;

struct PeerEnvelope {
    Incarnation from;
    PeerMessage message;
};

std::string encodeEnvelope(const PeerEnvelope&);

// Nothing if the bytes are not a whole message of a known kind.
std::optional<PeerEnvelope> decodeEnvelope(const std::string& bytes);

// The stored form of a configuration document.
std::string encodeDocument(const ConfigurationDocument&);
std::optional<ConfigurationDocument> decodeDocument(const std::string& bytes);

}
