#pragma once

// What the kinds of request do differently: how they start, and what follows an attempt, a record or a rating.

#include "core/requests/core_parts.h"

namespace skylarkhitch {

class RequestFlow {
public:
    virtual ~RequestFlow() = default;

    // The request passed the checks common to all.
    virtual void accepted(RequestState&, TimePoint, Outbox&) = 0;
    // A place may be free: says what the attempt needs, or gives the final answer and returns nothing.
    virtual std::optional<UpstreamNeed> beforeAttempt(RequestState&, TimePoint, Outbox&) = 0;
    // Completes the message for the chosen upstream.
    virtual void fillAttempt(const RequestState&, SendAttempt&) const = 0;
    virtual void pieceArrived(RequestState&, AttemptPiece, TimePoint, Outbox&) = 0;
    virtual void attemptEnded(RequestState&, AttemptFinished, TimePoint, Outbox&) = 0;
    virtual void recorded(RequestState&, const AppendResult&, TimePoint, Outbox&) = 0;
    virtual void rated(RequestState&, const RatingArrived&, TimePoint, Outbox&) = 0;
    virtual void callerLeft(RequestState&, TimePoint, Outbox&) = 0;
    // A waiting request is given up: it was not run, and says so.
    virtual void giveUp(RequestState&, ErrorKind, const std::string& message, TimePoint, Outbox&) = 0;
    // The deadline has passed in this phase.
    virtual void expired(RequestState&, TimePoint, Outbox&) = 0;
    virtual void lookAgain(RequestState&, TimePoint, Outbox&) { }
};

}
