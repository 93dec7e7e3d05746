#pragma once

// Relays the response that an upstream has begun to the caller, byte for byte.

#include "edge/request_hedge.h"
#include "edge/request_outcome.h"

namespace skylarkhitch {

class ResponseRelay {
public:
    ResponseRelay(RequestContext& request, RequestHedge& hedge, RequestOutcome& outcome)
        : m_request(request)
        , m_hedge(hedge)
        , m_outcome(outcome)
    {
    }

    // Relays the response of the current attempt, or asks a larger model instead.
    Awaitable<AttemptResult> relay(UpstreamAttempt&);

private:
    // Reads the whole response before any of it goes to the caller.
    Awaitable<AttemptResult> relayBuffered(UpstreamAttempt&);
    // Relays an event stream as it arrives, in whole events.
    Awaitable<AttemptResult> relayStream(UpstreamAttempt&);

    RequestContext& m_request;
    RequestHedge& m_hedge;
    RequestOutcome& m_outcome;
};

}
