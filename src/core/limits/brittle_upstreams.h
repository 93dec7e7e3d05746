#pragma once

// Upstreams that say they are brittle: if all instances together make one reject more than so many requests in a second, it crashes.
// Such a process is healthy and goes on serving, but only as much as certainly fits. It counts as one that states a request limit
// (upstream_limits.h), so that a few instances share its places between them and all others send it nothing: with hundreds of
// instances, what each knows of the others' requests is too old to keep rejections rare. An instance that it rejects gives way until
// its part of the admissible rejections is there again, and never has more requests there than its part of the places.

#include "core/limits/upstream_limits.h"

namespace skylarkhitch {

// Requests per second that a brittle process with this many places gets from all instances together, if it states this limit itself,
// or none.
double brittleRequestLimit(std::int64_t slots, std::optional<double> statedLimit);

// Whether an instance that owns this part of the limit may have one more request at a process with this many places. `ownRequests`
// are those that it has there.
bool fitsOwnPlaces(std::int64_t ownRequests, std::int64_t slots, double ownPart);

// How long an instance sends nothing to a brittle process that rejected one of its requests.
Milliseconds brittlePause(double admissibleRejectionsPerSecond);

}
