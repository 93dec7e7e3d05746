#pragma once

// Records what a stream shows of the speed of its engine and of the length of its route's outputs. Does nothing for upstreams that are
// not model engines.

#include "edge/upstream_attempt.h"

namespace skylarkhitch {

// The first event of the attempt arrived.
void recordFirstEvent(const RequestContext&, const UpstreamAttempt&, TimePoint now);
// So many further events arrived together. Nothing is recorded if there is more than one, since those waited somewhere.
void recordGap(const RequestContext&, const UpstreamAttempt&, std::size_t events, TimePoint now);
// The stream is complete. Nothing is recorded of one that began elsewhere.
void recordOutput(const RequestContext&, const UpstreamAttempt&);

}
