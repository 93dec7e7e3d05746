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

    // Starts waiting requests while slots are free, and rejects those that can no longer finish by their deadlines.
    void run(TimePoint, Outbox&);
    // Frees the slot and updates the statistics of the upstream and version; RequestFlow::attemptEnded decides what follows.
    void attemptEnded(RequestState&, const AttemptFinished&, TimePoint, Outbox&);
    // Cancels the attempt in flight, if any. It counts neither as a success nor as a failure of the upstream.
    void cancelAttempt(RequestState&, Outbox&);
    // Cancels the attempt in flight of a request that is past its deadline. It counts as a failure of the upstream only if
    // it ran for several times its expected duration.
    void expireAttempt(RequestState&, TimePoint, Outbox&);
    // Removes a request from its pool's queue.
    void removeFromQueue(RequestState&);
    // Counts this instance's queued and running requests by pool, rank and team, for the heartbeat about to be sent.
    // Invalidates the cached slot quotas, which are computed from the announced counts.
    std::vector<PoolDemand> updateAnnouncedDemands();
    // Whether the number of requests has grown so much since the last heartbeat that the next one should be sent early.
    bool demandGrew() const;
    // To be called when the demand announced by another instance may have changed.
    void invalidateSlotQuotas() { m_slotQuotasStale = true; }

private:
    // Handled: the request was answered or queued again, or no longer exists.
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
    // Number of the pool's slots that this instance may use, at least 1.
    double slotQuota(const PoolId&, const UpstreamRequirements&, TimePoint);
    std::vector<ShareDemand> demandsFor(const std::string& pool) const;
    void send(RequestState&, const UpstreamId&, TimePoint, Outbox&);

    struct PoolState {
        // Attempts of this instance in flight.
        std::int64_t running = 0;
        // Work per second in one slot, averaged over completed attempts; 0 before the first.
        double throughput = 0;
        // Cached slot quota.
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

// Work of a request in tokens, used for fair queuing among teams and for the expected wait: the maximum number of output
// tokens of a chat request, a constant for a service call.
double expectedWork(const CallerRequest&);

// The pool of the upstreams of a version or service.
PoolId poolOf(const VersionId&);
PoolId poolOf(const ServiceId&);

}
