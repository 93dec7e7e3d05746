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
#include "edge/upstream_attempt.h"

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
    // Logs an attempt that did not serve the request, unless it was dropped for another one.
    void logFailedAttempt(const AttemptResult&, bool isRetried) const;
    // Whether the request may be sent now, see TrafficState.
    bool fitsBeforeExit(TimePoint now) const;
    // Sends the request by way of a peer, since this instance has lost its links to the upstreams.
    Awaitable<void> serveByWayOfPeer();
    // Adds the request to the base of the service's retry budget, once.
    void countArrival();
    // Returns null if there is none. Sets m_limitedFor and m_pausedFor.
    const UpstreamEntry* chooseUpstream(TimePoint now);
    // Makes one attempt, or goes on with one that has begun, and records its outcome in the state shared by all requests.
    Awaitable<AttemptResult> makeAttempt(std::shared_ptr<UpstreamAttempt>);
    // Sends the request and waits until the upstream begins a response. Returns how the attempt ended if it has none.
    Awaitable<std::optional<AttemptEnd>> beginAttempt(UpstreamAttempt&);
    // As beginAttempt(), and takes an exception for a lost connection.
    Awaitable<std::optional<AttemptEnd>> beginContained(UpstreamAttempt&);
    // Relays the response that the upstream has begun.
    Awaitable<AttemptResult> relayResponse(UpstreamAttempt&);
    // Records the outcome of an attempt in the state shared by all requests. Corrects the outcome of one that was withdrawn or superseded.
    void recordEnd(UpstreamAttempt&, AttemptResult&);
    // Called when the upstream of the current attempt has been silent for silenceLimit().
    void onSilence();
    // Asks another upstream to take over, after this outcome of the last one. If none may be asked, the current attempt goes on.
    void hedgeOrWait(const AttemptResult&, const std::optional<ModelId>&);
    // Returns false if there is no upstream to ask. Otherwise the hedge is open until it has failed, or has begun to respond and so
    // ended the current attempt, or is dropped.
    bool startHedge(const std::optional<ModelId>&);
    static Awaitable<void> runHedge(std::shared_ptr<RequestForwarder> self, std::shared_ptr<UpstreamAttempt>);
    // Whether the response that the attempt has begun can serve the request.
    bool canTakeOver(const UpstreamAttempt&) const;
    // Ends the hedge, since the current attempt serves the request.
    void dropHedge();
    // Waits until the hedge has begun to respond or there is none.
    Awaitable<void> awaitHedge();
    // Whether the current attempt cannot be served any more, since this instance has lost its links to the upstreams.
    bool mustLeaveUpstream();
    // Whether the request may be sent although a part of its prompt may crash upstreams.
    bool mayBeSent(TimePoint now);
    // Keeps the request in the list of those that are withdrawn when a part of their prompt is quarantined.
    void startWaiting(UpstreamAttempt&);
    void stopWaiting(UpstreamAttempt&);
    // Waits until the other losses of connections to the upstream are known, if a part of the prompt may have crashed it.
    Awaitable<void> awaitCrashEvidence();
    // Reads the whole response before any of it goes to the caller.
    Awaitable<AttemptResult> relayBuffered(UpstreamAttempt&);
    // Relays an event stream as it arrives, in whole events.
    Awaitable<AttemptResult> relayStream(UpstreamAttempt&);
    // Returns a connection whose response is complete to the pool. From then on it may serve another request, which must not end
    // when the caller of this one disconnects.
    void releaseConnection(UpstreamAttempt&, std::optional<Seconds> idleTimeout, TimePoint now);
    // Asks a larger model if the confidence of the one that has begun a response is too low. Returns whether that has taken over.
    Awaitable<bool> escalateModel(UpstreamAttempt&);
    // Work of a prompt token on the attempt's model, relative to the most expensive model; 1 if the router chose none.
    double costWeight(const UpstreamAttempt&) const;
    ReleaseRoute releaseRoute(const UpstreamAttempt&) const;
    std::string requestHead(const UpstreamAttempt&) const;
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
    void recordUpstreamFailure(const UpstreamAttempt&, AttemptEnd);
    void recordUpstreamSuccess(const UpstreamAttempt&);
    // Records that the upstream leaves or asks for time.
    void recordWishes(const UpstreamEntry&, const UpstreamResponse&);
    void recordLimit(const UpstreamEntry&, const UpstreamResponse&);
    // Records that the upstream completed a stream.
    void recordStreamServed(const UpstreamAttempt&, bool endedWithConnection);
    // Records that the upstream still runs after it began the response, once that has lasted long enough.
    void recordOutlived(UpstreamAttempt&, TimePoint now);
    void recordFirstByte(TimePoint now);
    // Counts the outcome in the metrics, once, and before the last byte of the response: callers may look at them right after it.
    void countOutcome(std::string_view error);
    void logOutcome(std::string_view error, int status);
    // Empty before the request is admitted.
    std::string serviceName() const { return m_admitted.service ? m_admitted.service->name.value : std::string(); }
    Milliseconds timeLeft() const;
    // Whether the route allows another attempt after the current one.
    bool mayTryAnother() const;
    // Time without a response, or without an event of a stream, after which another upstream is asked to take over.
    Milliseconds silenceLimit(const UpstreamAttempt&) const;

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
    ExecutionTracker m_execution;
    EventStreamParser m_events;
    // The attempt whose response the caller gets; null before the first one.
    std::shared_ptr<UpstreamAttempt> m_attempt;
    // The attempt that may take over from it.
    std::shared_ptr<UpstreamAttempt> m_hedge;
    // Cancelled when the hedge begins to respond or ends.
    asio::steady_timer m_hedgeChanged;
    DeadlineTimer m_silence;
    // The silence is looked at again, since bytes had arrived that were not read yet.
    bool m_isSilenceDeferred = false;
    std::optional<RequestRelay> m_relay;
    // Peers by way of which the request was sent.
    std::set<InstanceId> m_triedPeers;
    bool m_isArrivalCounted = false;
    bool m_isOutcomeCounted = false;
    std::vector<UpstreamId> m_triedUpstreams;
    // Attempts that reached an upstream, whether it ran the request or not.
    std::int64_t m_deliveredAttempts = 0;
    // Attempts in which the request ran or may have run, including those that are under way once they are sent.
    std::int64_t m_possibleRuns = 0;
    // The model to ask, where the router chooses it.
    std::optional<ModelId> m_model;
    // An upstream's error response, relayed to the caller if no later attempt succeeds.
    std::optional<EdgeResponse> m_savedError;
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
