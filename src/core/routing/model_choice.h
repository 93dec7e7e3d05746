#pragma once

// Which model of a route answers a request: the smallest first, a larger one where the small one doubts its own answer
// and the engines have room. An answer may be dropped only while its caller has none of it.

#include "core/requests/routed_request.h"
#include "core/routing/routing_configuration.h"

namespace skylarkhitch {

struct ModelChoiceSettings {
    // Confidence below which an answer is asked anew of a larger model while the engines are idle.
    double calmConfidence = 0.6;
    // Pressure up to which engines count as idle, and from which on every answer is taken as it is.
    double idleUpTo = 2.5;
    double fullFrom = 5;
    // Part of an engine's work that is ahead of a request of the most urgent rank: engines admit by rank.
    double urgentShare = 0.4;
    // Wait on an engine that is a pressure of 1 for a prompt of usual length, whatever its own target: what a long prompt
    // takes is taken from all.
    Milliseconds sharedWait { 300 };
    // The prompts of a route count as so many usual ones at most.
    double highestRatio = 2;
};

// Work of a prompt token on a model beside one on the dearest model: its price is what is known of the time it takes.
double modelWeight(const EngineProfile&, const ModelId&);

// How busy the engines are, in prompt tokens of the dearest model.
struct EngineLoad {
    // On a mean engine.
    double work = 0;
    // Of the request itself.
    std::int64_t prompt = 0;
    // Length of its route's usual prompt beside that of all routes. A single long prompt does not count against itself:
    // what it takes, it is worth.
    double promptRatio = 1;
    // Milliseconds for one of them.
    double pace = 0.05;
};

// Confidence that an answer needs to be passed on, given the time that is left until the route's target.
double neededConfidence(const EngineLoad&, std::int64_t rank, Milliseconds left, const ModelChoiceSettings& = {});

// The model to ask after one whose answer was dropped, or null. The middle sizes are passed over: what the smallest
// doubts they seldom answer better, at several times its price.
const ModelId* largerModel(const Route&, const ModelId&);

}
