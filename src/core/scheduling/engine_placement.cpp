#include "core/scheduling/engine_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace skylarkhitch {

namespace {

    // Random jitter in prompt tokens, so that instances that see the same work choose different engines.
    constexpr double workJitter = 200;
    // Penalty for an engine without a free slot, as extra work.
    constexpr double fullEnginePenalty = 20000;
    // Less unreported work is ignored.
    constexpr double minUnreportedWork = 1;

    struct CandidateCost {
        const EngineCandidate* candidate = nullptr;
        // Work over speed, with penalties but without a credit for cached tokens.
        double cost = 0;
        double credit = 0;
    };

    double reportedWait(const EngineCandidate& it, const EnginePlacementSettings& settings)
    {
        auto work = static_cast<double>(it.unreadWork + it.requests * settings.workPerRequest);
        // Without a free slot, the request would wait until another one ends.
        if (it.requests >= it.slots)
            work += fullEnginePenalty;
        return work / it.speed;
    }

    double ownWork(const EngineCandidate& it, const PlacementRequest& request)
    {
        auto unread = std::max<std::int64_t>(0, request.promptTokens - it.cachedTokens);
        return static_cast<double>(unread) * request.modelWeight / it.speed;
    }

    std::vector<CandidateCost> costsOf(const std::vector<EngineCandidate>& candidates, const PlacementRequest& request, const EnginePlacementSettings& settings, std::mt19937_64& random)
    {
        std::uniform_real_distribution<double> jitter(0, workJitter);
        std::vector<CandidateCost> costs;
        costs.reserve(candidates.size());
        for (const auto& it : candidates) {
            // The time to read the own prompt differs by speed only; the credit stands for the cached part of it.
            auto prompt = static_cast<double>(request.promptTokens) * request.modelWeight * (1 / it.speed - 1);
            auto penalty = it.crossesDomain ? static_cast<double>(settings.crossDomainPenalty) : 0;
            auto credit = it.savedWork.value_or(static_cast<double>(it.cachedTokens) * settings.cachedTokenCredit);
            costs.push_back({ &it, reportedWait(it, settings) + prompt + jitter(random) + penalty, credit });
        }
        return costs;
    }

    bool costsLess(const CandidateCost& a, const CandidateCost& b) { return a.cost < b.cost; }

    // The cost of all engines that are filled up when this work is distributed to those with the least cost.
    double fillLevel(const std::vector<CandidateCost>& costs, double work)
    {
        if (work < minUnreportedWork)
            return std::min_element(costs.begin(), costs.end(), costsLess)->cost;
        // Each pass leaves out the engines above the last level, which lowers it.
        auto level = std::numeric_limits<double>::infinity();
        std::size_t filled = 0, previous = 0;
        do {
            previous = std::exchange(filled, 0);
            double sum = work, speeds = 0;
            for (const auto& it : costs) {
                if (it.cost >= level)
                    continue;
                sum += it.cost * it.candidate->speed;
                speeds += it.candidate->speed;
                ++filled;
            }
            level = sum / speeds;
        } while (filled != previous);
        return level;
    }

    // Draws an engine by the work that it lacks to the level, or takes the one with the least cost if none lacks any.
    const CandidateCost& drawBelow(double level, const std::vector<CandidateCost>& costs, std::optional<double> drawPosition, std::mt19937_64& random)
    {
        auto lack = [&](const CandidateCost& it) { return std::max(0.0, level - it.cost) * it.candidate->speed; };
        double sum = 0;
        for (const auto& it : costs)
            sum += lack(it);
        auto least = std::min_element(costs.begin(), costs.end(), costsLess);
        if (sum <= 0)
            return *least;
        auto position = sum * (drawPosition ? *drawPosition : std::uniform_real_distribution<double>(0, 1)(random));
        for (const auto& it : costs) {
            position -= lack(it);
            if (position < 0)
                return it;
        }
        return *least;
    }

    // Chooses between the engine with the most useful cache and the others, all of which are expected to be filled to the level.
    const CandidateCost& chooseCost(const std::vector<CandidateCost>& costs, const PlacementRequest& request, double level, std::mt19937_64& random)
    {
        auto expectedCost = [level](const CandidateCost& it) { return std::max(it.cost, level) - it.credit; };
        const auto& cached = *std::min_element(costs.begin(), costs.end(), [&](const auto& a, const auto& b) { return expectedCost(a) < expectedCost(b); });
        if (cached.credit <= 0)
            return drawBelow(level, costs, request.drawPosition, random);
        auto advantage = std::max(0.0, level + cached.credit - cached.cost);
        // What others send there for the same cached prefix must not use up the advantage.
        auto rivals = request.unreportedWork * request.unreportedShare / cached.candidate->speed;
        bool isShared = rivals > advantage;
        if (isShared && std::uniform_real_distribution<double>(0, rivals)(random) > advantage)
            return drawBelow(level, costs, request.drawPosition, random);
        return cached;
    }

    Milliseconds toWait(double work, const PlacementRequest& request)
    {
        return Milliseconds(static_cast<std::int64_t>(work * request.millisecondsPerToken));
    }

    Placement place(const std::vector<EngineCandidate>& candidates, const PlacementRequest& request, const EnginePlacementSettings& settings, std::mt19937_64& random)
    {
        auto costs = costsOf(candidates, request, settings, random);
        auto level = fillLevel(costs, request.unreportedWork);
        const auto& chosen = chooseCost(costs, request, level, random);
        const auto& it = *chosen.candidate;
        auto ahead = std::max(reportedWait(it, settings), request.unreportedWork > 0 ? level : 0);
        auto served = request.rank == 0 ? ahead * settings.urgentWorkFraction : ahead;
        return { it.entry, ahead, it.speed, it.cachedTokens, toWait(served + ownWork(it, request), request), 0, false };
    }

}

void EngineDraws::setInstance(std::size_t place, std::size_t instances)
{
    m_offset = instances == 0 ? 0 : static_cast<double>(place % instances) / static_cast<double>(instances);
}

double EngineDraws::next(std::int64_t promptTokens)
{
    // Multiples of the golden ratio, modulo 1, are evenly spread for any number of them.
    static constexpr double step = 0.6180339887498949;
    auto length = static_cast<std::size_t>(std::log2(static_cast<double>(std::max<std::int64_t>(1, promptTokens))));
    auto& position = m_positions[std::min(length, lengthClasses - 1)];
    position = std::fmod(position + step, 1);
    return std::fmod(position + m_offset, 1);
}

Placement placeOnEngine(const std::vector<EngineCandidate>& candidates, const PlacementRequest& request, const EnginePlacementSettings& settings, std::mt19937_64& random)
{
    if (candidates.empty())
        return {};
    std::vector<EngineCandidate> fitting;
    for (const auto& it : candidates) {
        if (fitsMemory(it.memoryTokens, it.committed, request.memory))
            fitting.push_back(it);
    }
    auto withoutMemory = candidates.size() - fitting.size();
    Placement best;
    if (!fitting.empty()) {
        best = place(fitting, request, settings, random);
        best.withoutMemory = withoutMemory;
        if (withoutMemory == 0 || best.expectedFirstEvent <= request.timeLeft)
            return best;
    }
    auto overcommitted = candidates;
    for (auto& it : overcommitted) {
        // What exceeds the memory is read in again, or waits until as much is free.
        auto needed = it.memoryTokens > 0 ? likelyTokens(it.committed + request.memory) - it.memoryTokens : 0;
        it.unreadWork += std::max<std::int64_t>(0, needed);
    }
    auto placement = place(overcommitted, request, settings, random);
    if (best.entry && placement.expectedFirstEvent > request.timeLeft)
        return best;
    placement.withoutMemory = withoutMemory;
    auto chosen = std::find_if(candidates.begin(), candidates.end(), [&](const auto& it) { return it.entry == placement.entry; });
    placement.exceedsMemory = !fitsMemory(chosen->memoryTokens, chosen->committed, request.memory);
    return placement;
}

}
