#include "core/limits/admission.h"

#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    // Time constant of the exponential decay of the work charged to each rank.
    constexpr double shareMemorySeconds = 2;
    // A rank's measured throughput is used for wait estimates only after it has had a backlog for this long.
    constexpr Seconds rateMemory { 2 };
    // Work in tokens that a team with share 1 is credited per round.
    constexpr double quantum = 256;

    double decayFactor(TimePoint from, TimePoint to, double memorySeconds)
    {
        auto seconds = std::chrono::duration<double>(to - from).count();
        return std::exp(-std::max(0.0, seconds) / memorySeconds);
    }

}

void Admission::decay(Pool& pool, TimePoint now)
{
    auto factor = decayFactor(pool.decayedAt, now, shareMemorySeconds);
    for (auto& [order, rank] : pool.ranks)
        rank.given *= factor;
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
    if (!rank.waitingSince)
        rank.waitingSince = request.arrived;
    if (team.requests.empty())
        rank.turns.push_back(request.team);
    rank.work += request.work;
    team.work += request.work;
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

void Admission::putBack(const WaitingRequest& request)
{
    insert(request, true);
}

WaitingRequest Admission::takeAt(RankQueue& rank, TeamQueue& team, const std::deque<WaitingRequest>::iterator& it)
{
    auto request = std::move(*it);
    team.requests.erase(it);
    team.work -= request.work;
    rank.work -= request.work;
    --m_size;
    if (team.requests.empty()) {
        std::erase(rank.turns, request.team);
        rank.teams.erase(request.team);
    }
    if (rank.turns.empty())
        rank.waitingSince.reset();
    return request;
}

Admission::RankQueue* Admission::chooseRank(Pool& pool)
{
    double all = 0;
    for (const auto& [order, rank] : pool.ranks)
        all += rank.given;
    RankQueue* first = nullptr;
    RankQueue* mostOwed = nullptr;
    double largestDebt = 0;
    for (auto& [order, rank] : pool.ranks) {
        if (rank.turns.empty())
            continue;
        if (!first) {
            first = &rank;
            continue;
        }
        double debt = rank.guaranteedShare * all - rank.given;
        if (debt > largestDebt) {
            largestDebt = debt;
            mostOwed = &rank;
        }
    }
    return mostOwed ? mostOwed : first;
}

std::optional<WaitingRequest> Admission::takeByTurns(RankQueue& rank)
{
    while (!rank.turns.empty()) {
        auto& team = rank.teams[rank.turns.front()];
        double need = team.requests.front().work;
        if (team.deficit >= need) {
            team.deficit -= need;
            return takeAt(rank, team, team.requests.begin());
        }
        team.deficit += quantum * team.share;
        std::rotate(rank.turns.begin(), rank.turns.begin() + 1, rank.turns.end());
    }
    return std::nullopt;
}

std::optional<WaitingRequest> Admission::takeOldest(Pool& pool)
{
    RankQueue* bestRank = nullptr;
    TeamQueue* bestTeam = nullptr;
    for (auto& [order, rank] : pool.ranks) {
        for (auto& [id, team] : rank.teams) {
            if (!bestTeam || team.requests.front().arrived < bestTeam->requests.front().arrived) {
                bestRank = &rank;
                bestTeam = &team;
            }
        }
    }
    if (!bestTeam)
        return std::nullopt;
    return takeAt(*bestRank, *bestTeam, bestTeam->requests.begin());
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
    return takeByTurns(*rank);
}

void Admission::started(const WaitingRequest& request)
{
    rankQueue(request).given += request.work;
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

std::optional<WaitingRequest> Admission::takeLeastDeserving()
{
    RankQueue* worstRank = nullptr;
    std::int64_t worstOrder = -1;
    PoolId worstPool;
    for (auto& [id, pool] : m_pools) {
        for (auto& [order, rank] : pool.ranks) {
            if (rank.turns.empty() || order < worstOrder || (order == worstOrder && worstPool < id))
                continue;
            worstRank = &rank;
            worstOrder = order;
            worstPool = id;
        }
    }
    if (!worstRank)
        return std::nullopt;
    auto largest = std::max_element(worstRank->teams.begin(), worstRank->teams.end(), [](const auto& a, const auto& b) {
        return a.second.work / a.second.share < b.second.work / b.second.share;
    });
    return takeAt(*worstRank, largest->second, std::prev(largest->second.requests.end()));
}

double Admission::workAheadInRank(const RankQueue& rank, const WaitingRequest& request)
{
    // Round robin serves other teams only in proportion to the work that this team has queued, up to and including this request.
    auto own = rank.teams.find(request.team);
    double ownWork = (own == rank.teams.end() ? 0 : own->second.work) + request.work;
    double ahead = 0;
    for (const auto& [id, team] : rank.teams)
        ahead += id == request.team ? team.work : std::min(team.work, ownWork * team.share / request.teamShare);
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
            moreUrgent += rank.work;
        if (order == request.rankOrder)
            inRank = workAheadInRank(rank, request);
    }
    // More urgent work is served first, but it cannot use this rank's guaranteed share.
    double withinShare = request.guaranteedShare > 0 ? inRank / request.guaranteedShare : inRank + moreUrgent;
    return std::min(inRank + moreUrgent, withinShare);
}

double Admission::expectedWait(const WaitingRequest& request, double rate, TimePoint now) const
{
    double byPool = workAhead(request) / rate;
    auto it = m_pools.find(request.pool);
    if (it == m_pools.end())
        return byPool;
    auto rank = it->second.ranks.find(request.rankOrder);
    bool waitsLong = rank != it->second.ranks.end() && rank->second.waitingSince && now >= *rank->second.waitingSince + rateMemory;
    if (!waitsLong)
        return byPool;
    double given = rank->second.given * decayFactor(it->second.decayedAt, now, shareMemorySeconds) / shareMemorySeconds;
    double least = request.guaranteedShare * rate;
    return workAheadInRank(rank->second, request) / std::max({ given, least, 1.0 });
}

std::vector<PoolId> Admission::busyPools() const
{
    std::vector<PoolId> pools;
    for (const auto& [id, pool] : m_pools) {
        if (waits(id))
            pools.push_back(id);
    }
    std::sort(pools.begin(), pools.end());
    return pools;
}

bool Admission::waits(const PoolId& id) const
{
    auto it = m_pools.find(id);
    return it != m_pools.end()
        && std::any_of(it->second.ranks.begin(), it->second.ranks.end(), [](const auto& r) { return !r.second.turns.empty(); });
}

}
