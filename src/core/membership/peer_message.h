#pragma once

// Messages between instances and their CBOR encoding. Delivery is one-way: a request that needs a reply carries a ticket,
// and the reply is a separate message with the same ticket.

#include "core/ids.h"
#include "core/ledger/ledger_record.h"

#include <map>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace skylarkhitch {

// An applied edit of the configuration.
struct EditHistoryEntry {
    Revision revision = 0;
    std::string editId;
    std::string author;
    TimePoint at;
};

// A configuration as operators wrote it, in the form that is stored and sent to peers.
struct ConfigurationDocument {
    Revision revision = 0;
    // Identifies the edit that produced this revision, so that its writer can find it in the store if the reply was lost.
    std::string editId;
    std::string author;
    TimePoint at;
    // The merged configuration as JSON text.
    std::string text;
    // The most recent edits, this one last; they show whether an edit was applied even if others followed it.
    std::vector<EditHistoryEntry> history;
};

// One instance's counters for one upstream. All except inFlight only grow within an incarnation.
struct UpstreamCounters {
    std::int64_t inFlight = 0;
    std::int64_t done = 0;
    std::int64_t failed = 0;
    // Attempts whose connection was lost after the request was sent; included in failed.
    std::int64_t crashed = 0;
};

// One instance's counters for one version. They only grow within an incarnation.
struct VersionCounters {
    std::int64_t done = 0;
    std::int64_t failed = 0;
    std::int64_t rated = 0;
    // Sum of ratings in thousandths.
    std::int64_t ratingThousandths = 0;
};

// Number of waiting and running requests of one team and rank for the upstreams of one pool.
struct PoolDemand {
    std::string pool;
    std::int64_t rankOrder = 0;
    TeamId team;
    std::int64_t requests = 0;
};

// Sent to every peer periodically.
struct Heartbeat {
    DomainId domain;
    std::string entryAddress;
    Revision revision = 0;
    bool leaving = false;
    bool storeReachable = true;
    // Grows with every heartbeat of an incarnation; older heartbeats are dropped.
    std::uint64_t sequence = 0;
    std::map<UpstreamId, UpstreamCounters> upstreams;
    std::map<VersionId, VersionCounters> versions;
    // Fingerprints of requests that crashed upstreams, with the number of upstreams that each crashed.
    std::map<std::string, std::int64_t> crashes;
    std::vector<PoolDemand> demands;
};

// Asks the writer of a shard to append a record.
struct AppendRequest {
    std::uint64_t ticket = 0;
    std::uint32_t shard = 0;
    LedgerRecord record;
};

// The result of an AppendRequest.
struct AppendReply {
    std::uint64_t ticket = 0;
    // An ErrorKind as a number; 0 if the record is in the ledger.
    int error = 0;
    // See AppendResult.
    std::optional<LedgerRecord> existing;
};

// Asks a peer in another failure domain to hold a record, and to append it as well.
struct HoldRequest {
    std::uint64_t ticket = 0;
    LedgerRecord record;
};

// Confirms that the sender holds the record.
struct HoldReply {
    std::uint64_t ticket = 0;
};

// Requests the configuration from a peer that reported a higher revision.
struct ConfigurationPull { };

// The reply to a ConfigurationPull.
struct ConfigurationPush {
    ConfigurationDocument document;
};

// The index of a type identifies it in the encoding, so the order must not change.
using PeerMessage = std::variant<Heartbeat, AppendRequest, AppendReply, HoldRequest, HoldReply, ConfigurationPull, ConfigurationPush>;

// A message with its sender.
struct PeerEnvelope {
    Incarnation from;
    PeerMessage message;
};

std::string encodeEnvelope(const PeerEnvelope&);

// Returns nullopt if the bytes are not a complete message of a known kind.
std::optional<PeerEnvelope> decodeEnvelope(const std::string& bytes);

// Encode and decode a configuration document in its stored form.
std::string encodeDocument(const ConfigurationDocument&);
std::optional<ConfigurationDocument> decodeDocument(const std::string& bytes);

}
