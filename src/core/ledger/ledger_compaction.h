#pragma once

// Compaction of old segments: adds their bills to per-team totals, copies the records that may still be looked up to the
// open segment, and deletes the old segments. The totals name the last segment that they include, so that a compaction
// that was interrupted at any step counts no bill twice.

#include "core/messages.h"

namespace skylarkhitch {

// Totals of a shard's compacted segments; one value in the store.
struct LedgerTotals {
    // The last segment that is included.
    std::optional<std::uint64_t> compactedThrough;
    // Time of the newest compacted record. A bill that is not newer is assumed to be included.
    TimePoint compactedUntil = TimePoint::min();
    std::map<TeamId, Bill> teams;
};

std::string encodeTotals(const LedgerTotals&);
std::optional<LedgerTotals> decodeTotals(const std::string& bytes);

struct CompactionWindows {
    // Age of a segment's newest record at which the segment is compacted. Duplicates of a bill arrive within this time.
    Seconds compactAfter { 900 };
    // How long claims, outcomes and pins are retained.
    Seconds lookupWindow { 86400 };
};

struct CompactionPlan {
    LedgerTotals totals;
    // Records that may still be looked up, without the charges that the totals now include.
    std::vector<LedgerRecord> retained;
};

// One segment as it is stored.
struct LedgerSegment {
    std::uint64_t number = 0;
    StoreItem item;
    std::vector<LedgerBatch> batches;
    bool sealed = false;
};

// A shard's contents in the store, without segments that the totals already include.
struct ShardContents {
    LedgerTotals totals;
    std::uint64_t totalsRevision = 0;
    // Oldest first.
    std::vector<LedgerSegment> segments;
};

// Store keys of a shard. The key of the totals sorts before those of the segments.
std::string shardPrefix(std::uint32_t shard);
std::string totalsKey(std::uint32_t shard);
std::string segmentKey(std::uint32_t shard, std::uint64_t segment);

// Decodes the items under a shard's prefix. Returns nullopt if any of them is malformed.
std::optional<ShardContents> decodeShard(std::uint32_t shard, std::vector<StoreItem>);

// Whether a segment is sealed and all its records are old enough.
bool isCompactable(const LedgerSegment&, const CompactionWindows&, TimePoint now);

// Adds a segment to a plan whose totals start from those in the store.
void compactInto(CompactionPlan&, const LedgerSegment&, const CompactionWindows&, TimePoint now);

// Adds the amounts of a bill to a total.
void addBill(Bill& sum, const Bill&);

}
