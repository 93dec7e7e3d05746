#pragma once

// Sends attempts to upstreams. For each attempt there are any number of pieces and then exactly one end, unless it is cancelled.

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
