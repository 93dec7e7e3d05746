#pragma once

// Weighs what an engine saves by the shared tokens of a prompt that it holds against the wait there and its memory.

#include "core/ids.h"

#include <limits>

namespace skylarkhitch {

// Prompt tokens of the most expensive model at an engine's usual speed are the unit of work.
struct PromptDemand {
    std::int64_t promptTokens = 0;
    // Work of a prompt token on the request's model.
    double modelWeight = 1;
    // Time that an engine takes per unit of work at its usual speed.
    double millisecondsPerToken = 0.05;
    // Time left until the route's target latency.
    Milliseconds timeLeft {};
    // Shortest expected time to the first event of all engines, see expectedFirstEvent().
    Milliseconds fastestFirstEvent {};
    // Requests that wait for their first event on an engine on average. What an engine reads delays as many.
    double waitingRequests = 0;
};

// What is expected of one engine.
struct EngineOutlook {
    // Work ahead of the request.
    double waitingWork = 0;
    // Relative to the usual speed.
    double speed = 1;
    // Expected tokens of the prompt's shared prefixes that are in the cache for the model.
    double cachedTokens = 0;
    // Expected tokens that later requests find there if the engine reads them now.
    double laterTokens = 0;
    // Memory that running requests leave, in tokens.
    std::int64_t freeTokens = std::numeric_limits<std::int64_t>::max();
};

struct PromptSavingSettings {
    // Price of reading a shared token once more, as work.
    double rereadWork = 2;
    // Work per token by which a request exceeds the free memory, since running requests have to read as much again.
    double displacedWork = 1;
    // Part of the time left up to which the first event may be expected before the price begins to count less.
    double unhurriedFraction = 0.5;
};

// Expected time to the first event at the engine if so many tokens of the prompt are cached.
Milliseconds expectedFirstEvent(const PromptDemand&, const EngineOutlook&, double cachedTokens);

// Work that the engine's cache is worth, to be taken off the work that waits there. Negative if the request displaces more than it
// saves.
double savedWork(const PromptDemand&, const EngineOutlook&, const PromptSavingSettings& = {});

}
