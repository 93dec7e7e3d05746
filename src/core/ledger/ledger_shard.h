#pragma once

// The writer of one shard of the ledger. Several instances may believe that they are the writer: only the
// compare-and-swap of the open segment decides, and a writer whose swap fails reads again before it answers.
// A swap whose reply was lost is settled by reading the segment and looking for the batch's id.

#include "core/ledger/ledger_index.h"
#include "core/store_calls.h"

#include <deque>

namespace skylarkhitch {

// Names one wish to append, for its answer.
using AppendTicket = std::uint64_t;

struct AppendResult {
    AppendTicket ticket = 0;
    std::error_code ec;
    // The record that stands in place of the refused one.
    std::optional<LedgerRecord> existing;
    // Kept by this instance and a peer in another failure domain, but not yet by the store.
    bool heldByPeer = false;
};

struct LedgerShardSettings {
    // Bytes after which a segment is sealed.
    std::size_t segmentBytes = std::size_t { 64 } * 1024;
    // Shortest time between two swaps of a busy shard; keeps the store's budget of writes.
    Microseconds swapInterval { 33334 };
    // Waits before the store is asked again after it could not be reached.
    Microseconds firstRetry { 50000 };
    Microseconds longestRetry { 1000000 };
    Milliseconds storeTimeout { 1000 };
    FoldWindows fold;
    // How often a writer looks for a segment to fold.
    Seconds foldPeriod { 10 };
    // Age after which the index is checked against the store before a record is refused on its word.
    Microseconds indexAge { 200000 };
};

class LedgerShard {
public:
    LedgerShard(std::uint32_t shard, std::string batchPrefix, LedgerShardSettings, StoreCalls&);

    // Takes a record; its result comes out of takeResults, perhaps much later.
    void append(AppendTicket, LedgerRecord, TimePoint, Outbox&);

    // Forgets a wish that is not yet part of a swap. False if it is, so that it may still take effect.
    bool withdraw(AppendTicket);

    // Goes on with waiting work; to be called at nextWake.
    void wake(TimePoint, Outbox&);
    std::optional<TimePoint> nextWake() const;

    std::vector<AppendResult> takeResults();
    void setLookupWindow(Seconds window) { m_settings.fold.lookups = window; }
    const LedgerIndex& index() const { return m_index; }
    std::uint64_t swaps() const { return m_swaps; }

private:
    enum class State { Unloaded,
        Loading,
        Ready,
        Swapping,
        ReadingBack,
        Verifying,
        Opening,
        // The sums of a fold are on their way.
        Summing };
    struct Wish {
        AppendTicket ticket;
        LedgerRecord record;
    };

    void load(TimePoint, Outbox&);
    void loaded(const StoreReply&, TimePoint, Outbox&);
    void swapNext(TimePoint, Outbox&);
    bool wouldRefuse() const;
    void verify(Outbox&);
    void verified(const StoreReply&, TimePoint, Outbox&);
    void composeBatch();
    void sendSwap(TimePoint, Outbox&);
    void swapped(const StoreReply&, TimePoint, Outbox&);
    void readBack(TimePoint, Outbox&);
    void wasReadBack(const StoreReply&, TimePoint, Outbox&);
    void commitBatch(std::uint64_t revision, TimePoint);
    void openNextSegment(TimePoint, Outbox&);
    void opened(const StoreReply&, TimePoint, Outbox&);
    void putBatchBack();
    bool startFold(TimePoint, Outbox&);
    void swapTotals(Outbox&);
    void totalsSwapped(const StoreReply&, TimePoint, Outbox&);
    void retryLater(State, TimePoint);
    void goOn(TimePoint, Outbox&);

    std::uint32_t m_shard;
    std::string m_batchPrefix;
    LedgerShardSettings m_settings;
    StoreCalls& m_store;
    State m_state = State::Unloaded;
    LedgerIndex m_index;
    std::deque<Wish> m_waiting;
    std::vector<Wish> m_batch;
    std::string m_batchId;
    std::uint64_t m_batchNumber = 0;
    bool m_batchSeals = false;
    std::uint64_t m_segment = 0;
    std::string m_bytes;
    std::string m_nextBytes;
    std::uint64_t m_revision = 0;
    // Sealed segments that are not folded yet, oldest first.
    std::deque<LedgerSegment> m_sealed;
    LedgerTotals m_totals;
    std::uint64_t m_totalsRevision = 0;
    std::optional<FoldPlan> m_fold;
    // Segments that the plan contains, from the oldest on.
    std::size_t m_folding = 0;
    TimePoint m_lookedForFold {};
    TimePoint m_lastSwap {};
    // When the index was last known to be the store's whole truth.
    TimePoint m_freshAt {};
    std::optional<TimePoint> m_retryAt;
    Microseconds m_retryDelay {};
    std::uint64_t m_swaps = 0;
    std::vector<AppendResult> m_results;
};

}
