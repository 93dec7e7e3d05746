#pragma once

// Failure domains that operators have evacuated: nothing more is sent to their upstreams until the order is withdrawn. Orders are
// read from the platform's store, which may come back from an older copy: an order that the copy lacks stays in force for a while,
// since operators write it again, and one that had been withdrawn does not return with the copy. After a withdrawal the upstreams of
// the domain get their requests back in steps.

#include "core/ids.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <vector>

namespace skylarkhitch {

// An order that an older copy of the store lacks, for heartbeats: an instance that starts now does not find it in the store.
struct KeptEvacuation {
    DomainId domain;
    // Where the order was read last, as in store_revision.h.
    std::int64_t revision = 0;
    // How long it has been missing.
    Milliseconds missingFor {};

    friend bool operator==(const KeptEvacuation&, const KeptEvacuation&) = default;
};

nlohmann::json toJson(const std::vector<KeptEvacuation>&);
// Throws std::exception if the value does not have the form of toJson().
std::vector<KeptEvacuation> keptEvacuationsFrom(const nlohmann::json&);

// Which failure domains may get requests; part of the view that requests are routed by.
struct DomainAvailability {
    // Time in which the upstreams of a domain get their requests back.
    static constexpr Milliseconds refillTime { 5000 };

    std::set<DomainId> evacuated;
    // When this instance saw the domains return, for those that returned lately.
    std::map<DomainId, TimePoint> returnedAt;

    bool isEvacuated(const DomainId& domain) const { return evacuated.contains(domain); }
    // The end of the refill of a domain; nullopt if it is over or the domain has not been evacuated.
    std::optional<TimePoint> refilledAt(const DomainId&, TimePoint now) const;
    // Whether the instance sends requests to an upstream of the domain, of which a growing part of the instances does during the refill.
    bool isRefilled(const DomainId&, const UpstreamId&, const InstanceId&, TimePoint now) const;
};

class DomainEvacuations {
public:
    // How long an order that an older copy of the store lacks stays in force. Operators write it again within seconds.
    static constexpr Seconds repetitionTime { 60 };
    // How long a withdrawn order is remembered, to recognise it in an older copy. Copies are some seconds old.
    static constexpr Seconds withdrawalRetention { 300 };
    // Orders that a heartbeat names at most.
    static constexpr std::size_t maxSent = 32;

    enum class Change { None,
        // The domain gets no more requests.
        Evacuated,
        // An order in force was written again, or read again from a copy.
        Repeated,
        // The copy lacks the order, which stays in force.
        Kept,
        // The copy has an order that had been withdrawn.
        Outdated,
        // The domain gets requests again.
        Returned };

    // An order was read, at a revision as in store_revision.h.
    Change ordered(const DomainId&, std::int64_t revision, TimePoint now);
    // An order is missing from the store: because the store came back from an older copy, or because it was withdrawn.
    Change removed(const DomainId&, bool isLostWithCopy, TimePoint now);
    // A peer keeps an order that the copy lacks.
    Change learn(const KeptEvacuation&, TimePoint now);
    // Ends the orders that were missing for too long, and returns their domains.
    std::vector<DomainId> expire(TimePoint now);

    // The orders that peers cannot read from the store.
    std::vector<KeptEvacuation> kept(TimePoint now) const;
    const DomainAvailability& availability() const { return m_availability; }

private:
    struct Order {
        std::int64_t revision = 0;
        // When it was missing from a copy of the store first; not set while the store has it.
        std::optional<TimePoint> missingSince;
    };
    struct Withdrawal {
        std::int64_t revision = 0;
        TimePoint at;
    };

    void evacuate(const DomainId&, const Order&);
    void withdraw(const DomainId&, TimePoint now);

    std::map<DomainId, Order> m_orders;
    std::map<DomainId, Withdrawal> m_withdrawn;
    DomainAvailability m_availability;
};

// The room that a service has left while some of its domains are evacuated, over all instances.
struct RemainingRoom {
    // Requests that the upstreams run at once.
    std::int64_t slots = 0;
    // Requests that they run, or that wait there.
    std::int64_t requests = 0;
};

// Whether a request of the rank is refused so that more urgent ones find room in the domains that are left. The most urgent rank, 0,
// never yields; of the others a lower one, with a higher number, yields at a shorter queue.
bool yieldsRoom(const RemainingRoom&, std::int64_t rank);

}
