#pragma once

// Keeps the requests that all instances together send to an upstream within the limit that it states.
//
// A limit may be less than one request per second for each instance, so equal shares would exceed it. It belongs to as many
// instances as get a useful share, which rendezvous hashing selects; the others send the upstream nothing. No instance asks
// another: all compute the same from the list of live instances and the limits in heartbeats. Two instances with different lists
// may both send for as long as the lists differ, so an instance starts without a saved-up request when it gets a share.

#include "core/limits/upstream_limit_news.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <set>

namespace skylarkhitch {

// A change that is worth a log line.
struct UpstreamLimitEvent {
    enum class Kind { Learned,
        Changed,
        Ended };
    Kind kind = Kind::Learned;
    std::string process;
    double requestsPerSecond = 0;
    // What this instance may send.
    double ownRate = 0;
    // How old the statement is, and whether a peer passed it on.
    Milliseconds age {};
    bool fromPeer = false;
};

class UpstreamLimits {
public:
    // Share of a limit, in requests per second, that is worth dividing it.
    static constexpr double minShare = 4;
    // Rate at which an upstream is asked even if its limit is lower, so that a limit that ended is noticed.
    static constexpr double minRate = 0.25;
    // Requests that may be saved up, in time at the own rate; at least one request.
    static constexpr Milliseconds maxSavedTime { 250 };
    // A change of a limit by less than this part is not news.
    static constexpr double newsworthyChange = 0.1;
    // How long peers are told that a limit ended.
    static constexpr Seconds endedNewsTime { 10 };
    static constexpr std::size_t maxSent = 64;

    explicit UpstreamLimits(InstanceId self)
        : m_self(std::move(self))
    {
    }

    // Sets the live instances that divide the limits among them.
    void setInstances(std::vector<InstanceId>, TimePoint now);
    // A response of the process states this limit, or none.
    void recordResponse(const std::string& process, std::optional<double> requestsPerSecond, TimePoint now);
    // Whether a request of this rank may be sent to the process now. The most urgent rank, 0, may use up one request in advance.
    bool maySend(const std::string& process, std::int64_t rank, TimePoint now) const;
    // A request is sent to the process.
    void sent(const std::string& process, TimePoint now);
    // Time until maySend() will hold at this instance; nullopt if it has no share of the limit.
    std::optional<Milliseconds> timeToNext(const std::string& process, TimePoint now) const;
    // Whether the process has a limit.
    bool isLimited(const std::string& process) const;

    // Merges what a peer sent.
    void learn(const std::vector<StatedLimit>&, TimePoint now);
    // What peers have to know: the newest statements.
    std::vector<StatedLimit> news(TimePoint now) const;
    // Returns and resets whether something happened that peers must know at once.
    bool takeUrgent();
    // Returns and removes the changes since the last call.
    std::vector<UpstreamLimitEvent> takeEvents();
    // Drops the processes for which the predicate does not hold.
    void keepOnly(const std::function<bool(const std::string&)>& isKnown);

    std::size_t limitedCount() const;

private:
    struct Limit {
        std::optional<double> requestsPerSecond;
        TimePoint statedAt;
        // What this instance may send per second; 0 without a share.
        double ownRate = 0;
        // Requests saved up at refilledAt.
        double saved = 0;
        TimePoint refilledAt;
    };

    void state(const std::string& process, std::optional<double> requestsPerSecond, TimePoint statedAt, TimePoint now, bool fromPeer);
    double ownRate(const std::string& process, double requestsPerSecond) const;
    static double savedAt(const Limit&, TimePoint now);
    static void setOwnRate(Limit&, double rate, TimePoint now);

    InstanceId m_self;
    std::vector<InstanceId> m_instances;
    absl::flat_hash_map<std::string, Limit> m_limits;
    std::vector<UpstreamLimitEvent> m_events;
    bool m_isUrgent = false;
};

}
