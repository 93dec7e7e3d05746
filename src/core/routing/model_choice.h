#pragma once

// Chooses the model of a route that answers a request: the smallest first, and a larger one if the smallest reports low
// confidence and the engines have spare capacity. An answer may be discarded only before any of it was sent to the caller.

#include "core/requests/routed_request.h"
#include "core/routing/routing_configuration.h"

namespace skylarkhitch {

struct ModelChoiceSettings {
    // Confidence below which a request is repeated on a larger model while the engines are idle.
    double idleConfidence = 0.6;
    // Pressure up to which engines count as idle, and pressure from which every answer is accepted.
    double idlePressure = 2.5;
    double saturatedPressure = 5;
    // Fraction of an engine's work that is served before a request of the most urgent rank, since engines admit by rank.
    double urgentWorkFraction = 0.4;
    // Wait on an engine that corresponds to a pressure of 1 for a prompt of average length, whatever the request's own target,
    // since the time a long prompt takes delays all requests.
    Milliseconds sharedWaitTarget { 300 };
    // Upper limit of EngineLoad::promptRatio.
    double maxPromptRatio = 2;
};

// Work of a prompt token on a model relative to the most expensive model. Price stands in for the time per token, which is
// not known per model.
double modelWeight(const EngineProfile&, const ModelId&);

// Load of the engines, in prompt tokens of the most expensive model.
struct EngineLoad {
    // Mean work per engine.
    double work = 0;
    // Prompt tokens of the request itself.
    std::int64_t promptTokens = 0;
    // Mean prompt length of the request's route relative to that of all routes. The request's own length is not used, so that
    // a single long prompt is not penalized: its value is taken to match the time it takes.
    double promptRatio = 1;
    // Milliseconds per token.
    double millisecondsPerToken = 0.05;
};

// Minimum confidence for accepting an answer, given the time left until the route's target latency.
double requiredConfidence(const EngineLoad&, std::int64_t rank, Milliseconds left, const ModelChoiceSettings& = {});

// The model to ask after an answer of `model` was discarded, or null. Returns the largest model and skips the middle sizes:
// they rarely improve on answers in which the smallest has low confidence, and cost several times as much.
const ModelId* largerModel(const Route&, const ModelId&);

}
