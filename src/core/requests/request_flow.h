#pragma once

// Interface for the handling that depends on the kind of request: its start, and the events of its attempts, ledger
// records and ratings.

#include "core/requests/core_components.h"

namespace skylarkhitch {

class RequestFlow {
public:
    virtual ~RequestFlow() = default;

    // The request has passed the checks common to all kinds.
    virtual void accepted(RequestState&, TimePoint, Outbox&) = 0;
    // Called when a slot may be free. Returns the attempt's requirements for its upstream, or nothing if the request was
    // answered or queued again instead.
    virtual std::optional<UpstreamRequirements> beforeAttempt(RequestState&, TimePoint, Outbox&) = 0;
    // Sets the fields of the attempt that depend on the kind of request.
    virtual void fillAttempt(const RequestState&, SendAttempt&) const = 0;
    // A chunk of the streamed response of the attempt in flight.
    virtual void chunkReceived(RequestState&, AttemptChunk, TimePoint, Outbox&) = 0;
    // The attempt in flight ended. Also called without an attempt, with AttemptEnd::NotSent, if no upstream can take the
    // request.
    virtual void attemptEnded(RequestState&, AttemptFinished, TimePoint, Outbox&) = 0;
    // Result of the ledger append that the request awaits.
    virtual void recorded(RequestState&, const AppendResult&, TimePoint, Outbox&) = 0;
    // Result of the rating of a response of this request.
    virtual void rated(RequestState&, const RatingReceived&, TimePoint, Outbox&) = 0;
    virtual void callerDisconnected(RequestState&, TimePoint, Outbox&) = 0;
    // Rejects a waiting request. The response reports it as not executed, unless an earlier attempt may have run.
    virtual void rejectWaiting(RequestState&, ErrorKind, const std::string& message, TimePoint, Outbox&) = 0;
    // The deadline passed while the request was in its current phase.
    virtual void deadlineExpired(RequestState&, TimePoint, Outbox&) = 0;
    // Checks again for the outcome of an earlier request with the same idempotency key.
    virtual void checkOutcome(RequestState&, TimePoint, Outbox&) { }
};

}
