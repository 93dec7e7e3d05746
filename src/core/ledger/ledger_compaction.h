#pragma once

// Compaction of old segments: adds their bills to per-team totals, copies the records that may still be looked up to the
// open segment, and deletes the old segments. The totals name the last segment that they include, so that a compaction
// that was interrupted at any step counts no bill twice. LedgerShard carries out these steps.

#include "core/messages.h"

namespace skylarkhitch {

// Totals of a shard's compacted segments; one value in the store.
struct LedgerTotals {
    // Number of the last segment that is included; nullopt if none is.
    std::optional<std::uint64_t> compactedThrough;
    // Time of the newest compacted record. A bill whose time is not later is assumed to be included.
    TimePoint compactedUntil = TimePoint::min();
    std::map<TeamId, Bill> teams;
};

std::string encodeTotals(const LedgerTotals&);
std::optional<LedgerTotals> decodeTotals(const std::string& bytes);

struct CompactionWindows {
    // Minimum age of a sealed segment's newest record for the segment to be compacted. A bill and its duplicates are
    // expected to arrive within this time; a later one may be taken for one that the totals include.
    Seconds compactAfter { 900 };
    // How long claims, releases, outcomes, pins and bills under a caller's idempotency key can be looked up. Bills under a
    // request id are not retained by a compaction.
    Seconds lookupWindow { 86400 };
};

// Result of a compaction that is not yet stored: the new totals and the records to copy to the open segment.
struct CompactionPlan {
    LedgerTotals totals;
    // Records that may still be looked up, without the charges that the totals now include.
    std::vector<LedgerRecord> retained;
};

// One segment: its item in the store and the batches decoded from it.
struct LedgerSegment {
    std::uint64_t number = 0;
    StoreItem item;
    std::vector<LedgerBatch> batches;
    bool sealed = false;
};

// A shard's contents in the store, without segments that the totals already include.
struct ShardContents {
    LedgerTotals totals;
    // The store's revision of the totals; 0 if there are none.
    std::uint64_t totalsRevision = 0;
    // Oldest first.
    std::vector<LedgerSegment> segments;
};

// Store keys of a shard and their common prefix. The key of the totals sorts before those of the segments, so that
// decodeShard() reads the totals first.
std::string shardPrefix(std::uint32_t shard);
std::string totalsKey(std::uint32_t shard);
std::string segmentKey(std::uint32_t shard, std::uint64_t segment);

// Decodes the items under a shard's prefix, without segments that the totals include. Returns nullopt if the totals or any
// other segment are malformed; items with keys of another form are left out.
std::optional<ShardContents> decodeShard(std::uint32_t shard, std::vector<StoreItem>);

// Whether a segment is sealed and all its records are at least compactAfter old.
bool isCompactable(const LedgerSegment&, const CompactionWindows&, TimePoint now);

// Adds the next segment, oldest first, to a plan. The totals of an empty plan are those in the store.
void compactInto(CompactionPlan&, const LedgerSegment&, const CompactionWindows&, TimePoint now);

// Adds the amounts of a bill to a total.
void addBill(Bill& sum, const Bill&);

}
