#pragma once

// Tracks the rollouts that operators ordered, as replicated from the store, and advances them together with other instances.

#include "core/rollout/release_plan.h"
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

    // Called when a store item changed; the item is null if it was removed. isNew is true if the change came after this
    // instance had first loaded the store's contents, from the store or from a peer.
    void orderChanged(const ServiceId&, const StoreMirror::Item*, bool isNew);
    void recordChanged(const ServiceId&, const StoreMirror::Item*);

    // Evaluates every rollout that is not in a final stage, and writes its first or next stage to the store. Must be called
    // regularly.
    void advance(const RolloutInputs&, TimePoint now);

    // Returns whether the service has a rollout order that has not reached a final stage.
    bool isRollingOut(const ServiceId&) const;
    std::map<ServiceId, RolloutView> rolloutViews() const;

private:
    struct Order {
        RolloutOrder order;
        // When this instance saw the order appear; not set if it was already in the contents loaded first.
        std::optional<TimePoint> appearedAt;
        // This instance found the target bad.
        bool suspended = false;
    };
    struct Record {
        RolloutRecord record;
        // Store revision of the record.
        std::int64_t revision = 0;
    };

    // Returns the record of this order, or null if there is none or it belongs to another order.
    const Record* recordOf(const ServiceId&, const Order&) const;
    void startRollout(const ServiceId&, const Order&, const RolloutInputs&);
    void evaluate(const ServiceId&, Order&, const Record&, const RolloutInputs&, TimePoint now);
    bool mayWrite(const ServiceId&) const;
    void startRecordWrite(const ServiceId&, RolloutRecord);
    Awaitable<void> writeRecord(ServiceId, RolloutRecord, std::int64_t recordRevision);

    EventLoop& m_loop;
    StoreClient& m_store;
    std::function<void()> m_onChange;
    std::map<ServiceId, Order> m_orders;
    std::map<ServiceId, Record> m_records;
    // Services with a record write in progress.
    std::set<ServiceId> m_pendingWrites;
};

}
