#include "core/scheduling/room_draw.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    // Penalty for an upstream in another failure domain, as extra load, since traffic between domains is charged for.
    constexpr double crossDomainLoad = 0.08;
    // Free part of an upstream that reports none: reports are outdated, and a choice is needed if all are full.
    constexpr double minFree = 0.02;

    // The square of the free part makes up for differences sooner than the free part would, and the draw still differs between
    // instances that see the same loads.
    double weightOf(const RoomCandidate& it)
    {
        auto free = std::max(minFree, 1 - it.load - (it.crossesDomain ? crossDomainLoad : 0));
        return free * free * static_cast<double>(std::max<std::int64_t>(1, it.slots));
    }

}

std::size_t drawByRoom(const std::vector<RoomCandidate>& candidates, std::mt19937_64& random)
{
    std::vector<double> weights;
    weights.reserve(candidates.size());
    for (const auto& it : candidates)
        weights.push_back(weightOf(it));
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

}
