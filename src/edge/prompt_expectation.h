#pragma once

// Applies the prompt memory of a service to one request: what engines are expected to hold when one of them is chosen, and the time
// to the first event that is expected when the request is sent there.

#include "core/routing/routing_configuration.h"
#include "edge/traffic_state.h"

namespace skylarkhitch {

// A request as the prompt memory sees it. The times are as of now.
PromptDemand promptDemand(TrafficState&, std::int64_t promptTokens, double modelWeight, Milliseconds timeLeft);
// What each of these engines is expected to hold. Empty if the service has no prompt memory or the prompt no shared parts.
PromptCredits promptCredits(TrafficState&, const RoutedService&, const PromptPrefixes&, const PromptDemand&, const std::vector<const UpstreamEntry*>&, TimePoint now);
// Sets the expected times to the first event of a request that is about to be sent. Call it before UpstreamBalancer::sent().
void setExpectedTimes(TrafficState&, const UpstreamEntry&, PromptRead&, TimePoint now);
// Work of the prompt's tokens that the engine is not expected to hold, in prompt tokens of the most expensive model.
std::int64_t unreadWork(const PromptRead&);

}
