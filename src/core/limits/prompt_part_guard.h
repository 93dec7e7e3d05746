#pragma once

// Finds prompt parts that crash upstreams, and keeps requests with them away from upstreams at all instances.
//
// When an upstream crashes, all requests at work there lose their connections, and each of their shared parts is a suspect.
// Suspicion of a part ends when an upstream completes a response to a prompt with it, or keeps running after it began one. A
// part that the crashes of several processes have in common is quarantined. Crashes of a quarantined part are held against no
// other part.

#include "core/limits/prompt_part_news.h"
#include "core/requests/routed_request.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <set>

namespace skylarkhitch {

// Returns the parts of a prompt that other requests may share, which is all but the last, for use with PromptPartGuard. Parts
// beyond a bound are left out, and a long id is replaced by its hash.
std::vector<std::string> sharedParts(const RoutedRequest&);

// A request that lost the connection to its upstream.
struct LostRequest {
    std::string process;
    RequestId id;
    // The shared parts of the prompt.
    std::vector<std::string> parts;
    TimePoint sentAt;
};

// A change that is worth a log line.
struct PromptPartEvent {
    enum class Kind { Quarantined,
        Released,
        Probed };
    Kind kind = Kind::Quarantined;
    std::string part;
    std::int64_t crashes = 0;
    // The processes that crashed; empty if a peer quarantined the part.
    std::vector<std::string> processes;
};

class PromptPartGuard {
public:
    // Number of crashes that put a part into quarantine: for a part with which nothing was served yet, if no other such part has
    // these crashes in common, and if others have; and for a part with which something was served before.
    static constexpr std::size_t crashesOfOnlySuspect = 2;
    static constexpr std::size_t crashesOfSuspect = 3;
    static constexpr std::size_t crashesOfServedPart = 5;
    // Crashes closer together than this count as one, since they probably have a common cause, such as the loss of a machine.
    static constexpr Milliseconds commonCauseTime { 50 };
    // A crash is evaluated this long after the first connection was lost, when the other losses are known, here and from peers.
    static constexpr Milliseconds evaluationDelay { 30 };
    // Responses that have been running for this long after their first event clear their parts.
    static constexpr Milliseconds outlivedTime { 2000 };
    // How long crashes and served parts are remembered.
    static constexpr Seconds evidenceRetention { 120 };
    // A quarantine ends when no request with the part has arrived at any instance for this long.
    static constexpr Seconds quarantineRetention { 600 };
    // Time from the start of a quarantine to the first probe, and the factor by which the next wait is longer.
    static constexpr Seconds firstProbeDelay { 30 };
    static constexpr std::int64_t probeDelayFactor = 8;
    // Bounds of what is stored, and of what is sent to peers. The oldest crashes are dropped, and of a crash the parts that are
    // suspects in the fewest crashes.
    static constexpr std::size_t maxCrashes = 64;
    static constexpr std::size_t maxPartsPerCrash = 32;
    static constexpr std::size_t maxServedParts = 8192;
    static constexpr std::size_t maxQuarantined = 64;
    static constexpr std::size_t maxSentCrashes = 16;
    static constexpr std::size_t maxSentPartsPerCrash = 8;
    static constexpr std::size_t maxSentServedParts = 32;
    static constexpr std::size_t maxSentQuarantined = 16;

    enum class Verdict { Allowed,
        // Allowed although the part is in quarantine, to find out whether it still crashes upstreams.
        Probe,
        Refused };

    void recordLost(const LostRequest&, TimePoint now);
    // The process was running at this time, so connections that were lost before are no crash.
    void recordRunning(const std::string& process, TimePoint runningAt);
    // An upstream completed a response to a prompt with these parts, or has been running for outlivedTime since it began one.
    void recordServed(const std::vector<std::string>& parts, TimePoint now);

    // Decides whether a request may be sent. `mayProbe` holds for one instance of the site at a time.
    Verdict decide(const std::vector<std::string>& parts, bool mayProbe, TimePoint now);
    // The quarantined part among these, or null.
    const std::string* quarantinedPart(const std::vector<std::string>& parts) const;
    // Number of crashes that led to the quarantine of a part; 0 if it is not in quarantine.
    std::int64_t crashesOf(const std::string& part) const;
    // Whether a part is suspected to have caused a crash.
    bool isSuspected(const std::vector<std::string>& parts) const;
    // The same, where more than one lost connection speaks for a crash. A request that lost its connection must not be sent to
    // another upstream then.
    bool isRetryUnsafe(const std::vector<std::string>& parts) const;

    // Whether connections to the process were lost and it was not found running since.
    bool lostConnections(const std::string& process) const;

    // Merges what a peer sent.
    void learn(const PromptPartNews&, TimePoint now);
    // Puts parts into quarantine for which there are enough crashes. To be called evaluationDelay after takeUrgent() returned true.
    void evaluate(TimePoint now);
    // What peers have to know.
    PromptPartNews news(TimePoint now) const;
    // Returns and resets whether something happened that peers must know at once.
    bool takeUrgent();
    // Returns and removes the changes since the last call.
    std::vector<PromptPartEvent> takeEvents();
    // Drops what is older than its retention time.
    void forget(TimePoint now);

    std::size_t quarantinedCount() const { return m_quarantined.size(); }
    std::size_t crashCount() const { return m_crashes.size(); }
    // Crashes, parts and quarantines that were dropped because a bound was reached.
    std::int64_t dropped() const { return m_dropped; }

private:
    struct Crash {
        TimePoint at;
        // When the process was last found running.
        std::optional<TimePoint> runningAt;
        std::set<std::string> parts;
        std::set<std::uint64_t> requests;
    };
    struct Quarantine {
        TimePoint since;
        TimePoint lastRequestAt;
        std::int64_t crashes = 0;
        std::int64_t probes = 0;
        TimePoint lastProbeAt;
    };
    using Crashes = absl::flat_hash_map<std::string, Crash>;

    static bool isCrash(const Crash& crash) { return !crash.runningAt || *crash.runningAt <= crash.at; }
    static bool isConfirmed(const Crash& crash) { return isCrash(crash) && crash.requests.size() > 1; }
    // The crash that a connection lost at this time belongs to, which may be a new one.
    Crash& crashOf(const std::string& process, TimePoint lostAt);
    void addPart(Crash&, const std::string& part);
    bool isExplained(const Crash&) const;
    bool wasServedSince(const std::string& part, TimePoint) const;
    // Crashes for which the part is a suspect, by process.
    std::vector<const Crashes::value_type*> crashesWith(const std::string& part) const;
    // Number of crashes, without those that have a common cause with an earlier one.
    static std::size_t countCauses(const std::vector<const Crashes::value_type*>&);
    bool isOnlySuspect(const std::string& part, const std::vector<const Crashes::value_type*>&) const;
    // Returns the suspects of these crashes that must be put into quarantine.
    std::vector<std::string> findCrashingParts(const std::vector<std::string>& processes) const;
    void quarantine(const std::string& part, TimePoint now);
    // Ends quarantines of parts whose crashes another quarantined part has caused, which is in more crashes.
    void releaseExplained(TimePoint now);
    bool isExplainedBy(const std::string& part, const std::string& other) const;
    void release(const std::string& part);
    void markServed(const std::string& part, TimePoint at);
    void learnCrash(const SuspectedCrash&, TimePoint now);
    void learnQuarantine(const QuarantinedPart&, TimePoint now);
    void limitSizes();

    Crashes m_crashes;
    // Processes whose crashes changed since they were evaluated.
    std::set<std::string> m_unevaluated;
    // When each part was last served.
    absl::flat_hash_map<std::string, TimePoint> m_servedAt;
    absl::flat_hash_map<std::string, Quarantine> m_quarantined;
    std::vector<PromptPartEvent> m_events;
    std::int64_t m_dropped = 0;
    bool m_isUrgent = false;
};

}
