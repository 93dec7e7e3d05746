#pragma once

// Appends records to the ledger on behalf of one instance. Maps a key to its shard and the shard to its preferred writer,
// which may be any live instance, sends the record there, and appends it locally if no reply comes.
//
// While the store is unreachable or slow, a record may be held instead: this instance and some peers in other failure
// domains (its holders) keep it in memory, and all of them append it once the store permits. Bills, outcomes and pins may be
// held; claims and releases may not.

#include "core/ledger/ledger_shard.h"
#include "core/membership/membership.h"

#include <memory>

namespace skylarkhitch {

struct LedgerSettings {
    // Must be the same at every instance of a site and never change, since it maps keys to shards. Follows from the store's
    // write budget, not from the number of instances.
    std::uint32_t shards = 8;
    // Time to wait for a shard's writer before this instance appends the record itself. The compare-and-swap makes two
    // concurrent writers safe.
    Microseconds resendAfter { 200000 };
    // Delay before a record that may be held is sent to peers while the store is reachable. There is no delay while it is
    // unreachable.
    Microseconds holdAfter { 1500000 };
    // Number of peers, each in another failure domain, that are asked to hold a record.
    std::size_t holderCount = 2;
    // Time since the hold requests after which the reply of one peer is sufficient. Before that, all must have replied.
    Microseconds acceptOneHolderAfter { 500000 };
    LedgerShardSettings shard;
};

class Ledger {
public:
    Ledger(Incarnation self, LedgerSettings, Membership&, StoreCalls&);

    // Starts to append a record. Its result comes from takeResults() and carries the ticket that this call returns. A
    // record that may be held is also reported as appended once this instance and a peer in another failure domain hold it.
    AppendTicket append(LedgerRecord, bool mayBeHeld, TimePoint, Outbox&);

    // Sets CompactionWindows::lookupWindow for all shards.
    void setLookupWindow(Seconds);

    // Drops the result of an append. Returns true if the record was still queued here, so that it is never appended; false
    // if it may have been appended or may still be.
    bool cancelAppend(AppendTicket);

    // Process messages from peers. A reply may complete an append; its result then comes from takeResults().
    void onPeer(const Incarnation& from, const AppendRequest&, TimePoint, Outbox&);
    void onPeer(const AppendReply&, TimePoint, Outbox&);
    void onPeer(const Incarnation& from, const HoldRequest&, TimePoint, Outbox&);
    void onPeer(const HoldReply&);
    // Processes timers: the shards' timers, resends and hold requests. To be called at nextWake().
    void wake(TimePoint, Outbox&);
    std::optional<TimePoint> nextWake() const;

    // Returns the results since the last call. Results of records that were appended for peers are sent to those peers.
    std::vector<AppendResult> takeResults(TimePoint, Outbox&);

    // Number of records that this instance originated or holds and that are not confirmed to be in the store yet. Draining
    // waits until there are none.
    std::size_t unconfirmedRecords() const { return m_pending.size(); }
    // Number of unconfirmed records that are held together with a peer, whether they originate here or at that peer.
    std::size_t heldRecords() const;
    const LedgerShard& shard(std::uint32_t number) const { return *m_shards[number]; }

private:
    struct Pending {
        LedgerRecord record;
        std::uint32_t shard = 0;
        bool mayBeHeld = false;
        // No result is awaited any more; the record still has to be written to the store.
        bool reported = false;
        std::optional<TimePoint> holdRequestedAt;
        std::size_t holdersRequested = 0;
        std::size_t holdersReplied = 0;
        // The instance whose shard the record was last sent to; empty before the first send.
        InstanceId writer;
        TimePoint startedAt;
        TimePoint sentAt;
        int sends = 0;
    };
    // Origin of a record that a shard of this instance appends for a peer.
    struct PeerAppend {
        Incarnation from;
        std::uint64_t ticket = 0;
    };

    std::uint32_t shardOf(const std::string& key) const;
    InstanceId writerOf(std::uint32_t shard, int sends) const;
    void send(AppendTicket, Pending&, TimePoint, Outbox&);
    bool needsHolders(const Pending&, TimePoint) const;
    void requestHold(AppendTicket, Pending&, TimePoint, Outbox&);
    bool isHeldByPeers(const Pending&, TimePoint) const;
    void completePending(const AppendResult&, std::vector<AppendResult>& results);

    Incarnation m_self;
    LedgerSettings m_settings;
    Membership& m_membership;
    StoreCalls& m_store;
    std::vector<std::unique_ptr<LedgerShard>> m_shards;
    absl::flat_hash_map<AppendTicket, Pending> m_pending;
    absl::flat_hash_map<AppendTicket, PeerAppend> m_peerAppends;
    // Results from replies of writers and holders, which takeResults() has not processed yet.
    std::vector<AppendResult> m_readyResults;
    AppendTicket m_nextTicket = 0;
    TimePoint m_lastWake {};
};

}
