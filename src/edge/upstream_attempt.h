#pragma once

// One attempt of a request at one upstream. A request has one attempt at a time, or two while a hedge is open: another upstream is
// asked to take over, and the current attempt goes on until that one has begun to respond.

#include "core/requests/upstream_response.h"
#include "core/routing/upstream_registry.h"
#include "edge/traffic_state.h"
#include "edge/upstream_connection.h"

namespace skylarkhitch {

struct UpstreamAttempt {
    UpstreamEntry upstream;
    // The model to ask, where the router chooses it.
    std::optional<ModelId> model;
    // Null before it is chosen, and after it was returned to the pool.
    std::shared_ptr<UpstreamConnection> connection;
    // Set once the upstream has begun a response that is no refusal.
    std::optional<UpstreamResponse> response;
    bool isSent = false;
    TimePoint sentAt {};
    // Work that the attempt adds to its upstream, in prompt tokens of the most expensive model.
    std::int64_t work = 0;
    // Work of the upstream before the attempt.
    std::int64_t workBefore = 0;
    // The first event came, so the engine has processed the prompt.
    bool firstEventSeen = false;
    TimePoint firstEventAt {};
    // It was recorded that the upstream outlived the start of the response.
    bool hasOutlived = false;
    // The upstream's current silence was recorded as a late response.
    bool isSilenceRecorded = false;
    // Set while the attempt waits for its first event.
    std::optional<UnansweredRequests::iterator> waiting;
    // The attempt was withdrawn from its upstream.
    bool isWithdrawn = false;
    // The other attempt serves the request, so the outcome of this one is no evidence on its upstream.
    bool isSuperseded = false;
    bool hasEnded = false;
};

}
