#pragma once

// Queues of waiting requests, one for each pool, rank and team. A pool is a set of interchangeable upstreams: those of one
// version or one service. Ranks are served in order of urgency, except that a rank that has received less than its guaranteed
// share of recent work goes first. Within a rank, teams are served by deficit round robin (Shreedhar and Varghese, 1995),
// measured in tokens of expected work. A first-in, first-out policy is available as a baseline for comparison.

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
    // 0 is the most urgent.
    std::int64_t rankOrder = 0;
    // Fraction of the pool's work that is reserved for the rank, 0 to 1.
    double guaranteedShare = 0;
    TeamId team;
    // Weight relative to other teams of the same rank.
    double teamShare = 1;
    // Expected work in tokens; a token equivalent for service calls.
    double work = 1;
    TimePoint arrived;
    TimePoint deadline;
    // Latest start time at which the request can still meet its deadline; defaults to the deadline.
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
    // Returns a request from next() that could not be started to the head of its team's queue.
    void requeue(const WaitingRequest&);
    // Removes and returns the pool's next request to start.
    std::optional<WaitingRequest> next(const PoolId&, TimePoint);
    // Charges the request's work to its rank. Called only when an attempt starts, so that requests that were requeued or
    // abandoned are not charged.
    void started(const WaitingRequest&);
    // False if the request is not waiting in the pool.
    bool remove(const PoolId&, const RequestId&);
    // Removes and returns the requests whose latestStart has passed.
    std::vector<WaitingRequest> takeExpired(TimePoint);
    // Removes and returns the request to drop when too many requests wait in all pools together: the newest request of the team
    // with the most queued work relative to its share, in the least urgent rank of any pool.
    std::optional<WaitingRequest> takeLowestPriority();

    // Estimated work in tokens that would be served before a new request of this rank and team.
    double workAhead(const WaitingRequest&) const;
    // Estimated seconds until a new request would start, if the pool completes `rate` tokens of work per second. For a rank
    // that has had a backlog for some time, the estimate uses the rank's own recent throughput instead (at least its guaranteed
    // share of `rate`), since that also accounts for more urgent work that is still to arrive.
    double expectedWait(const WaitingRequest&, double rate, TimePoint now) const;

    std::size_t size() const { return m_size; }
    std::vector<PoolId> poolsWithWaiting() const;
    bool hasWaiting(const PoolId&) const;

private:
    struct TeamQueue {
        std::deque<WaitingRequest> requests;
        double share = 1;
        // Deficit counter of the round robin: tokens of work credited to the team and not yet used.
        double deficit = 0;
        double queuedWork = 0;
    };
    struct RankQueue {
        RankId rank;
        double guaranteedShare = 0;
        // Work charged to this rank by started(), decaying exponentially with time.
        double servedWork = 0;
        double queuedWork = 0;
        // Since when the rank has had waiting requests without interruption.
        std::optional<TimePoint> backloggedSince;
        std::map<TeamId, TeamQueue> teams;
        // Teams with waiting requests, in round-robin order.
        std::deque<TeamId> activeTeams;
    };
    struct Pool {
        // By rankOrder.
        std::map<std::int64_t, RankQueue> ranks;
        // When servedWork was last decayed.
        TimePoint decayedAt {};
    };

    RankQueue& rankQueue(const WaitingRequest&);
    static double workAheadInRank(const RankQueue&, const WaitingRequest&);
    void insert(const WaitingRequest&, bool atHead);
    RankQueue* chooseRank(Pool&);
    std::optional<WaitingRequest> takeRoundRobin(RankQueue&);
    std::optional<WaitingRequest> takeOldest(Pool&);
    WaitingRequest takeAt(RankQueue&, TeamQueue&, const std::deque<WaitingRequest>::iterator&);
    static void decay(Pool&, TimePoint);

    AdmissionPolicy m_policy;
    absl::flat_hash_map<PoolId, Pool> m_pools;
    std::size_t m_size = 0;
};

}
