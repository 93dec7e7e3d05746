#pragma once

// Writes one shard of the ledger. Several instances may write the same shard at once: the compare-and-swap on the open
// segment serializes them, and a writer whose swap fails reloads the shard before it reports a result. If the reply to a
// swap is lost, the writer reads the segment and looks for the id of its batch.

#include "core/ledger/ledger_index.h"
#include "core/store_calls.h"

#include <deque>

namespace skylarkhitch {

// Matches an append with its AppendResult.
using AppendTicket = std::uint64_t;

struct AppendResult {
    AppendTicket ticket = 0;
    std::error_code ec;
    // The earlier record because of which the new one was not appended, if it is known.
    std::optional<LedgerRecord> existing;
    // Held by this instance and a peer in another failure domain, but not yet in the store.
    bool heldByPeer = false;
};

struct LedgerShardSettings {
    // Size in bytes above which a segment is sealed.
    std::size_t segmentBytes = std::size_t { 64 } * 1024;
    // Minimum time between two batches; keeps a busy shard within the store's write budget.
    Microseconds swapInterval { 33334 };
    // First and longest delay before the store is called again after it was unreachable. The delay doubles in between.
    Microseconds firstRetryDelay { 50000 };
    Microseconds maxRetryDelay { 1000000 };
    Milliseconds storeTimeout { 1000 };
    CompactionWindows compaction;
    // How often a writer checks for segments to compact.
    Seconds compactionPeriod { 10 };
    // Age from which the index is verified against the store before a record is refused because of it.
    Microseconds maxIndexAge { 200000 };
};

class LedgerShard {
public:
    LedgerShard(std::uint32_t shard, std::string batchPrefix, LedgerShardSettings, StoreCalls&);

    // Queues a record. takeResults() returns its result, possibly much later.
    void append(AppendTicket, LedgerRecord, TimePoint, Outbox&);

    // Removes a record that is still queued. Returns false if it is not, so that it may still be appended.
    bool cancelAppend(AppendTicket);

    // Processes timers and queued records. To be called at nextWake().
    void wake(TimePoint, Outbox&);
    std::optional<TimePoint> nextWake() const;

    std::vector<AppendResult> takeResults();
    void setLookupWindow(Seconds window) { m_settings.compaction.lookupWindow = window; }
    const LedgerIndex& index() const { return m_index; }
    std::uint64_t swaps() const { return m_swaps; }

private:
    enum class State { Unloaded,
        Loading,
        Ready,
        Swapping,
        ReadingBack,
        Verifying,
        OpeningSegment,
        // Waits for the swap of the totals during a compaction.
        SwappingTotals };
    struct QueuedRecord {
        AppendTicket ticket;
        LedgerRecord record;
    };

    void load(TimePoint, Outbox&);
    void onLoadReply(const StoreReply&, TimePoint, Outbox&);
    void swapNextBatch(TimePoint, Outbox&);
    bool wouldRefuseQueued() const;
    void verifyIndex(Outbox&);
    void onVerifyReply(const StoreReply&, TimePoint, Outbox&);
    void composeBatch();
    void sendSwap(TimePoint, Outbox&);
    void onSwapReply(const StoreReply&, TimePoint, Outbox&);
    void readBack(TimePoint, Outbox&);
    void onReadBackReply(const StoreReply&, TimePoint, Outbox&);
    void commitBatch(std::uint64_t revision, TimePoint);
    void openNextSegment(TimePoint, Outbox&);
    void onOpenReply(const StoreReply&, TimePoint, Outbox&);
    void requeueBatch();
    bool startCompaction(TimePoint, Outbox&);
    void swapTotals(Outbox&);
    void onTotalsSwapReply(const StoreReply&, TimePoint, Outbox&);
    void retryLater(State, TimePoint);
    void processQueue(TimePoint, Outbox&);

    std::uint32_t m_shard;
    std::string m_batchPrefix;
    LedgerShardSettings m_settings;
    StoreCalls& m_store;
    State m_state = State::Unloaded;
    LedgerIndex m_index;
    std::deque<QueuedRecord> m_queue;
    std::vector<QueuedRecord> m_batch;
    std::string m_batchId;
    std::uint64_t m_batchNumber = 0;
    bool m_batchSeals = false;
    std::uint64_t m_segment = 0;
    std::string m_bytes;
    std::string m_nextBytes;
    std::uint64_t m_revision = 0;
    // Sealed segments that are not compacted yet, oldest first.
    std::deque<LedgerSegment> m_sealed;
    LedgerTotals m_totals;
    std::uint64_t m_totalsRevision = 0;
    std::optional<CompactionPlan> m_compactionPlan;
    // Number of segments in the plan, counted from the oldest.
    std::size_t m_plannedSegments = 0;
    TimePoint m_compactionCheckedAt {};
    TimePoint m_lastSwap {};
    // When the index was last known to match the store.
    TimePoint m_indexVerifiedAt {};
    std::optional<TimePoint> m_retryAt;
    Microseconds m_retryDelay {};
    std::uint64_t m_swaps = 0;
    std::vector<AppendResult> m_results;
};

}
