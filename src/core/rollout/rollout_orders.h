#pragma once

// The order and the stage in force for each service. Orders and records are read from the platform's store, which may come back
// from an older copy: then the record is missing or older, and an order that was written in the meantime is written again under
// another revision. An order that is repeated in this way is still the same order, and a stage never goes back.

#include "core/rollout/release_plan.h"
#include "core/rollout/rollout_news.h"

#include <optional>

namespace skylarkhitch {

// An order as it was read from the store, at a revision as in store_revision.h.
struct StoredOrder {
    RolloutOrder order;
    std::int64_t revision = 0;
};

// A record as it was read from the store, at a revision as in store_revision.h.
struct StoredRecord {
    RolloutRecord record;
    std::int64_t revision = 0;
};

class RolloutOrders {
public:
    // Time from when a return of the store is seen until an order with the same contents is a new one. Operators write again
    // within seconds what a copy lacks.
    static constexpr Seconds repetitionTime { 60 };

    struct Rollout {
        StoredOrder stored;
        // The era in which the operator wrote the order last.
        std::int64_t writtenEra = 0;
        // When the last return of the store was seen; set until the order is written again.
        std::optional<TimePoint> returnSeenAt;
        // When this instance saw the order appear; not set if it was already in the contents loaded first.
        std::optional<TimePoint> appearedAt;
        // This instance found the target bad.
        bool isSuspended = false;
        // The furthest stage known; nullopt before the first one.
        std::optional<RolloutRecord> furthest;
        // The record that the store confirmed last, and the era then. Reading may be late.
        std::optional<RolloutRecord> confirmed;
        std::int64_t confirmedEra = 0;

        const RolloutOrder& order() const { return stored.order; }
    };

    // What reading an order means.
    enum class OrderChange {
        New,
        // The order that is in force, written again or read again from a copy.
        Repeated,
        // An order that the one in force replaced; the store's copy is older than that.
        Outdated,
    };

    // An order was read. isNew is true if it came after this instance had first loaded the store's contents.
    OrderChange readOrder(const StoredOrder&, bool isNew, TimePoint now);
    // An order is missing. If the store came back from an older copy, the order stays in force, since it is written again.
    void orderMissing(const ServiceId&, bool isLostWithCopy, TimePoint now);
    void readRecord(const ServiceId&, const StoredRecord&);
    void recordMissing(const ServiceId& service) { m_records.erase(service); }
    // The store confirmed in an era that it wrote a record.
    void recordWritten(const ServiceId&, const RolloutRecord&, std::int64_t era);
    // A peer told the stage that it knows of. Returns true if it is news. Ignored if it concerns another order.
    bool learn(const RolloutNews&);

    std::map<ServiceId, Rollout>& all() { return m_rollouts; }
    const std::map<ServiceId, Rollout>& all() const { return m_rollouts; }
    // Revision of the stored record; 0 if there is none.
    std::int64_t recordRevision(const ServiceId&) const;
    // The record to write again because the stored one is missing, belongs to another order or is behind; nullopt if none is, or
    // if the store confirmed it in the given era, which is the current one.
    std::optional<RolloutRecord> recordToRestore(const ServiceId&, std::int64_t era) const;
    // Whether the service has an order that has not reached a final stage.
    bool isUnderWay(const ServiceId&) const;
    // What peers should know.
    std::vector<RolloutNews> news() const;

private:
    // Earlier orders of a service that are remembered, to recognise them in an older copy of the store.
    static constexpr std::size_t maxReplaced = 8;

    void advance(Rollout&, const RolloutRecord&);
    // Whether an order with the contents of the one in force, read in a later era, is that one.
    static bool isRepetition(const Rollout&, const StoredOrder&, TimePoint now);
    bool wasReplaced(const StoredOrder&) const;
    void rememberReplaced(const StoredOrder&);
    // Returns the stored record if it belongs to the order, else null.
    const RolloutRecord* storedRecordOf(const RolloutOrder&) const;

    std::map<ServiceId, Rollout> m_rollouts;
    std::map<ServiceId, StoredRecord> m_records;
    std::map<ServiceId, std::vector<StoredOrder>> m_replaced;
};

}
