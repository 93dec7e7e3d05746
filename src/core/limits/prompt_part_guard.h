#pragma once

// Finds prompt parts that crash upstreams, and keeps requests with them away from upstreams at all instances.
//
// When an upstream crashes, all requests at work there lose their connections, and each of their shared parts is a suspect.
// Suspicion of a part ends when an upstream completes a response to a prompt with it, or keeps running after it began one.
//
// What the crashes of several processes have in common is quarantined. If that is several parts, one of them crashes upstreams,
// but it is not known which one: requests with all of them are refused, and of the requests with some of them one at a time is
// sent, as a trial. A response clears the parts of the trial; a crash puts them into a quarantine of their own. Crashes that a
// quarantine explains are held against no other part.

#include "core/limits/prompt_part_news.h"
#include "core/requests/routed_request.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <functional>
#include <map>
#include <set>

namespace skylarkhitch {

// Returns the parts of a prompt that other requests may share, which is all but the last, for use with PromptPartGuard. A long id
// is replaced by its hash.
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
    // The parts of the quarantine, comma-separated, or the part that is released.
    std::string parts;
    std::int64_t crashes = 0;
    // The processes that crashed; empty if a peer began the quarantine.
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
    // A quarantine ends when no request with all of its parts has arrived at any instance for this long.
    static constexpr Seconds quarantineRetention { 600 };
    // Time from the start of a quarantine to the first probe, and the factor by which the next wait is longer.
    static constexpr Seconds firstProbeDelay { 30 };
    static constexpr std::int64_t probeDelayFactor = 8;
    // Time from one trial to the next one, unless its end is known sooner. After this many crashes of trials it is as long as that
    // of probes.
    static constexpr Milliseconds trialTime { 2500 };
    static constexpr std::int64_t maxQuickTrialCrashes = 1;
    // Of the instances that may begin a trial, each leaves the one before it this much time to do so and to tell the others. It
    // waits at most for the latter time.
    static constexpr Milliseconds trialTurn { 100 };
    static constexpr Milliseconds maxTrialWait { 3000 };
    // A crash of which a peer has told only a part of the suspects is evaluated after this time at the latest.
    static constexpr Milliseconds completionTime { 1500 };
    // Bounds of what is stored, and of what is sent to peers. The bound on the parts of a crash is above what the head of a request
    // can hold. The oldest crashes are dropped, and peers are told in turn of suspects that are too many for one message.
    static constexpr std::size_t maxCrashes = 64;
    static constexpr std::size_t maxPartsPerCrash = 8192;
    static constexpr std::size_t maxParts = 32768;
    static constexpr std::size_t maxServedParts = 8192;
    static constexpr std::size_t maxQuarantined = 64;
    static constexpr std::size_t maxSentCrashes = 16;
    static constexpr std::size_t maxSentParts = 128;
    static constexpr std::size_t maxSentServedParts = 32;
    static constexpr std::size_t maxSentQuarantined = 16;
    static constexpr std::size_t maxSentSetParts = 64;

    enum class Verdict { Allowed,
        // Allowed although parts are in quarantine, to find out whether they still crash upstreams, or which of them do.
        Probe,
        // Refused while a trial of some of its parts is under way or due elsewhere.
        Deferred,
        Refused };
    // The place of this instance among those of the site in probing a quarantine with these parts, 0 for the first; nullopt if it
    // must not.
    using ProbeRank = std::function<std::optional<std::size_t>(const std::string& parts)>;

    void recordLost(const LostRequest&, TimePoint now);
    // The process was running at this time, so connections that were lost before are no crash.
    void recordRunning(const std::string& process, TimePoint runningAt);
    // An upstream completed a response to a prompt with these parts, or has been running for outlivedTime since it began one.
    void recordServed(const std::vector<std::string>& parts, TimePoint now);

    // Decides whether a request may be sent. Of the instances, the first one sends probes, and each may begin a trial in its turn.
    Verdict decide(const std::vector<std::string>& parts, const ProbeRank&, TimePoint now);
    // The same for the first instance, or for one that must not probe.
    Verdict decide(const std::vector<std::string>& parts, bool mayProbe, TimePoint now);
    // A part of a quarantine all of whose parts are among these, or null if there is none.
    const std::string* quarantinedPart(const std::vector<std::string>& parts) const;
    // Whether any of the parts is in a quarantine, so that a request with them is sent as a probe or a trial only.
    bool isHeldBack(const std::vector<std::string>& parts) const;
    // Number of crashes that led to a quarantine of a part; 0 if it is not in quarantine.
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
    // All quarantines.
    std::vector<QuarantinedParts> quarantines(TimePoint now) const;
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
        absl::flat_hash_set<std::string> parts;
        std::set<std::uint64_t> requests;
        // Number of suspects that the last peer that told of the crash knows.
        std::size_t toldSuspects = 0;
    };
    struct Quarantine {
        TimePoint since;
        TimePoint lastRequestAt;
        std::int64_t crashes = 0;
        std::int64_t probes = 0;
        TimePoint lastProbeAt;
        // Of requests with some of the parts.
        std::optional<TimePoint> lastTrialAt;
        std::int64_t trialCrashes = 0;
    };
    using Crashes = absl::flat_hash_map<std::string, Crash>;
    using CrashPointers = std::vector<const Crashes::value_type*>;
    // At least one of the parts crashes upstreams.
    using PartSet = std::set<std::string>;
    using Quarantines = std::map<PartSet, Quarantine>;
    // The quarantines of parts that a request has.
    struct Matches {
        // The request has all parts of these, and some parts of those.
        std::vector<Quarantines::value_type*> complete, partial;
    };

    static bool isCrash(const Crash& crash) { return !crash.runningAt || *crash.runningAt <= crash.at; }
    static bool isConfirmed(const Crash& crash) { return isCrash(crash) && crash.requests.size() > 1; }
    // The crash that a connection lost at this time belongs to, which may be a new one.
    Crash& crashOf(const std::string& process, TimePoint lostAt);
    void addPart(Crash&, const std::string& part);
    bool isExplained(const Crash&) const;
    bool wasServedSince(const std::string& part, TimePoint) const;
    // Crashes that no quarantine explains.
    CrashPointers unexplainedCrashes() const;
    // Those of the crashes for which the part is a suspect.
    CrashPointers crashesWith(const std::string& part, const CrashPointers&) const;
    // Number of crashes, without those that have a common cause with an earlier one.
    static std::size_t countCauses(const CrashPointers&);
    // The part sets that evidence of these crashes, with all others, must put into quarantine.
    std::vector<PartSet> findCrashingSets(const std::vector<std::string>& processes) const;
    void quarantine(const PartSet&, TimePoint now);
    // Puts the parts of a quarantine that were in a crash without the others into a quarantine of their own.
    void narrow(const Crash&, TimePoint now);
    // Clears parts in quarantine if another one there was in all of their crashes, and in several more.
    void releaseExplained(TimePoint now);
    bool isExplainedBy(const std::string& part, const std::string& other) const;
    Matches findMatches(const std::vector<std::string>& parts);
    bool isTrialDue(const Quarantines::value_type&, const ProbeRank&, TimePoint now) const;
    bool isProbeDue(const std::vector<Quarantines::value_type*>&, const ProbeRank&, TimePoint now) const;
    void recordProbed(const Matches&, TimePoint now);
    // Takes a part that was served out of the quarantines that this shows to be wrong about it.
    void release(const std::string& part, TimePoint servedAt);
    void markServed(const std::string& part, TimePoint at);
    void learnCrash(const SuspectedCrash&, TimePoint now);
    void learnQuarantine(const QuarantinedParts&, TimePoint now);
    void tellCrashes(PromptPartNews&, TimePoint now) const;
    void tellQuarantines(PromptPartNews&, TimePoint now) const;
    void limitSizes();

    Crashes m_crashes;
    // Processes whose crashes changed since they were evaluated.
    std::set<std::string> m_unevaluated;
    // When each part was last served.
    absl::flat_hash_map<std::string, TimePoint> m_servedAt;
    Quarantines m_quarantined;
    std::vector<PromptPartEvent> m_events;
    std::int64_t m_dropped = 0;
    bool m_isUrgent = false;
};

}
