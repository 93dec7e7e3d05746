#pragma once

// What the core reports for counting. The core never waits for it and never reads it back.

#include "core/messages.h"

namespace skylarkhitch {

// How one request went, told once when its final answer is given.
struct RequestSummary {
    TeamId team;
    RankId rank;
    ErrorKind error = ErrorKind::None;
    Microseconds queueWait {};
    std::optional<Microseconds> firstToken;
    Microseconds whole {};
    CostMicros cost = 0;
};

class MetricsSink {
public:
    virtual ~MetricsSink() = default;
    virtual void requestEnded(const RequestSummary&) = 0;
    virtual void tokenGap(const TeamId&, const RankId&, Microseconds) = 0;
    virtual void attemptEnded(const UpstreamId&, const VersionId&, AttemptEnd) = 0;
    // An answer came for an attempt that was cancelled or never made.
    virtual void strayResponse() = 0;
    virtual void retried() = 0;
};

}
