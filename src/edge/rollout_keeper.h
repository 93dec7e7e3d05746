#pragma once

// The roll-outs that operators ordered, as the copy of the store shows them, and this instance's part in moving them on.

#include "core/rollout/release_plan.h"
#include "edge/fleet_view.h"
#include "edge/store_link.h"

#include <set>

namespace skylarkhitch {

// What a turn decides by.
struct RolloutInputs {
    // Counters of all instances.
    ReleaseEvidence evidence;
    // Whether this instance writes what follows from time and evidence; any may take a bad release back.
    bool isCoordinator = false;
    // Whether nothing runs on the releases beside an order's target.
    std::function<bool(const RolloutOrder&)> oldIsIdle;
};

class RolloutKeeper {
public:
    // onChange is called when what is in force may have changed.
    RolloutKeeper(EventLoop&, StoreLink&, std::function<void()> onChange);

    // Items of the store; null if they were removed. seenLive says that the order was given since this instance knows the store.
    void orderChanged(const ServiceId&, const StoreMirror::Item*, bool seenLive);
    void recordChanged(const ServiceId&, const StoreMirror::Item*);

    // Judges every release that is being rolled out, and writes the stage that follows.
    void advance(const RolloutInputs&, TimePoint now);

    // A release of the service is being judged.
    bool isRollingOut(const ServiceId&) const;
    std::map<ServiceId, RolloutInForce> inForce() const;

private:
    struct Order {
        RolloutOrder order;
        // When this instance first saw it; nothing if it was there before.
        std::optional<TimePoint> seenAt;
        bool suspended = false;
    };
    struct Record {
        RolloutRecord record;
        std::int64_t revision = 0;
    };

    // The record of this very order, or null.
    const Record* recordOf(const ServiceId&, const Order&) const;
    void begin(const ServiceId&, const Order&, const RolloutInputs&);
    void judge(const ServiceId&, Order&, const Record&, const RolloutInputs&, TimePoint now);
    bool mayWrite(const ServiceId&) const;
    void startWriting(const ServiceId&, RolloutRecord);
    Awaitable<void> write(ServiceId, RolloutRecord, std::int64_t recordRevision);

    EventLoop& m_loop;
    StoreLink& m_store;
    std::function<void()> m_onChange;
    std::map<ServiceId, Order> m_orders;
    std::map<ServiceId, Record> m_records;
    // Services whose record is being written.
    std::set<ServiceId> m_writing;
};

}
