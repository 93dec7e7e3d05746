#pragma once

// An instance's way to the ledger: finds the shard of a key and the instance that should write it, passes records
// on, writes them itself when no answer comes, and keeps bills and outcomes in other failure domains as well while the
// store is down.

#include "core/ledger/ledger_shard.h"
#include "core/membership/membership.h"

#include <memory>

namespace skylarkhitch {

struct LedgerSettings {
    // Fixed for a site; set from the store's budget of writes, never from the number of instances.
    std::uint32_t shards = 8;
    // Wait for a shard's writer before this instance writes the record itself; the swap keeps that safe.
    Microseconds resendAfter { 200000 };
    // Wait before a record that may be held is given to peers while the store seems to work; at once when it does not.
    Microseconds holdAfter { 1500000 };
    // Failure domains besides its own that an instance wants a held record in.
    std::size_t holders = 2;
    // Wait after which one of them is enough.
    Microseconds oneHolderAfter { 500000 };
    LedgerShardSettings shard;
};

class Ledger {
public:
    Ledger(Incarnation self, LedgerSettings, Membership&, StoreCalls&);

    // Appends a record. The result comes out of takeResults under the returned ticket; a record that may be held
    // also counts as kept once this instance and a peer in another failure domain have it.
    AppendTicket append(LedgerRecord, bool mayBeHeld, TimePoint, Outbox&);

    // How long claims, outcomes and pins are kept.
    void setLookupWindow(Seconds);

    // Gives up waiting. False if the record may still take effect.
    bool withdraw(AppendTicket);

    void onPeer(const Incarnation& from, const AppendRequest&, TimePoint, Outbox&);
    void onPeer(const AppendReply&, TimePoint, Outbox&);
    void onPeer(const Incarnation& from, const HoldRequest&, TimePoint, Outbox&);
    void onPeer(const HoldReply&);
    void wake(TimePoint, Outbox&);
    std::optional<TimePoint> nextWake() const;

    // Hands out what was answered since the last call. Shard results are sorted to local waiters and to peers.
    std::vector<AppendResult> takeResults(TimePoint, Outbox&);

    // Records that are not yet in the store; a draining instance waits for none to be left.
    std::size_t unsettled() const { return m_pending.size(); }
    // Records that callers were answered for on the word of a peer.
    std::size_t heldRecords() const;
    const LedgerShard& shard(std::uint32_t number) const { return *m_shards[number]; }

private:
    struct Pending {
        LedgerRecord record;
        std::uint32_t shard = 0;
        bool mayBeHeld = false;
        // Nobody waits any more: only the store still has to take it.
        bool answered = false;
        std::optional<TimePoint> holdAskedAt;
        std::size_t holdersAsked = 0;
        std::size_t holdersAnswered = 0;
        InstanceId writer;
        TimePoint since;
        TimePoint sentAt;
        int sends = 0;
    };
    // A record that a shard of this instance writes for a peer.
    struct ForPeer {
        Incarnation from;
        std::uint64_t ticket = 0;
    };

    std::uint32_t shardOf(const std::string& key) const;
    InstanceId writerOf(std::uint32_t shard, int sends) const;
    void send(AppendTicket, Pending&, TimePoint, Outbox&);
    bool wantsHolders(const Pending&, TimePoint) const;
    void askToHold(AppendTicket, Pending&, TimePoint, Outbox&);
    bool heldSafely(const Pending&, TimePoint) const;
    void settle(const AppendResult&, std::vector<AppendResult>& results);

    Incarnation m_self;
    LedgerSettings m_settings;
    Membership& m_membership;
    StoreCalls& m_store;
    std::vector<std::unique_ptr<LedgerShard>> m_shards;
    absl::flat_hash_map<AppendTicket, Pending> m_pending;
    absl::flat_hash_map<AppendTicket, ForPeer> m_forPeers;
    std::vector<AppendResult> m_arrived;
    AppendTicket m_nextTicket = 0;
    TimePoint m_lastWake {};
};

}
