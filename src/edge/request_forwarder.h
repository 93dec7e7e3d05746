#pragma once

// Forwards one request: checks it, sends it to an upstream, retries where that is safe, relays the response body byte for
// byte, and logs one line with the outcome. docs/DESIGN.md, "The way of a request", lists the steps.

#include "edge/peer_fallback.h"
#include "edge/request_hedge.h"
#include "edge/request_outcome.h"
#include "edge/response_relay.h"

namespace skylarkhitch {

class RequestForwarder : public std::enable_shared_from_this<RequestForwarder> {
public:
    RequestForwarder(TrafficState&, std::shared_ptr<CallerConnection>, ReceivedRequest);

    // Serves the request until it is finished.
    Awaitable<void> run();

private:
    // Admits the request and serves it, after a wait if there is no configuration yet.
    Awaitable<void> admitAndServe();
    // Decodes the request and checks it against the current configuration.
    ErrorKind admit();
    // Makes attempts until one gives the final response or no further attempt is allowed.
    Awaitable<void> serve();
    // Adds the request to the base of the service's retry budget, once.
    void countArrival();
    // Returns why the request must not be sent, since parts of its prompt may crash upstreams, or None.
    ErrorKind checkParts(TimePoint now);
    // Makes one attempt, or goes on with one that has begun, and records its outcome in the state shared by all requests.
    Awaitable<AttemptResult> makeAttempt(std::shared_ptr<UpstreamAttempt>);

    RequestContext m_request;
    RequestOutcome m_outcome;
    RequestHedge m_hedge;
    ResponseRelay m_relay;
    PeerFallback m_peers;
    bool m_isArrivalCounted = false;
    // When the request could be sent first.
    std::optional<TimePoint> m_servedSince;
};

}
