#pragma once

// How long an upstream may be silent before another one is asked to take over.

#include "core/routing/routing_configuration.h"

namespace skylarkhitch {

// Time within which a response of the route is expected. An upstream that takes longer may have lost the request.
Milliseconds expectedResponseTime(const Route&);

// Time without a response, or without an event of a stream, after which another upstream is asked. `firstEventSeen`: the silence is a
// gap between events.
Milliseconds silenceLimit(const Route&, bool firstEventSeen, Milliseconds timeLeft);

}
