#pragma once

// The order in which waiting requests get a place on an upstream. A pool is what can take the place of each other:
// the upstreams of one version or one service. Within a pool the most urgent rank goes first, but for the guaranteed
// shares of the others; within a rank teams take turns by deficit round robin (Shreedhar and Varghese, 1995) in
// tokens of expected work. The baseline beside it is first in, first out.

#include "core/configuration/configuration.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>

namespace skylarkhitch {

using PoolId = StrongId<struct PoolTag>;

struct WaitingRequest {
    RequestId request;
    PoolId pool;
    RankId rank;
    std::int64_t rankOrder = 0;
    double guaranteedShare = 0;
    TeamId team;
    double teamShare = 1;
    // Expected tokens, or the like for a service.
    double work = 1;
    TimePoint arrived;
    TimePoint deadline;
    // After this time it could not be done by its deadline; the deadline itself if not set.
    TimePoint latestStart = deadline;
};

enum class AdmissionPolicy { RankAndTeam,
    FirstInFirstOut };

class Admission {
public:
    explicit Admission(AdmissionPolicy policy = AdmissionPolicy::RankAndTeam)
        : m_policy(policy)
    {
    }

    void enqueue(const WaitingRequest&);
    // Puts a request back at the head of its team's queue, after a place that came to nothing.
    void putBack(const WaitingRequest&);
    std::optional<WaitingRequest> next(const PoolId&, TimePoint);
    // The request got its place. Only this counts as given to its rank: one that was put back or given up got nothing.
    void started(const WaitingRequest&);
    bool remove(const PoolId&, const RequestId&);
    // Takes out the requests that can not start in time any more.
    std::vector<WaitingRequest> takeExpired(TimePoint);
    // Takes out the request that should give way when the queue is full: of the least urgent rank, from the team with
    // the most waiting work for its share, the newest.
    std::optional<WaitingRequest> takeLeastDeserving();

    // Work that goes before a new request of this rank and team, in tokens.
    double workAhead(const WaitingRequest&) const;
    // Seconds until a new request would get a place, when the pool does `rate` tokens of work a second. A rank that has
    // waited for a while is reckoned by the work that it was given lately: it also shows what more urgent work will take.
    double expectedWait(const WaitingRequest&, double rate, TimePoint now) const;

    std::size_t size() const { return m_size; }
    std::vector<PoolId> busyPools() const;
    bool waits(const PoolId&) const;

private:
    struct TeamQueue {
        std::deque<WaitingRequest> requests;
        double share = 1;
        double deficit = 0;
        double work = 0;
    };
    struct RankQueue {
        RankId rank;
        double guaranteedShare = 0;
        // Work given to this rank, decaying with time.
        double given = 0;
        double work = 0;
        std::optional<TimePoint> waitingSince;
        std::map<TeamId, TeamQueue> teams;
        // Teams with waiting requests, in the order of their turns.
        std::deque<TeamId> turns;
    };
    struct Pool {
        std::map<std::int64_t, RankQueue> ranks;
        TimePoint decayedAt {};
    };

    RankQueue& rankQueue(const WaitingRequest&);
    static double workAheadInRank(const RankQueue&, const WaitingRequest&);
    void insert(const WaitingRequest&, bool atHead);
    RankQueue* chooseRank(Pool&);
    std::optional<WaitingRequest> takeByTurns(RankQueue&);
    std::optional<WaitingRequest> takeOldest(Pool&);
    WaitingRequest takeAt(RankQueue&, TeamQueue&, const std::deque<WaitingRequest>::iterator&);
    static void decay(Pool&, TimePoint);

    AdmissionPolicy m_policy;
    absl::flat_hash_map<PoolId, Pool> m_pools;
    std::size_t m_size = 0;
};

}
