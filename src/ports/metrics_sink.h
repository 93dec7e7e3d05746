#pragma once

// Interface through which the core reports metrics. Calls do not block, and the core never reads metrics back.

#include "core/messages.h"

namespace skylarkhitch {

// Result of one request, reported once when its final response is sent.
struct RequestSummary {
    TeamId team;
    RankId rank;
    ErrorKind error = ErrorKind::None;
    Microseconds queueWait {};
    std::optional<Microseconds> timeToFirstToken;
    Microseconds totalTime {};
    CostMicros cost = 0;
};

class MetricsSink {
public:
    virtual ~MetricsSink() = default;
    virtual void requestEnded(const RequestSummary&) = 0;
    virtual void tokenGap(const TeamId&, const RankId&, Microseconds) = 0;
    virtual void attemptEnded(const UpstreamId&, const VersionId&, AttemptEnd) = 0;
    // A response arrived for an attempt that was cancelled or never sent.
    virtual void strayResponse() = 0;
    virtual void retried() = 0;
};

}
