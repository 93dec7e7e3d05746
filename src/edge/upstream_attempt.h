#pragma once

// One attempt of a request at one upstream. A request has one attempt at a time, or two while a hedge is open: another upstream is
// asked to take over, and the current attempt goes on until that one has begun to respond.

#include "core/requests/upstream_response.h"
#include "core/routing/upstream_registry.h"
#include "edge/request_context.h"
#include "edge/traffic_state.h"
#include "edge/upstream_connection.h"

namespace skylarkhitch {

struct UpstreamAttempt {
    UpstreamEntry upstream;
    // The model to ask, where the router chooses it.
    std::optional<ModelId> model;
    // It was started to take over from another attempt.
    bool isHedge = false;
    // Null before it is chosen, and after it was returned to the pool.
    std::shared_ptr<UpstreamConnection> connection;
    // Set once the upstream has begun a response that is no refusal.
    std::optional<UpstreamResponse> response;
    bool isSent = false;
    TimePoint sentAt {};
    // Work that the attempt adds to its upstream, in prompt tokens of the most expensive model.
    std::int64_t work = 0;
    // What the engine is expected to hold of the prompt, if the service has a prompt memory. The times are set at sending.
    std::optional<PromptRead> prompt;
    // Memory that the attempt needs on its engine.
    MemoryCommitment memory;
    // Work of the upstream before the attempt.
    std::int64_t workBefore = 0;
    // The first event came, so the engine has processed the prompt.
    bool firstEventSeen = false;
    TimePoint firstEventAt {};
    std::int64_t events = 0;
    // It goes on with a stream whose beginning the caller has.
    bool isContinuation = false;
    // When the caller had taken the last event.
    TimePoint relayedAt {};
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

// Outcome of one attempt, and whether the request is finished with it.
struct AttemptResult {
    AttemptEnd end = AttemptEnd::NotSent;
    bool isFinal = false;
    // The next attempt was already taken from the retry budget.
    bool retryTaken = false;
};

// The name of an end in log lines and metrics.
const char* attemptEndName(AttemptEnd);
// The end of an attempt whose response was read until then.
AttemptEnd toAttemptEnd(TransferEnd);
ReleaseRoute releaseRoute(const RequestContext&, const UpstreamAttempt&);
// Time without a response, or without an event of a stream, after which another upstream is asked to take over.
Milliseconds silenceLimit(const RequestContext&, const UpstreamAttempt&);

// Sends the request and waits until the upstream begins a response. Returns how the attempt ended if it has none. Takes an exception
// for a lost connection. `silence` starts when the request is sent, unless the attempt is a hedge.
Awaitable<std::optional<AttemptEnd>> beginAttempt(RequestContext&, UpstreamAttempt&, DeadlineTimer& silence);
// Records the outcome of an attempt in the state shared by all requests. Corrects the outcome of one that was withdrawn or superseded.
void recordEnd(RequestContext&, UpstreamAttempt&, AttemptResult&);
// Removes the attempt from the list of those that are withdrawn when a part of their prompt is quarantined.
void stopWaiting(RequestContext&, UpstreamAttempt&);
// Returns a connection whose response is complete to the pool. From then on it may serve another request, which must not end
// when the caller of this one disconnects.
void releaseConnection(RequestContext&, UpstreamAttempt&, std::optional<Seconds> idleTimeout, TimePoint now);

}
