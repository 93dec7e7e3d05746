#include "core/scheduling/prompt_saving.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    // Keeps a stalled engine's expected time finite.
    constexpr double minSpeed = 0.01;
    constexpr double maxFirstEvent = 3600000;

    double uncachedTokens(const PromptDemand& demand, double cachedTokens)
    {
        return std::max(0.0, static_cast<double>(demand.promptTokens) - cachedTokens);
    }

    // 1 while the first event is expected early, 0 if the price alone would make it late. If no engine is early, engines are short of
    // time, and reading tokens again would delay all requests.
    double priceFactor(const PromptDemand& demand, const EngineOutlook& engine, const PromptSavingSettings& settings)
    {
        auto left = static_cast<double>(demand.timeLeft.count());
        if (static_cast<double>(demand.fastestFirstEvent.count()) >= left * settings.unhurriedFraction)
            return 1;
        auto used = static_cast<double>(expectedFirstEvent(demand, engine, engine.cachedTokens).count()) / left;
        return std::clamp((1 - used) / (1 - settings.unhurriedFraction), 0.0, 1.0);
    }

}

Milliseconds expectedFirstEvent(const PromptDemand& demand, const EngineOutlook& engine, double cachedTokens)
{
    auto work = engine.waitingWork + uncachedTokens(demand, cachedTokens) * demand.modelWeight;
    auto time = work * demand.millisecondsPerToken / std::max(minSpeed, engine.speed);
    return Milliseconds(static_cast<std::int64_t>(std::clamp(time, 0.0, maxFirstEvent)));
}

double savedWork(const PromptDemand& demand, const EngineOutlook& engine, const PromptSavingSettings& settings)
{
    auto ownReading = engine.cachedTokens * demand.modelWeight;
    auto savedTokens = engine.cachedTokens + engine.laterTokens;
    auto delayOfOthers = savedTokens * demand.modelWeight * demand.waitingRequests;
    auto price = savedTokens * settings.rereadWork * priceFactor(demand, engine, settings);
    auto exceeding = std::max(0.0, uncachedTokens(demand, engine.cachedTokens) - static_cast<double>(engine.freeTokens));
    return ownReading + delayOfOthers + price - exceeding * settings.displacedWork;
}

}
