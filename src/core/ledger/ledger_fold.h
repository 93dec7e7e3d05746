#pragma once

// Folding of old segments: their bills go into one sum for each team, what may still be asked for is carried on into the
// open segment, and the segment goes. The sums carry a mark of what they contain, so that a fold that was broken off
// in any step counts nothing twice.

#include "core/messages.h"

namespace skylarkhitch {

// The sums of a shard's folded segments; one value in the store.
struct LedgerTotals {
    // Segments up to this one are contained.
    std::optional<std::uint64_t> foldedThrough;
    // Time of the newest folded record: a bill that is not newer is taken to be contained.
    TimePoint foldedBefore = TimePoint::min();
    std::map<TeamId, Bill> teams;
};

std::string encodeTotals(const LedgerTotals&);
std::optional<LedgerTotals> decodeTotals(const std::string& bytes);

struct FoldWindows {
    // Age of a segment's newest record at which it is folded. Copies of a bill come within this time.
    Seconds bills { 900 };
    // How long claims, outcomes and pins are kept.
    Seconds lookups { 86400 };
};

struct FoldPlan {
    LedgerTotals totals;
    // Records that are still asked for, without the charges that the sums now have.
    std::vector<LedgerRecord> carried;
};

// One segment as the store has it.
struct LedgerSegment {
    std::uint64_t number = 0;
    StoreItem item;
    std::vector<LedgerBatch> batches;
    bool sealed = false;
};

// What the store has of one shard, without segments that the sums contain already.
struct ShardContents {
    LedgerTotals totals;
    std::uint64_t totalsRevision = 0;
    // Oldest first.
    std::vector<LedgerSegment> segments;
};

// Keys of a shard's values; the sums sort before the segments.
std::string shardPrefix(std::uint32_t shard);
std::string totalsKey(std::uint32_t shard);
std::string segmentKey(std::uint32_t shard, std::uint64_t segment);

// Reads the items below a shard's prefix; nothing if any of them is damaged.
std::optional<ShardContents> readShard(std::uint32_t shard, std::vector<StoreItem>);

// Whether every record of a segment is old enough.
bool isFoldable(const LedgerSegment&, const FoldWindows&, TimePoint now);

// Adds a segment to a plan that begins with the sums so far.
void foldInto(FoldPlan&, const LedgerSegment&, const FoldWindows&, TimePoint now);

// Adds the amounts of one bill to a sum.
void addTo(Bill& sum, const Bill&);

}
