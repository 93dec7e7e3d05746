#pragma once

// Records what the attempts of a request show of their upstreams, in the state shared by all requests.

#include "edge/upstream_attempt.h"

namespace skylarkhitch {

void recordUpstreamFailure(RequestContext&, const UpstreamAttempt&, AttemptEnd);
void recordUpstreamSuccess(RequestContext&, const UpstreamAttempt&);
// Whether another upstream may have sent the response, so that what it says of itself does not concern this one.
bool mayBeFromOther(const UpstreamResponse&, const UpstreamEntry&);
// Records whether the request was turned away as misdirected, and what that shows of this upstream and those that were asked before.
void recordMisdirection(RequestContext&, const UpstreamAttempt&, const UpstreamResponse&);
// Records that the upstream leaves or asks for time.
void recordWishes(RequestContext&, const UpstreamEntry&, const UpstreamResponse&);
void recordLimit(RequestContext&, const UpstreamEntry&, const UpstreamResponse&);
// Records that the upstream completed a stream.
void recordStreamServed(RequestContext&, const UpstreamAttempt&, bool endedWithConnection);
// Records that the upstream still runs after it began the response, once that has lasted long enough.
void recordOutlived(RequestContext&, UpstreamAttempt&, TimePoint now);
// Waits until the other losses of connections to the upstream are known, if a part of the prompt may have crashed it.
Awaitable<void> awaitCrashEvidence(RequestContext&);

}
