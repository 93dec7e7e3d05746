#pragma once

// Tracks the rollouts that operators ordered, as replicated from the store, and advances them together with other instances.

#include "core/rollout/rollout_orders.h"
#include "edge/fleet_view.h"
#include "edge/store_client.h"

#include <set>

namespace skylarkhitch {

// Inputs of one evaluation.
struct RolloutInputs {
    // Request counters of all instances.
    ReleaseEvidence evidence;
    // Whether this instance advances the stages. Every instance may revert a bad release.
    bool isCoordinator = false;
    // Returns whether no request is running on releases other than the order's target.
    std::function<bool(const RolloutOrder&)> oldReleaseIsIdle;
};

class RolloutController {
public:
    // onChange is called when the result of rolloutViews() may have changed.
    RolloutController(EventLoop&, StoreClient&, std::function<void()> onChange);

    // Called when an order was written or read again. isNew is true if that came after this instance had first loaded the store's
    // contents, from the store or from a peer.
    void orderChanged(const ServiceId&, const StoreMirror::Item&, bool isNew);
    // Called when an order was removed. isLostWithCopy is true if the store came back from an older copy, which lacks the order.
    void orderRemoved(const ServiceId&, bool isLostWithCopy);
    // Called when a record changed; the item is null if it was removed.
    void recordChanged(const ServiceId&, const StoreMirror::Item*);
    // Called for what a peer tells of its rollouts.
    void learn(const std::vector<RolloutNews>&);

    // Evaluates every rollout that is not in a final stage, and writes its first or next stage to the store. Must be called
    // regularly.
    void advance(const RolloutInputs&, TimePoint now);

    // Returns whether the service has a rollout order that has not reached a final stage.
    bool isRollingOut(const ServiceId& service) const { return m_orders.isUnderWay(service); }
    std::map<ServiceId, RolloutView> rolloutViews() const;

    // What peers should know.
    std::vector<RolloutNews> news() const { return m_orders.news(); }

private:
    using Rollout = RolloutOrders::Rollout;

    void startRollout(const Rollout&, const RolloutInputs&, TimePoint now);
    // Judges the release and writes the next stage. Returns false if there is none to write.
    bool evaluate(Rollout&, const RolloutInputs&, TimePoint now);
    // Writes a record again that the store lacks.
    void restoreRecord(const ServiceId&, const RolloutInputs&);
    bool mayWrite(const ServiceId&) const;
    void startRecordWrite(const ServiceId&, RolloutRecord);
    Awaitable<void> writeRecord(ServiceId, RolloutRecord, std::int64_t recordRevision);
    // The write itself. An exception may leave it.
    Awaitable<void> tryToWriteRecord(const ServiceId&, const RolloutRecord&, std::int64_t recordRevision);

    EventLoop& m_loop;
    StoreClient& m_store;
    std::function<void()> m_onChange;
    RolloutOrders m_orders;
    TimePoint m_startedAt;
    // Services with a record write in progress.
    std::set<ServiceId> m_pendingWrites;
};

}
