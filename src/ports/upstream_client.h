#pragma once

// Interface for sending attempts to upstreams. Each attempt produces exactly one AttemptFinished event; a streamed chat
// response produces any number of AttemptChunk events before it. After a cancellation, events of the attempt may be missing
// or may still arrive.

#include "core/messages.h"

#include <functional>

namespace skylarkhitch {

class UpstreamClient {
public:
    // Receives the events of all attempts.
    using Sink = std::function<void(Event)>;

    virtual ~UpstreamClient() = default;
    virtual void send(const SendAttempt&) = 0;
    // Has no effect on an attempt that has ended.
    virtual void cancel(AttemptId) = 0;
};

}
