#pragma once

// Dispatches waiting requests to upstreams: takes the next request from the admission queue, chooses its upstream, sends
// the attempt, and updates all counters when the attempt ends.

#include "core/limits/capacity_share.h"
#include "core/requests/request_flow.h"

namespace skylarkhitch {

class Dispatcher {
public:
    explicit Dispatcher(CoreComponents& core)
        : m_core(core)
    {
    }

    // Adds a request to its pool's queue, or rejects it immediately if it cannot meet its deadline.
    void enqueue(RequestState&, const PoolId&, const UpstreamRequirements&, TimePoint, Outbox&);

    // Starts all waiting requests for which a slot is free.
    void run(TimePoint, Outbox&);
    void attemptEnded(RequestState&, const AttemptFinished&, TimePoint, Outbox&);
    void cancelAttempt(RequestState&, Outbox&);
    // Ends an attempt whose request is past its deadline. Counts as a failure of the upstream only if the attempt ran for
    // several times its expected duration.
    void expireAttempt(RequestState&, TimePoint, Outbox&);
    // Removes a request from its pool's queue.
    void removeFromQueue(RequestState&);
    // Returns the queued and running requests of this instance for its heartbeat, and invalidates the cached slot quotas.
    std::vector<PoolDemand> updateAnnouncedDemands();
    // Whether the number of requests has grown so much since the last heartbeat that it should be announced early.
    bool demandGrew() const;
    // The demand of another instance has changed: invalidates the cached slot quotas.
    void invalidateSlotQuotas() { m_slotQuotasStale = true; }

private:
    enum class Start { Started,
        NoSlot,
        Handled };
    Start start(const WaitingRequest&, TimePoint, Outbox&);
    void runPool(const PoolId&, TimePoint, Outbox&);
    void shedExcessRequests(TimePoint, Outbox&);
    Microseconds predictedWait(const WaitingRequest&, const UpstreamRequirements&, TimePoint);
    // Expected time in seconds to process this much work in one slot.
    double serviceSeconds(const PoolId&, double work) const;
    void updateThroughput(const RequestState&, TimePoint);
    // Number of the pool's slots that this instance may use.
    double slotQuota(const PoolId&, const UpstreamRequirements&, TimePoint);
    std::vector<ShareDemand> demandsFor(const std::string& pool) const;
    void send(RequestState&, const UpstreamId&, TimePoint, Outbox&);

    struct PoolState {
        std::int64_t running = 0;
        // Work per second in one slot, averaged over completed attempts; 0 before the first.
        double throughput = 0;
        double slots = 0;
        TimePoint slotQuotaUpdatedAt {};
    };

    CoreComponents& m_core;
    absl::flat_hash_map<PoolId, PoolState> m_pools;
    // Demand announced in the last heartbeat.
    std::vector<PoolDemand> m_announcedDemands;
    std::int64_t m_announcedRequests = 0;
    bool m_slotQuotasStale = true;
};

// Expected work of a request in tokens, used for fair queuing among teams and for the expected wait.
double expectedWork(const CallerRequest&);

// The pool of the upstreams of a version or service.
PoolId poolOf(const VersionId&);
PoolId poolOf(const ServiceId&);

}
