#pragma once

// Sends attempts to upstreams. Each attempt produces any number of AttemptChunk events followed by exactly one
// AttemptFinished event, unless it is cancelled.

#include "core/messages.h"

#include <functional>

namespace skylarkhitch {

class UpstreamClient {
public:
    using Sink = std::function<void(Event)>;

    virtual ~UpstreamClient() = default;
    virtual void send(const SendAttempt&) = 0;
    virtual void cancel(AttemptId) = 0;
};

}
