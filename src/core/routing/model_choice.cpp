#include "core/routing/model_choice.h"

#include <algorithm>

namespace skylarkhitch {

double modelWeight(const EngineProfile& engine, const ModelId& model)
{
    double highest = 0;
    for (const auto& [id, cost] : engine.modelCosts)
        highest = std::max(highest, cost);
    auto it = engine.modelCosts.find(model);
    return highest <= 0 || it == engine.modelCosts.end() ? 1 : it->second / highest;
}

double neededConfidence(Milliseconds expectedWait, Milliseconds target, const ModelChoiceSettings& settings)
{
    auto part = static_cast<double>(expectedWait.count()) / static_cast<double>(std::max<std::int64_t>(1, target.count()));
    auto room = (settings.fullFrom - part) / (settings.fullFrom - settings.idleUpTo);
    return settings.calmConfidence * std::clamp(room, 0.0, 1.0);
}

const ModelId* largerModel(const Route& route, const ModelId& model)
{
    return route.models.empty() || route.models.back() == model ? nullptr : &route.models.back();
}

}
