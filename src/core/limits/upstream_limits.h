#pragma once

// Keeps the requests that all instances together send to an upstream within the limit that it states.
//
// A limit may be less than one request per second for each instance, so equal shares would exceed it. It is divided into as many
// shares as are of use, and each share has one owner at a time; the other instances send the upstream nothing. Heartbeats name the
// owners, and each instance passes on those that it knows. A share without an owner goes to the live instance that rendezvous
// hashing selects. If two instances with different lists of live instances take it, one gives way as soon as it learns of the
// other. An instance starts without a saved-up request when it gets a share.
//
// An upstream that is cold has a limit as well, for a known time, whatever its responses state meanwhile. Instances learn of it at
// different moments, from its entry or from each other, and wait until news of owners has reached them before they take a share.

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
    // Share of a limit, in requests per second, that is worth dividing it, and the maximum number of shares.
    static constexpr double minShare = 4;
    static constexpr std::size_t maxShares = 8;
    // An instance owns a share until it has not renewed that for this long. News takes less time to reach all instances of a large site.
    static constexpr Milliseconds ownershipLifetime { 2500 };
    // Rate at which an upstream is asked even if its limit is lower, so that a limit that ended is noticed.
    static constexpr double minRate = 0.25;
    // Requests that may be saved up, in time at the own rate; at least one request.
    static constexpr Milliseconds maxSavedTime { 250 };
    // A change of a limit by less than this part is not news.
    static constexpr double newsworthyChange = 0.1;
    // A statement holds for this long. Without an end, instances would tell each other of processes that are gone for ever.
    static constexpr Seconds statementRetention { 120 };
    // How long peers are told that a limit ended.
    static constexpr Seconds endedNewsTime { 10 };
    static constexpr std::size_t maxSent = 64;
    // Time from when an instance learns that an upstream is cold until it takes a share of that limit.
    static constexpr Milliseconds coldClaimDelay { 1000 };
    // The longest time for which an upstream is taken to be cold. Upstreams are cold for some seconds.
    static constexpr Milliseconds maxColdTime { 600000 };
    // What is known of the end of a cold time differs by less than this.
    static constexpr Milliseconds coldTolerance { 500 };

    explicit UpstreamLimits(InstanceId self)
        : m_self(std::move(self))
    {
    }

    // Sets the live instances that divide the limits among them.
    void setInstances(std::vector<InstanceId> instances) { m_instances = std::move(instances); }
    // Renews the ownership of this instance's shares, takes those that nobody owns, and drops old statements. To be called with each heartbeat.
    void assignShares(TimePoint now);
    // A response of the process states this limit, or none.
    void recordResponse(const std::string& process, std::optional<double> requestsPerSecond, TimePoint now);
    // The process is cold until then. Takes nothing back that is known.
    void recordCold(const std::string& process, double requestsPerSecond, TimePoint until, TimePoint now);
    // Whether a request of this rank may be sent to the process now. The most urgent rank, 0, may use up one request in advance.
    bool maySend(const std::string& process, std::int64_t rank, TimePoint now) const;
    // A request is sent to the process.
    void sent(const std::string& process, TimePoint now);
    // Time until a request may be sent to the process: by this instance if it has a share of the limit, else by another one as
    // the limit alone says.
    Milliseconds timeToNext(const std::string& process, TimePoint now) const;
    // The part of the process's limit that this instance owns; 1 if it has none.
    double ownPart(const std::string& process) const;
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

    // Whether no process has stated a limit.
    bool empty() const { return m_limits.empty(); }
    std::size_t limitedCount() const;

private:
    struct Owner {
        InstanceId instance;
        TimePoint at;
    };
    struct Limit {
        // The one in force.
        std::optional<double> requestsPerSecond;
        // What the process stated last, and when; TimePoint {} if it stated nothing.
        std::optional<double> stated;
        TimePoint statedAt {};
        double coldRate = 0;
        // When this instance learned that the process is cold, and the end of that; TimePoint {} if it is not cold.
        TimePoint coldSince {}, coldUntil {};
        std::vector<Owner> shares;
        // What this instance may send per second; 0 without a share.
        double ownRate = 0;
        // Requests saved up at refilledAt.
        double saved = 0;
        TimePoint refilledAt;
    };

    void state(const std::string& process, std::optional<double> requestsPerSecond, TimePoint statedAt, TimePoint now, bool fromPeer);
    void learnCold(const std::string& process, const ColdLimit&, TimePoint now);
    void setCold(const std::string& process, double requestsPerSecond, TimePoint until, TimePoint now, bool fromPeer);
    static bool isCold(const Limit& limit, TimePoint now) { return limit.coldUntil > now; }
    // Sets the limit in force from what is stated and known.
    void update(const std::string& process, Limit&, TimePoint now, bool fromPeer);
    // Ends the cold times that are over.
    void endCold(TimePoint now);
    static bool isCurrent(const Owner&, TimePoint now);
    // The one that stays of two owners of the same share.
    static const Owner& strongerOwner(const std::string& shareKey, const Owner& known, const Owner& other, TimePoint now);
    void assign(const std::string& process, Limit&, TimePoint now);
    void learnOwners(const StatedLimit&, Limit&, TimePoint now);
    static double savedAt(const Limit&, TimePoint now);
    // Sets the own rate from the owners of the shares.
    void updateOwnRate(Limit&, TimePoint now) const;

    InstanceId m_self;
    std::vector<InstanceId> m_instances;
    absl::flat_hash_map<std::string, Limit> m_limits;
    std::vector<UpstreamLimitEvent> m_events;
    bool m_isUrgent = false;
};

}
