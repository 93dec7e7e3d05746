#pragma once

// Records of what must outlive an instance, and their encoding. A segment is a sequence of CBOR items (RFC 8742),
// each one batch; a batch is appended without touching the bytes before it.

#include "core/ids.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkhitch {

// Written before a non-idempotent call is sent; the first one for a key wins.
struct Claim {
    std::string bodyDigest;
    Incarnation owner;
    RequestId request;
};

// Takes a claim back when nothing of the call was sent, so that a later call may run.
struct Release {
    RequestId request;
};

// What a request costs its team. Counts once for its key, however many copies are written.
struct Bill {
    TeamId team;
    CostMicros cost = 0;
    std::int64_t inputTokens = 0;
    std::int64_t outputTokens = 0;
    std::vector<std::string> versions;
};

// How a non-idempotent call ended, and what it costs; one record, so that neither is there without the other.
struct Outcome {
    // 0 when nobody knows whether the call ran.
    int status = 0;
    std::string contentType;
    std::string body;
    // False when the body was too large to keep.
    bool bodyKept = true;
    std::optional<Bill> bill;
};

// The version that a session keeps. A higher generation replaces a lower one, for withdrawn versions only.
struct SessionPin {
    VersionId version;
    std::uint64_t generation = 0;
};

using LedgerEntry = std::variant<Claim, Release, Outcome, Bill, SessionPin>;

// One record. The key names the call, request or session.
struct LedgerRecord {
    std::string key;
    TimePoint at;
    LedgerEntry entry;
};

// Keys of bills. One under a caller's own key is remembered for the lookup window, since the caller may send it again.
std::string billKeyForRequest(const TeamId&, const RequestId&);
std::string billKeyForCaller(const TeamId&, const std::string& idempotencyKey);
bool isCallersBill(const std::string& key);

// Records that were appended by one swap.
struct LedgerBatch {
    std::string id;
    std::vector<LedgerRecord> records;
    // Set on the last item of a segment: nothing may be appended after it.
    bool seals = false;
};

// Encodes one batch as one CBOR item.
std::string encodeBatch(const LedgerBatch&);

// Decodes a whole segment; nothing if the bytes are damaged.
std::optional<std::vector<LedgerBatch>> decodeSegment(const std::string& bytes);

// Encodes and decodes one record, for messages between instances.
std::string encodeRecord(const LedgerRecord&);
std::optional<LedgerRecord> decodeRecord(const std::string& bytes);

}
