#pragma once

// Selects the upstream of a request's next attempt, if one is allowed.

#include "edge/request_context.h"

namespace skylarkhitch {

// Chooses the upstream that is to serve the request with this model, or the model that the caller names. Returns null if there is
// none. Sets limitedFor and pausedFor.
const UpstreamEntry* chooseUpstream(RequestContext&, const std::optional<ModelId>& model, TimePoint now);
// Whether the request may be sent again after this end of an attempt. Takes a retry from the budget if one is needed.
bool reserveRetry(RequestContext&, AttemptEnd, TimePoint now);
// Whether the route allows another attempt after the current one.
bool mayTryAnother(const RequestContext&);

}
