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

double neededConfidence(const EngineLoad& load, std::int64_t rank, Milliseconds left, const ModelChoiceSettings& settings)
{
    auto prompt = static_cast<double>(load.prompt);
    auto ahead = load.work * (rank == 0 ? settings.urgentShare : 1);
    auto ownPressure = (ahead + prompt) * load.pace / static_cast<double>(std::max<std::int64_t>(1, left.count()));
    auto wait = load.work * load.pace / static_cast<double>(settings.sharedWait.count());
    auto sharedPressure = wait * std::min(settings.highestRatio, load.promptRatio);
    auto room = (settings.fullFrom - std::max(ownPressure, sharedPressure)) / (settings.fullFrom - settings.idleUpTo);
    return settings.calmConfidence * std::clamp(room, 0.0, 1.0);
}

const ModelId* largerModel(const Route& route, const ModelId& model)
{
    return route.models.empty() || route.models.back() == model ? nullptr : &route.models.back();
}

}
