#pragma once

// Brings waiting requests to upstreams: asks the admission order for the next one, chooses its upstream, sends the
// attempt, and does the accounting when it ends.

#include "core/request_flow.h"

namespace skylarkhitch {

class Dispatcher {
public:
    explicit Dispatcher(CoreParts& parts)
        : m_parts(parts)
    {
    }

    // Puts a request into its pool's queue, or refuses it at once when its deadline can not be met.
    void enqueue(RequestState&, const PoolId&, const UpstreamNeed&, double work, TimePoint, Outbox&);

    // Starts every waiting request that finds a place.
    void run(TimePoint, Outbox&);
    void attemptEnded(RequestState&, const AttemptFinished&, TimePoint, Outbox&);
    void cancelAttempt(RequestState&, Outbox&);
    // Takes a request out of its queue.
    void unqueue(RequestState&);

private:
    enum class Start { Started,
        NoPlace,
        Answered };
    Start start(const WaitingRequest&, TimePoint, Outbox&);
    void runPool(const PoolId&, TimePoint, Outbox&);
    void makeRoom(TimePoint, Outbox&);
    Microseconds predictedWait(const WaitingRequest&, const UpstreamNeed&, TimePoint) const;
    void send(RequestState&, const UpstreamId&, TimePoint, Outbox&);

    CoreParts& m_parts;
};

// The pool of a version's or a service's upstreams.
PoolId poolOf(const VersionId&);
PoolId poolOf(const ServiceId&);

}
