#include "edge/prompt_expectation.h"

#include <algorithm>

namespace skylarkhitch {

PromptDemand promptDemand(TrafficState& traffic, std::int64_t promptTokens, double modelWeight, Milliseconds timeLeft)
{
    PromptDemand demand;
    demand.promptTokens = promptTokens;
    demand.modelWeight = modelWeight;
    demand.millisecondsPerToken = traffic.balancer().millisecondsPerToken();
    demand.timeLeft = timeLeft;
    return demand;
}

PromptCredits promptCredits(TrafficState& traffic, const RoutedService& service, const PromptPrefixes& prefixes, const PromptDemand& demand, const std::vector<const UpstreamEntry*>& engines, TimePoint now)
{
    const auto* prompts = traffic.prompts(service.name);
    if (!prompts || !service.engine || prefixes.empty())
        return {};
    const auto& balancer = traffic.balancer();
    std::vector<PromptCandidate> candidates;
    candidates.reserve(engines.size());
    for (const auto* it : engines) {
        auto freeTokens = service.engine->memoryTokens - balancer.committedOn(it->id).tokens;
        candidates.push_back({ it, std::max<std::int64_t>(0, freeTokens), static_cast<double>(balancer.workOn(it->id)), balancer.speedOf(it->id, now) });
    }
    auto credits = prompts->credits(prefixes, demand, candidates, now);
    PromptCredits result;
    result.reserve(engines.size());
    for (std::size_t n = 0; n < engines.size(); ++n)
        result.emplace(engines[n]->id, credits[n]);
    return result;
}

void setExpectedTimes(TrafficState& traffic, const UpstreamEntry& upstream, PromptRead& read, TimePoint now)
{
    auto demand = promptDemand(traffic, read.promptTokens, read.modelWeight, {});
    EngineOutlook engine;
    engine.waitingWork = static_cast<double>(traffic.balancer().workOn(upstream.id));
    engine.speed = traffic.balancer().speedOf(upstream.id, now);
    read.expectedIfCached = expectedFirstEvent(demand, engine, static_cast<double>(totalTokens(read.prefixes)));
    read.expectedIfUncached = expectedFirstEvent(demand, engine, 0);
}

std::int64_t unreadWork(const PromptRead& read)
{
    auto tokens = std::max<std::int64_t>(0, read.promptTokens - read.outlook.cachedTokens);
    return static_cast<std::int64_t>(static_cast<double>(tokens) * read.modelWeight);
}

}
