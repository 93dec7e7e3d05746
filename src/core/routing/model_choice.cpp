#include "core/routing/model_choice.h"

#include <algorithm>

namespace skylarkhitch {

double modelWeight(const EngineProfile& engine, const ModelId& model)
{
    double maxCost = 0;
    for (const auto& [id, cost] : engine.modelCosts)
        maxCost = std::max(maxCost, cost);
    auto it = engine.modelCosts.find(model);
    return maxCost <= 0 || it == engine.modelCosts.end() ? 1 : it->second / maxCost;
}

double requiredConfidence(const EngineLoad& load, std::int64_t rank, Milliseconds left, const ModelChoiceSettings& settings)
{
    auto prompt = static_cast<double>(load.promptTokens);
    auto workAhead = load.work * (rank == 0 ? settings.urgentWorkFraction : 1);
    auto ownPressure = (workAhead + prompt) * load.millisecondsPerToken / static_cast<double>(std::max<std::int64_t>(1, left.count()));
    auto wait = workAhead * load.millisecondsPerToken / static_cast<double>(settings.sharedWaitTarget.count());
    auto sharedPressure = wait * std::min(settings.maxPromptRatio, load.promptRatio);
    auto spareCapacity = (settings.saturatedPressure - std::max(ownPressure, sharedPressure)) / (settings.saturatedPressure - settings.idlePressure);
    return settings.idleConfidence * std::clamp(spareCapacity, 0.0, 1.0);
}

const ModelId* largerModel(const Route& route, const ModelId& model)
{
    return route.models.empty() || route.models.back() == model ? nullptr : &route.models.back();
}

}
