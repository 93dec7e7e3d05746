#pragma once

// Writes one shard of the ledger. Several instances may write the same shard at once: the compare-and-swap on the open
// segment serializes them. If a swap fails or its reply is lost, the writer reads the segment back and looks for the id of
// its batch, which shows whether the swap was applied. Then it reloads the shard; if the swap was not applied, it queues
// the records again and checks them against the reloaded index.

#include "core/ledger/ledger_index.h"
#include "core/store_calls.h"

#include <deque>

namespace skylarkhitch {

// Identifies an append and its AppendResult.
using AppendTicket = std::uint64_t;

struct AppendResult {
    AppendTicket ticket = 0;
    std::error_code ec;
    // The earlier record because of which the new one was not appended, if the decision names one; see AppendDecision.
    std::optional<LedgerRecord> existing;
    // The record is held by this instance and a peer in another failure domain, but not yet confirmed to be in the store.
    bool heldByPeer = false;
};

struct LedgerShardSettings {
    // Size in bytes above which a segment is sealed; the batch that exceeds it is the last one.
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
    // Time since the index was last known to match the store. From this age on it is verified before it refuses a record.
    Microseconds maxIndexAge { 200000 };
};

class LedgerShard {
public:
    // The batch prefix must be unique to this incarnation, so that no other writer uses the same batch ids.
    LedgerShard(std::uint32_t shard, std::string batchPrefix, LedgerShardSettings, StoreCalls&);

    // Queues a record. takeResults() returns its result, possibly much later.
    void append(AppendTicket, LedgerRecord, TimePoint, Outbox&);

    // Removes a record that is still queued. Returns false if it is no longer queued: it may have been appended already, or
    // its swap may be in flight.
    bool cancelAppend(AppendTicket);

    // Processes timers and queued records. To be called at nextWake().
    void wake(TimePoint, Outbox&);
    std::optional<TimePoint> nextWake() const;

    // Returns the results since the last call.
    std::vector<AppendResult> takeResults();
    void setLookupWindow(Seconds window) { m_settings.compaction.lookupWindow = window; }
    const LedgerIndex& index() const { return m_index; }
    // Number of compare-and-swaps sent to append batches, including those that failed.
    std::uint64_t swaps() const { return m_swaps; }

private:
    enum class State { Unloaded,
        Loading,
        Ready,
        // Waits for the swap that appends a batch.
        Swapping,
        // Reads the segment after a swap that failed or had no reply.
        ReadingBack,
        // Checks that the open segment has not changed in the store.
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
    // Records of the batch whose swap is in flight.
    std::vector<QueuedRecord> m_batch;
    std::string m_batchId;
    std::uint64_t m_batchNumber = 0;
    bool m_batchSeals = false;
    // The open segment: its number, its stored bytes, its bytes after the swap in flight, and the store's revision of it.
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
