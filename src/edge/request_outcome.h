#pragma once

// The end of a request: its metrics, its log line, and the error response if no attempt served it.

#include "edge/upstream_attempt.h"

namespace skylarkhitch {

EdgeResponse toCallerResponse(UpstreamResponse, std::string body = {});

class RequestOutcome {
public:
    explicit RequestOutcome(RequestContext& request)
        : m_request(request)
    {
    }

    // Logs an attempt that did not serve the request, unless it was dropped for another one.
    void logFailedAttempt(const UpstreamAttempt&, AttemptEnd, bool isRetried) const;
    // Keeps an upstream's error response, relayed to the caller if no later attempt succeeds.
    void saveError(EdgeResponse response) { m_savedError = std::move(response); }
    void recordFirstByte(TimePoint now);
    // When the first part of the response was sent to the caller, if a peer served it.
    void setFirstByteAt(std::optional<TimePoint> time) { m_firstByteAt = time; }
    // Counts the outcome in the metrics, once, and before the last byte of the response: callers may look at them right after it.
    void count(std::string_view error);
    // Logs the outcome and counts it.
    void log(std::string_view error, int status);
    // Ends a request for which no attempt gave the final response: resets the connection if a response was started, else relays
    // the upstream's error response saved from an earlier attempt, else sends an error response.
    Awaitable<void> respondWithError(ErrorKind);
    // Error for the caller if chooseUpstream() found none.
    ErrorKind noUpstreamError() const;
    // Error for the caller if no attempt follows one with this end.
    ErrorKind errorFor(AttemptEnd) const;

private:
    // Time after which the caller of a refused request may come back.
    Milliseconds retryAfter(const ErrorInfo&) const;

    RequestContext& m_request;
    std::optional<EdgeResponse> m_savedError;
    // When the first part of the response was sent to the caller.
    std::optional<TimePoint> m_firstByteAt;
    bool m_isCounted = false;
};

}
