#include "core/limits/admission.h"

#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    // Time constant of the exponential decay of the work charged to each rank.
    constexpr double serviceDecaySeconds = 2;
    // A rank's measured throughput is used for wait estimates only after it has had a backlog for this long.
    constexpr Seconds minBacklogTime { 2 };
    // Work in tokens that a team with share 1 is credited per round.
    constexpr double workPerRound = 256;

    double decayFactor(TimePoint from, TimePoint to, double timeConstantSeconds)
    {
        auto seconds = std::chrono::duration<double>(to - from).count();
        return std::exp(-std::max(0.0, seconds) / timeConstantSeconds);
    }

}

void Admission::decay(Pool& pool, TimePoint now)
{
    auto factor = decayFactor(pool.decayedAt, now, serviceDecaySeconds);
    for (auto& [order, rank] : pool.ranks)
        rank.servedWork *= factor;
    pool.decayedAt = now;
}

Admission::RankQueue& Admission::rankQueue(const WaitingRequest& request)
{
    auto& queue = m_pools[request.pool].ranks[request.rankOrder];
    queue.rank = request.rank;
    queue.guaranteedShare = request.guaranteedShare;
    return queue;
}

void Admission::insert(const WaitingRequest& request, bool atHead)
{
    auto& rank = rankQueue(request);
    auto& team = rank.teams[request.team];
    team.share = request.teamShare;
    if (!rank.backloggedSince)
        rank.backloggedSince = request.arrived;
    if (team.requests.empty())
        rank.activeTeams.push_back(request.team);
    rank.queuedWork += request.work;
    team.queuedWork += request.work;
    if (atHead)
        team.requests.push_front(request);
    else
        team.requests.push_back(request);
    ++m_size;
}

void Admission::enqueue(const WaitingRequest& request)
{
    insert(request, false);
}

void Admission::requeue(const WaitingRequest& request)
{
    insert(request, true);
}

WaitingRequest Admission::takeAt(RankQueue& rank, TeamQueue& team, const std::deque<WaitingRequest>::iterator& it)
{
    auto request = std::move(*it);
    team.requests.erase(it);
    team.queuedWork -= request.work;
    rank.queuedWork -= request.work;
    --m_size;
    if (team.requests.empty()) {
        std::erase(rank.activeTeams, request.team);
        rank.teams.erase(request.team);
    }
    if (rank.activeTeams.empty())
        rank.backloggedSince.reset();
    return request;
}

Admission::RankQueue* Admission::chooseRank(Pool& pool)
{
    double totalServed = 0;
    for (const auto& [order, rank] : pool.ranks)
        totalServed += rank.servedWork;
    RankQueue* first = nullptr;
    RankQueue* mostUnderserved = nullptr;
    double largestShortfall = 0;
    for (auto& [order, rank] : pool.ranks) {
        if (rank.activeTeams.empty())
            continue;
        if (!first) {
            first = &rank;
            continue;
        }
        double shortfall = rank.guaranteedShare * totalServed - rank.servedWork;
        if (shortfall > largestShortfall) {
            largestShortfall = shortfall;
            mostUnderserved = &rank;
        }
    }
    return mostUnderserved ? mostUnderserved : first;
}

std::optional<WaitingRequest> Admission::takeRoundRobin(RankQueue& rank)
{
    while (!rank.activeTeams.empty()) {
        auto& team = rank.teams[rank.activeTeams.front()];
        double requiredWork = team.requests.front().work;
        if (team.deficit >= requiredWork) {
            team.deficit -= requiredWork;
            return takeAt(rank, team, team.requests.begin());
        }
        team.deficit += workPerRound * team.share;
        std::rotate(rank.activeTeams.begin(), rank.activeTeams.begin() + 1, rank.activeTeams.end());
    }
    return std::nullopt;
}

std::optional<WaitingRequest> Admission::takeOldest(Pool& pool)
{
    RankQueue* oldestRank = nullptr;
    TeamQueue* oldestTeam = nullptr;
    for (auto& [order, rank] : pool.ranks) {
        for (auto& [id, team] : rank.teams) {
            if (!oldestTeam || team.requests.front().arrived < oldestTeam->requests.front().arrived) {
                oldestRank = &rank;
                oldestTeam = &team;
            }
        }
    }
    if (!oldestTeam)
        return std::nullopt;
    return takeAt(*oldestRank, *oldestTeam, oldestTeam->requests.begin());
}

std::optional<WaitingRequest> Admission::next(const PoolId& id, TimePoint now)
{
    auto it = m_pools.find(id);
    if (it == m_pools.end())
        return std::nullopt;
    auto& pool = it->second;
    if (m_policy == AdmissionPolicy::FirstInFirstOut)
        return takeOldest(pool);
    decay(pool, now);
    auto* rank = chooseRank(pool);
    if (!rank)
        return std::nullopt;
    return takeRoundRobin(*rank);
}

void Admission::started(const WaitingRequest& request)
{
    rankQueue(request).servedWork += request.work;
}

bool Admission::remove(const PoolId& id, const RequestId& request)
{
    auto pool = m_pools.find(id);
    if (pool == m_pools.end())
        return false;
    for (auto& [order, rank] : pool->second.ranks) {
        for (auto& [teamId, team] : rank.teams) {
            auto it = std::find_if(team.requests.begin(), team.requests.end(), [&](const auto& w) { return w.request == request; });
            if (it == team.requests.end())
                continue;
            takeAt(rank, team, it);
            return true;
        }
    }
    return false;
}

std::vector<WaitingRequest> Admission::takeExpired(TimePoint now)
{
    std::vector<WaitingRequest> expired;
    for (auto& [id, pool] : m_pools) {
        for (auto& [order, rank] : pool.ranks) {
            for (auto& [teamId, team] : rank.teams) {
                for (const auto& it : team.requests) {
                    if (it.latestStart <= now)
                        expired.push_back(it);
                }
            }
        }
    }
    std::sort(expired.begin(), expired.end(), [](const auto& a, const auto& b) { return a.request < b.request; });
    for (const auto& it : expired)
        remove(it.pool, it.request);
    return expired;
}

std::optional<WaitingRequest> Admission::takeLowestPriority()
{
    RankQueue* leastUrgentRank = nullptr;
    std::int64_t leastUrgentOrder = -1;
    PoolId leastUrgentPool;
    for (auto& [id, pool] : m_pools) {
        for (auto& [order, rank] : pool.ranks) {
            if (rank.activeTeams.empty() || order < leastUrgentOrder || (order == leastUrgentOrder && leastUrgentPool < id))
                continue;
            leastUrgentRank = &rank;
            leastUrgentOrder = order;
            leastUrgentPool = id;
        }
    }
    if (!leastUrgentRank)
        return std::nullopt;
    auto largest = std::max_element(leastUrgentRank->teams.begin(), leastUrgentRank->teams.end(), [](const auto& a, const auto& b) {
        return a.second.queuedWork / a.second.share < b.second.queuedWork / b.second.share;
    });
    return takeAt(*leastUrgentRank, largest->second, std::prev(largest->second.requests.end()));
}

double Admission::workAheadInRank(const RankQueue& rank, const WaitingRequest& request)
{
    // By the time round robin reaches this request, each other team has been served at most the work that this team has queued,
    // including this request, scaled by the ratio of their shares.
    auto own = rank.teams.find(request.team);
    double ownWork = (own == rank.teams.end() ? 0 : own->second.queuedWork) + request.work;
    double ahead = 0;
    for (const auto& [id, team] : rank.teams)
        ahead += id == request.team ? team.queuedWork : std::min(team.queuedWork, ownWork * team.share / request.teamShare);
    return ahead;
}

double Admission::workAhead(const WaitingRequest& request) const
{
    auto it = m_pools.find(request.pool);
    if (it == m_pools.end())
        return 0;
    double inRank = 0;
    double moreUrgent = 0;
    for (const auto& [order, rank] : it->second.ranks) {
        if (order < request.rankOrder)
            moreUrgent += rank.queuedWork;
        if (order == request.rankOrder)
            inRank = workAheadInRank(rank, request);
    }
    // More urgent work is served first, but it cannot use this rank's guaranteed share, so the smaller estimate applies.
    double withinShare = request.guaranteedShare > 0 ? inRank / request.guaranteedShare : inRank + moreUrgent;
    return std::min(inRank + moreUrgent, withinShare);
}

double Admission::expectedWait(const WaitingRequest& request, double rate, TimePoint now) const
{
    double poolEstimate = workAhead(request) / rate;
    auto it = m_pools.find(request.pool);
    if (it == m_pools.end())
        return poolEstimate;
    auto rank = it->second.ranks.find(request.rankOrder);
    bool hasLongBacklog = rank != it->second.ranks.end() && rank->second.backloggedSince && now >= *rank->second.backloggedSince + minBacklogTime;
    if (!hasLongBacklog)
        return poolEstimate;
    double servedRate = rank->second.servedWork * decayFactor(it->second.decayedAt, now, serviceDecaySeconds) / serviceDecaySeconds;
    double guaranteedRate = request.guaranteedShare * rate;
    return workAheadInRank(rank->second, request) / std::max({ servedRate, guaranteedRate, 1.0 });
}

std::vector<PoolId> Admission::poolsWithWaiting() const
{
    std::vector<PoolId> pools;
    for (const auto& [id, pool] : m_pools) {
        if (hasWaiting(id))
            pools.push_back(id);
    }
    std::sort(pools.begin(), pools.end());
    return pools;
}

bool Admission::hasWaiting(const PoolId& id) const
{
    auto it = m_pools.find(id);
    return it != m_pools.end()
        && std::any_of(it->second.ranks.begin(), it->second.ranks.end(), [](const auto& r) { return !r.second.activeTeams.empty(); });
}

}
