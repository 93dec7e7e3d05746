#pragma once

// Which model of a route answers a request: the smallest first, a larger one where the small one doubts its own answer
// and the engines have room. An answer may be dropped only while its caller has none of it.

#include "core/requests/routed_request.h"
#include "core/routing/routing_configuration.h"

namespace skylarkhitch {

struct ModelChoiceSettings {
    // Confidence below which an answer is asked anew of a larger model while the engines are idle.
    double calmConfidence = 0.6;
    // Expected time to the first event, as a part of the route's target, up to which engines count as idle, and from
    // which on every answer is taken as it is.
    double idleUpTo = 0.25;
    double fullFrom = 1;
};

// Work of a prompt token on a model beside one on the dearest model: its price is what is known of the time it takes.
double modelWeight(const EngineProfile&, const ModelId&);

// Confidence that an answer needs to be passed on; expectedWait is that of a larger model's first event.
double neededConfidence(Milliseconds expectedWait, Milliseconds target, const ModelChoiceSettings& = {});

// The model to ask after one whose answer was dropped, or null. The middle sizes are passed over: what the smallest
// doubts they seldom answer better, at several times its price.
const ModelId* largerModel(const Route&, const ModelId&);

}
