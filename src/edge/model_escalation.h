#pragma once

// Asks a larger model where the confidence of a smaller one in its answer is too low.

#include "edge/request_hedge.h"

namespace skylarkhitch {

// Asks a larger model if the confidence of the one that has begun a response is too low, and the request may run again. Returns
// whether that has taken over.
Awaitable<bool> escalateModel(RequestContext&, RequestHedge&, UpstreamAttempt&);

}
