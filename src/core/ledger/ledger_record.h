#pragma once

// Ledger records, which must survive the instance that wrote them, and their encoding. A segment is a CBOR sequence
// (RFC 8742) with one item for each batch; appending a batch leaves the bytes before it unchanged.

#include "core/ids.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkhitch {

// Written before a non-idempotent call is sent. Only the first claim for a key succeeds, until it is released.
struct Claim {
    std::string bodyDigest;
    Incarnation owner;
    RequestId request;
};

// Revokes a request's claim when its call is known not to have run, so that a later call with the same key may run. If the
// claim arrives after its release, it is refused.
struct Release {
    RequestId request;
};

// The cost of a request, charged to its team. Counts once per key, even if several copies are written.
struct Bill {
    TeamId team;
    CostMicros cost = 0;
    std::int64_t inputTokens = 0;
    std::int64_t outputTokens = 0;
    // The version of each attempt that was charged; empty for calls to services.
    std::vector<std::string> versions;
};

// The result of a non-idempotent call and its cost, in one record so that neither is stored without the other.
struct Outcome {
    // 0 if it is unknown whether the call ran.
    int status = 0;
    std::string contentType;
    std::string body;
    // False if the body was too large to store.
    bool bodyStored = true;
    std::optional<Bill> bill;
};

// The version that a session is pinned to. A pin is replaced only by one of a higher generation, which is written when the
// version was withdrawn or removed, or the team may no longer use it, but not when the version is merely unavailable.
struct SessionPin {
    VersionId version;
    std::uint64_t generation = 0;
};

using LedgerEntry = std::variant<Claim, Release, Outcome, Bill, SessionPin>;

// The key identifies the call, request or session.
struct LedgerRecord {
    std::string key;
    TimePoint at;
    LedgerEntry entry;
};

// Keys of bills, under the request's id or under the caller's idempotency key. A bill under an idempotency key is retained
// for the lookup window, since the caller may send the request again.
std::string billKeyForRequest(const TeamId&, const RequestId&);
std::string billKeyForIdempotencyKey(const TeamId&, const std::string& idempotencyKey);
bool isBillUnderIdempotencyKey(const std::string& key);

// Records that are appended by one compare-and-swap.
struct LedgerBatch {
    // Unique within a shard. Shows whether a swap was applied if its reply is lost.
    std::string id;
    std::vector<LedgerRecord> records;
    // Set on the last batch of a segment. Nothing may be appended after it.
    bool seals = false;
};

// Encodes a batch as one CBOR item.
std::string encodeBatch(const LedgerBatch&);

// Decodes a whole segment. Returns nullopt if the bytes are malformed.
std::optional<std::vector<LedgerBatch>> decodeSegment(const std::string& bytes);

// Encode and decode a single record, for messages between instances.
std::string encodeRecord(const LedgerRecord&);
std::optional<LedgerRecord> decodeRecord(const std::string& bytes);

}
