#include "core/routing/cascade_plan.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // Weight of the prior, as a number of ratings.
    constexpr double priorWeight = 8;
    // Counts are halved at this total, so that old ratings lose weight and estimates follow a model that changed.
    constexpr double maxRatingCount = 200;
    // A response with at least this probability of passing is returned without a check.
    constexpr double uncheckedPassProbability = 0.97;

    std::size_t firstUsable(const std::vector<PlanStep>& steps, std::size_t first)
    {
        while (first < steps.size() && !steps[first].usable)
            ++first;
        return first;
    }

    std::size_t lastUsable(const std::vector<PlanStep>& steps, std::size_t first)
    {
        auto last = steps.size();
        for (auto n = first; n < steps.size(); ++n) {
            if (steps[n].usable)
                last = n;
        }
        return last;
    }

}

CascadeChoice chooseCascadeStep(const std::vector<PlanStep>& steps, std::size_t first, double checkCost, CascadePolicy policy)
{
    auto last = lastUsable(steps, first);
    if (last == steps.size())
        return { last, false, 0 };
    if (policy == CascadePolicy::AlwaysLast)
        return { last, false, steps[last].cost };
    if (policy == CascadePolicy::AlwaysFirst) {
        auto step = firstUsable(steps, first);
        return { step, false, steps[step].cost };
    }
    CascadeChoice best { last, false, steps[last].cost };
    // best.expectedCost is the least expected cost of continuing at a later step.
    for (auto n = last; n-- > first;) {
        const auto& step = steps[n];
        if (!step.usable)
            continue;
        bool check = step.passProbability < uncheckedPassProbability;
        double cost = step.cost + (check ? checkCost + (1 - step.passProbability) * best.expectedCost : 0);
        if (cost < best.expectedCost)
            best = { n, check, cost };
    }
    return best;
}

std::string PassEstimates::keyOf(const TeamId& team, const std::string& task, const VersionId& version)
{
    return absl::StrCat(team.value, "\x1f", task, "\x1f", version.value);
}

double PassEstimates::passProbability(const TeamId& team, const std::string& task, const VersionId& version, double prior) const
{
    auto it = m_counts.find(keyOf(team, task, version));
    double passed = priorWeight * prior;
    double all = priorWeight;
    if (it != m_counts.end()) {
        passed += it->second.passed;
        all += it->second.passed + it->second.failed;
    }
    return passed / all;
}

void PassEstimates::observe(const TeamId& team, const std::string& task, const VersionId& version, bool passed)
{
    auto& counts = m_counts[keyOf(team, task, version)];
    if (counts.passed + counts.failed >= maxRatingCount) {
        counts.passed /= 2;
        counts.failed /= 2;
    }
    ++(passed ? counts.passed : counts.failed);
}

}
