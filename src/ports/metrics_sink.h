#pragma once

// Interface through which the core reports metrics. Calls do not block, and the core never reads metrics back.

#include "core/messages.h"

namespace skylarkhitch {

// Result of one request, reported once when the request ends. Requests that are discarded because their caller disconnected
// are not reported.
struct RequestSummary {
    TeamId team;
    RankId rank;
    ErrorKind error = ErrorKind::None;
    // Time from arrival to the first attempt, or to the end of the request if there was no attempt.
    Microseconds queueWait {};
    // Unset if no token of a stream was received.
    std::optional<Microseconds> timeToFirstToken;
    // Time from arrival to the end of the request.
    Microseconds totalTime {};
    CostMicros cost = 0;
};

class MetricsSink {
public:
    virtual ~MetricsSink() = default;
    virtual void requestEnded(const RequestSummary&) = 0;
    // Reports the time between two successive chunks of a stream that hold tokens.
    virtual void tokenGap(const TeamId&, const RankId&, Microseconds) = 0;
    // Reports the end of an attempt. A cancelled attempt is not reported, unless it was cancelled at the request's deadline
    // after running much longer than expected; it is then reported as TimedOut.
    virtual void attemptEnded(const UpstreamId&, const VersionId&, AttemptEnd) = 0;
    // Counts an event (a chunk or the end) of an attempt that is no longer in flight, usually because it was cancelled.
    virtual void strayResponse() = 0;
    // Counts a retry of a chat request that was taken from the retry budget. Retries after NotSent and RefusedNotRun need no
    // budget and are not counted.
    virtual void retried() = 0;
};

}
