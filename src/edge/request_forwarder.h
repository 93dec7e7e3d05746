#pragma once

// Forwards one request: checks it, sends it to an upstream, retries where that is safe, relays the response body byte for
// byte, and logs one line with the outcome.

#include "core/requests/admit_request.h"
#include "core/requests/event_stream_parser.h"
#include "core/requests/execution_tracker.h"
#include "core/requests/upstream_response.h"
#include "core/routing/model_choice.h"
#include "edge/caller_connection.h"
#include "edge/request_relay.h"
#include "edge/traffic_state.h"

namespace skylarkhitch {

class RequestForwarder : public std::enable_shared_from_this<RequestForwarder> {
public:
    RequestForwarder(TrafficState&, std::shared_ptr<CallerConnection>, ReceivedRequest);

    // Serves the request until it is finished.
    Awaitable<void> run();

private:
    // Outcome of one attempt, and whether the request is finished with it.
    struct AttemptResult {
        AttemptEnd end = AttemptEnd::NotSent;
        bool isFinal = false;
        // The next attempt was already taken from the retry budget.
        bool retryTaken = false;
    };

    // Admits the request and serves it, after a wait if there is no configuration yet.
    Awaitable<void> admitAndServe();
    // Decodes the request and checks it against the current configuration.
    ErrorKind admit();
    // Makes attempts until one gives the final response or no further attempt is allowed.
    Awaitable<void> serve();
    // Whether the request may be sent now, see TrafficState.
    bool fitsBeforeExit(TimePoint now) const;
    // Sends the request by way of a peer, since this instance has lost its links to the upstreams.
    Awaitable<void> serveByWayOfPeer();
    // Adds the request to the base of the service's retry budget, once.
    void countArrival();
    // Returns null if there is none. Sets m_limitedFor and m_pausedFor.
    const UpstreamEntry* chooseUpstream(TimePoint now);
    // Makes one attempt and records its outcome in the state shared by all requests.
    Awaitable<AttemptResult> makeAttempt(UpstreamEntry);
    // Whether the request may be sent although a part of its prompt may crash upstreams.
    bool mayBeSent(TimePoint now);
    // Keeps the request in the list of those that are withdrawn when a part of their prompt is quarantined.
    void startWaiting();
    void stopWaiting();
    // Waits until the other losses of connections to the upstream are known, if a part of the prompt may have crashed it.
    Awaitable<void> awaitCrashEvidence();
    // Sends the request on an open connection and handles the response.
    Awaitable<AttemptResult> sendAndReceive(const UpstreamEntry&, std::shared_ptr<UpstreamConnection>);
    // Reads the whole response before any of it goes to the caller.
    Awaitable<AttemptResult> relayBuffered(const UpstreamEntry&, std::shared_ptr<UpstreamConnection>, UpstreamResponse);
    // Relays an event stream as it arrives, in whole events.
    Awaitable<AttemptResult> relayStream(const UpstreamEntry&, std::shared_ptr<UpstreamConnection>, UpstreamResponse);
    // Returns a connection whose response is complete to the pool. From then on it may serve another request, which must not end
    // when the caller of this one disconnects.
    void releaseConnection(const UpstreamEntry&, std::shared_ptr<UpstreamConnection>, std::optional<Seconds> idleTimeout, TimePoint now);
    // Whether the response is dropped to ask a larger model, because the model's confidence is too low. Selects that model.
    bool escalateModel(const UpstreamEntry&, const UpstreamResponse&);
    // Work of a prompt token on the model that the router chose, relative to the most expensive model; 1 if it chose none.
    double costWeight() const;
    ReleaseRoute releaseRoute(const UpstreamEntry&) const;
    std::string requestHead(const UpstreamEntry&) const;
    // Whether the request may be sent again after this result. Takes a retry from the budget if one is needed.
    bool reserveRetry(const AttemptResult&, TimePoint now);
    // Time after which the caller of a refused request may come back.
    Milliseconds retryAfter(const ErrorInfo&) const;
    // Error for the caller if chooseUpstream() found none.
    ErrorKind noUpstreamError() const;
    // Error for the caller if no attempt follows this one.
    ErrorKind errorFor(const AttemptResult&) const;
    // Ends a request for which no attempt gave the final response: resets the connection if a response was started, else relays
    // the upstream's error response saved from an earlier attempt, else sends an error response.
    Awaitable<void> respondWithError(ErrorKind);
    void recordUpstreamFailure(const UpstreamEntry&, AttemptEnd);
    void recordUpstreamSuccess(const UpstreamEntry&);
    // Records that the upstream leaves or asks for time.
    void recordWishes(const UpstreamEntry&, const UpstreamResponse&);
    void recordLimit(const UpstreamEntry&, const UpstreamResponse&);
    // Records that the upstream completed a stream.
    void recordStreamServed(const UpstreamEntry&, bool endedWithConnection);
    // Records that the upstream still runs after it began the response, once that has lasted long enough.
    void recordOutlived(const UpstreamEntry&, TimePoint now);
    void recordFirstByte(TimePoint now);
    // Counts the outcome in the metrics, once, and before the last byte of the response: callers may look at them right after it.
    void countOutcome(std::string_view error);
    void logOutcome(std::string_view error, int status);
    // Empty before the request is admitted.
    std::string serviceName() const { return m_admitted.service ? m_admitted.service->name.value : std::string(); }
    Milliseconds timeLeft() const;
    // Whether the route allows another attempt after the current one.
    bool mayTryAnother() const;
    // Time to wait for the response head, or for a stream's first event. Shorter if another upstream may be tried.
    Milliseconds responseTimeout() const;

    TrafficState& m_traffic;
    std::shared_ptr<CallerConnection> m_caller;
    ReceivedRequest m_received;
    // The view that the request was checked against.
    FleetViewPtr m_view;
    AdmittedRequest m_admitted;
    // The parts of the prompt that other requests may share.
    std::vector<std::string> m_parts;
    // The request was let through to find out whether a part of its prompt still crashes upstreams.
    bool m_isProbe = false;
    // Set while the current attempt waits for its first event.
    std::optional<UnansweredRequests::iterator> m_waiting;
    // The current attempt was withdrawn from its upstream.
    bool m_isWithdrawn = false;
    ExecutionTracker m_execution;
    EventStreamParser m_events;
    std::shared_ptr<UpstreamConnection> m_connection;
    std::optional<RequestRelay> m_relay;
    // Peers by way of which the request was sent.
    std::set<InstanceId> m_triedPeers;
    bool m_isArrivalCounted = false;
    bool m_isOutcomeCounted = false;
    std::vector<UpstreamId> m_triedUpstreams;
    // Attempts that reached an upstream, whether it ran the request or not.
    std::int64_t m_deliveredAttempts = 0;
    // Attempts in which the request ran or may have run, including the current one once it is sent.
    std::int64_t m_possibleRuns = 0;
    // The model to ask, where the router chooses it.
    std::optional<ModelId> m_model;
    // Work that the current attempt adds to its upstream, in prompt tokens of the most expensive model.
    std::int64_t m_attemptWork = 0;
    // Work of the upstream before the current attempt.
    std::int64_t m_workBefore = 0;
    // The first event of the current attempt came, so the engine has processed the prompt.
    bool m_firstEventSeen = false;
    TimePoint m_firstEventAt {};
    // It was recorded that the upstream outlived the start of the current attempt's response.
    bool m_hasOutlived = false;
    // An upstream's error response, relayed to the caller if no later attempt succeeds.
    std::optional<EdgeResponse> m_savedError;
    TimePoint m_sentAt {};
    // Set if there are upstreams for the request, but the limits that they state leave no room for it: the time until one has.
    std::optional<Milliseconds> m_limitedFor;
    // Set if there are upstreams for the request, but all of them want nothing for now: the time until the first one does.
    std::optional<Milliseconds> m_pausedFor;
    // When the request could be sent first.
    std::optional<TimePoint> m_servedSince;
    // The caller got a whole answer.
    bool m_isAnswered = false;
    // When the first part of the response was sent to the caller.
    std::optional<TimePoint> m_firstByteAt;
};

}
