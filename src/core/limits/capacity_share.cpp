#include "core/limits/capacity_share.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    struct TeamAllocation {
        double weight = 1;
        double demand = 0;
        double ownDemand = 0;
        double allocated = 0;
    };

    struct RankAllocation {
        double guaranteedShare = 0;
        double demand = 0;
        double allocated = 0;
        std::map<TeamId, TeamAllocation> teams;
    };

    using Ranks = std::map<std::int64_t, RankAllocation>;

    Ranks groupByRank(const std::vector<ShareDemand>& demands)
    {
        Ranks ranks;
        for (const auto& it : demands) {
            auto& rank = ranks[it.rankOrder];
            rank.guaranteedShare = it.guaranteedShare;
            rank.demand += it.demand;
            auto& team = rank.teams[it.team];
            team.weight = it.teamShare;
            team.demand += it.demand;
            team.ownDemand += it.isOwn ? it.demand : 0;
        }
        return ranks;
    }

    // Allocates capacity to the ranks and returns what remains.
    double allocateToRanks(Ranks& ranks, double capacity)
    {
        double remaining = capacity;
        for (auto& [order, rank] : ranks) {
            rank.allocated = std::min(rank.demand, rank.guaranteedShare * capacity);
            remaining -= rank.allocated;
        }
        for (auto& [order, rank] : ranks) {
            double extra = std::min(rank.demand - rank.allocated, std::max(0.0, remaining));
            rank.allocated += extra;
            remaining -= extra;
        }
        return std::max(0.0, remaining);
    }

    // Weighted max-min fairness by progressive filling: teams whose demand is below their weighted level receive their full
    // demand; the others share the remainder by weight.
    void allocateToTeams(RankAllocation& rank)
    {
        double remaining = rank.allocated;
        std::vector<TeamAllocation*> unsatisfied;
        for (auto& [id, team] : rank.teams)
            unsatisfied.push_back(&team);
        while (!unsatisfied.empty()) {
            double totalWeight = 0;
            for (const auto* it : unsatisfied)
                totalWeight += it->weight;
            double level = remaining / totalWeight;
            auto satisfied = std::partition(unsatisfied.begin(), unsatisfied.end(), [&](const auto* it) { return it->demand > level * it->weight; });
            if (satisfied == unsatisfied.end()) {
                for (auto* it : unsatisfied)
                    it->allocated = level * it->weight;
                return;
            }
            for (auto it = satisfied; it != unsatisfied.end(); ++it) {
                (*it)->allocated = (*it)->demand;
                remaining -= (*it)->demand;
            }
            unsatisfied.erase(satisfied, unsatisfied.end());
        }
    }

}

double shareOfCapacity(double capacity, const std::vector<ShareDemand>& demands, std::size_t instances)
{
    auto ranks = groupByRank(demands);
    double ownShare = allocateToRanks(ranks, capacity) / static_cast<double>(std::max<std::size_t>(1, instances));
    for (auto& [order, rank] : ranks) {
        allocateToTeams(rank);
        for (const auto& [id, team] : rank.teams)
            ownShare += team.demand > 0 ? team.allocated * team.ownDemand / team.demand : 0;
    }
    return ownShare;
}

}
