#pragma once

// Chooses the model of a route that serves a request: the smallest first, then the largest if the smallest reports low
// confidence and the engines have spare capacity. A response may be discarded only before any of it was sent to the caller.

#include "core/requests/routed_request.h"
#include "core/routing/routing_configuration.h"

namespace skylarkhitch {

struct ModelChoiceSettings {
    // Confidence below which a request is retried on a larger model while the engines are idle.
    double idleConfidence = 0.6;
    // Pressure up to which engines count as idle, and pressure from which every response is accepted; in between, the required
    // confidence falls linearly. Pressure is the expected wait on an engine divided by the time left until the route's target
    // latency, or by sharedWaitTarget, whichever gives more.
    double idlePressure = 2.5;
    double saturatedPressure = 5;
    // Fraction of an engine's work that is served before a request of the most urgent rank, since engines admit by rank.
    double urgentWorkFraction = 0.4;
    // Wait on an engine that corresponds to a pressure of 1 on routes whose prompts have the average length. Independent of the
    // request's own target, since the time that a long prompt takes delays all requests.
    Milliseconds sharedWaitTarget { 300 };
    // Value above which EngineLoad::promptRatio has no further effect.
    double maxPromptRatio = 2;
};

// Work of a prompt token on a model relative to the most expensive model; 1 if its price is unknown. Price stands in for the
// time per token, which is not known per model.
double modelWeight(const EngineProfile&, const ModelId&);

// Load of the engines, in prompt tokens of the most expensive model.
struct EngineLoad {
    // Mean work per engine.
    double work = 0;
    // Prompt tokens of the request itself.
    std::int64_t promptTokens = 0;
    // Mean prompt length of the request's route relative to that of all routes. The request's own length is not used, so that a
    // single long prompt is not penalized: it is assumed to be worth the time that it takes.
    double promptRatio = 1;
    // Estimated time that an engine takes per unit of work.
    double millisecondsPerToken = 0.05;
};

// Minimum confidence for accepting a response, given the request's rank (0 is the most urgent) and the time left until the
// route's target latency.
double requiredConfidence(const EngineLoad&, std::int64_t rank, Milliseconds left, const ModelChoiceSettings& = {});

// The model to use after a response of `model` was discarded: the route's largest, or null if `model` is the largest already.
// Skips the middle sizes: they rarely improve on responses in which the smallest has low confidence, and cost several times as
// much.
const ModelId* largerModel(const Route&, const ModelId&);

}
