#pragma once

// Brings waiting requests to upstreams: asks the admission order for the next one, chooses its upstream, sends the
// attempt, and does the accounting when it ends.

#include "core/limits/capacity_share.h"
#include "core/requests/request_flow.h"

namespace skylarkhitch {

class Dispatcher {
public:
    explicit Dispatcher(CoreParts& parts)
        : m_parts(parts)
    {
    }

    // Puts a request into its pool's queue, or refuses it at once when its deadline can not be met.
    void enqueue(RequestState&, const PoolId&, const UpstreamNeed&, TimePoint, Outbox&);

    // Starts every waiting request that finds a place.
    void run(TimePoint, Outbox&);
    void attemptEnded(RequestState&, const AttemptFinished&, TimePoint, Outbox&);
    void cancelAttempt(RequestState&, Outbox&);
    // Ends an attempt whose request is past its deadline. That speaks against the upstream only if the attempt had several
    // times its usual time.
    void expireAttempt(RequestState&, TimePoint, Outbox&);
    // Takes a request out of its queue.
    void unqueue(RequestState&);
    // What waits and runs here, for the heartbeats; also works out this instance's parts anew.
    std::vector<PoolDemand> takeDemands();
    // Whether so much has come since the last heartbeat that the others should hear of it at once.
    bool demandGrew() const;
    // Another instance's demand has changed.
    void demandsChanged() { m_sharesDirty = true; }

private:
    enum class Start { Started,
        NoPlace,
        Answered };
    Start start(const WaitingRequest&, TimePoint, Outbox&);
    void runPool(const PoolId&, TimePoint, Outbox&);
    void makeRoom(TimePoint, Outbox&);
    Microseconds predictedWait(const WaitingRequest&, const UpstreamNeed&, TimePoint);
    // Seconds that this much work takes on one place.
    double serviceSeconds(const PoolId&, double work) const;
    void learnSpeed(const RequestState&, TimePoint);
    // Places of the pool that this instance may fill.
    double placesFor(const PoolId&, const UpstreamNeed&, TimePoint);
    std::vector<ShareDemand> demandsFor(const std::string& pool) const;
    void send(RequestState&, const UpstreamId&, TimePoint, Outbox&);

    struct PoolState {
        std::int64_t running = 0;
        // Work that a place does in a second, learned from whole answers; 0 until the first.
        double speed = 0;
        double places = 0;
        TimePoint placesAt {};
    };

    CoreParts& m_parts;
    absl::flat_hash_map<PoolId, PoolState> m_pools;
    // As announced by the last heartbeat.
    std::vector<PoolDemand> m_ownDemands;
    std::int64_t m_announced = 0;
    bool m_sharesDirty = true;
};

// Expected work of a request in tokens, for the turns among teams and the expected wait.
double workOf(const CallerRequest&);

// The pool of a version's or a service's upstreams.
PoolId poolOf(const VersionId&);
PoolId poolOf(const ServiceId&);

}
