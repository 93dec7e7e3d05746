#pragma once

// Serves a request by way of peers, since this instance has lost its links to the upstreams.

#include "edge/request_outcome.h"
#include "edge/request_relay.h"

namespace skylarkhitch {

class PeerFallback {
public:
    PeerFallback(RequestContext& request, RequestOutcome& outcome)
        : m_request(request)
        , m_outcome(outcome)
    {
    }

    // Sends the request by way of a peer, or another one while they cannot be reached. A response that has begun is not given up as
    // long as its caller waits: if no peer is reached, they are asked again, until the links are back. Returns false if they are, and
    // true if the request is finished.
    Awaitable<bool> serve();
    // Ends the request, since its caller has left.
    void close();

private:
    // Asks the peers in turn, each once. Returns true if the request is finished.
    Awaitable<bool> askPeers();

    RequestContext& m_request;
    RequestOutcome& m_outcome;
    std::optional<RequestRelay> m_relay;
};

}
