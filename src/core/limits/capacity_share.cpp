#include "core/limits/capacity_share.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    struct TeamPart {
        double weight = 1;
        double demand = 0;
        double ownDemand = 0;
        double given = 0;
    };

    struct RankPart {
        double guaranteedShare = 0;
        double demand = 0;
        double given = 0;
        std::map<TeamId, TeamPart> teams;
    };

    using Ranks = std::map<std::int64_t, RankPart>;

    Ranks gather(const std::vector<ShareDemand>& demands)
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
    double giveToRanks(Ranks& ranks, double capacity)
    {
        double left = capacity;
        for (auto& [order, rank] : ranks) {
            rank.given = std::min(rank.demand, rank.guaranteedShare * capacity);
            left -= rank.given;
        }
        for (auto& [order, rank] : ranks) {
            double more = std::min(rank.demand - rank.given, std::max(0.0, left));
            rank.given += more;
            left -= more;
        }
        return std::max(0.0, left);
    }

    // Weighted max-min fairness by progressive filling: teams whose demand is below their weighted level receive their full
    // demand; the others share the remainder by weight.
    void giveToTeams(RankPart& rank)
    {
        double left = rank.given;
        std::vector<TeamPart*> open;
        for (auto& [id, team] : rank.teams)
            open.push_back(&team);
        while (!open.empty()) {
            double weights = 0;
            for (const auto* it : open)
                weights += it->weight;
            double level = left / weights;
            auto satisfied = std::partition(open.begin(), open.end(), [&](const auto* it) { return it->demand > level * it->weight; });
            if (satisfied == open.end()) {
                for (auto* it : open)
                    it->given = level * it->weight;
                return;
            }
            for (auto it = satisfied; it != open.end(); ++it) {
                (*it)->given = (*it)->demand;
                left -= (*it)->demand;
            }
            open.erase(satisfied, open.end());
        }
    }

}

double shareOfCapacity(double capacity, const std::vector<ShareDemand>& demands, std::size_t instances)
{
    auto ranks = gather(demands);
    double own = giveToRanks(ranks, capacity) / static_cast<double>(std::max<std::size_t>(1, instances));
    for (auto& [order, rank] : ranks) {
        giveToTeams(rank);
        for (const auto& [id, team] : rank.teams)
            own += team.demand > 0 ? team.given * team.ownDemand / team.demand : 0;
    }
    return own;
}

}
