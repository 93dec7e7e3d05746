#pragma once

// How a service's traffic moves to a new release: a small share first, to see how it does, then more, then all. Every
// decision comes from counters of all instances, and the stage in force is kept in the platform's store.

#include "core/membership/fleet_beat.h"

#include <string_view>

namespace skylarkhitch {

// An operator's order to move a service to a release.
struct RolloutOrder {
    ServiceId service;
    std::string target;
    // Time in which the move should be over.
    Milliseconds duration {};
    // The store's revision of the order: tells two orders of the same target apart.
    std::int64_t revision = 0;
};

enum class RolloutStage {
    // A small share of new sessions.
    Canary,
    // A part of all sessions.
    Half,
    // All sessions; the old release only ends what it runs.
    Full,
    Completed,
    Reverted,
};

// The stage in force, as it is kept in the store.
struct RolloutRecord {
    // The order that it belongs to.
    std::int64_t orderRevision = 0;
    std::string target;
    RolloutStage stage = RolloutStage::Canary;
    // Wall-clock time of the order's start, for whoever goes on with it after a restart.
    TimePoint startedAt {};
    // How the other releases did before the target got more than the canary's share: what the target is compared with
    // once nothing runs on them, also by instances that started since.
    ReleaseEvidence baseline;
};

// The stage's name in logs and in the stored record, and the stage of a name.
const char* stageName(RolloutStage);
std::optional<RolloutStage> stageOfName(std::string_view);

// Share of sessions that go to the target in a stage.
double shareOf(RolloutStage);

// Whether a stage ends the roll-out.
inline bool isFinal(RolloutStage stage) { return stage == RolloutStage::Completed || stage == RolloutStage::Reverted; }

struct RolloutSettings {
    // Parts of the order's time at which the stages begin.
    double halfFrom = 0.52;
    double fullFrom = 0.62;
    double completedFrom = 0.8;
    // Answers of the target that have to be there before it gets more than the canary's share: few enough for a service
    // of some ten requests a second; the next stage tells more soon.
    std::int64_t leastAnswers = 6;
    // Failures of the target from which on it can be called bad.
    std::int64_t leastFailures = 3;
    // Failure rate beyond the old release's at which the target is bad.
    double failureMargin = 0.1;
    // Answers of one route and model from which on latencies are compared.
    std::int64_t leastTimed = 4;
    // Answers of all of them together that a judgement by latency needs.
    std::int64_t leastTimedTogether = 8;
    // Ratio of mean latencies at which the target is bad. Its engines are nearly idle while the others carry the load: good
    // targets take 0.4 to 0.9 of the others' time (bench, standard days), so one that is several times slower shows as two.
    double slowRatio = 1.8;
    // Differences of latency below this are never held against a release.
    Milliseconds slowMargin { 30 };
    // Answers without which a release is not completed, since that cannot be taken back, but in the last part of the time.
    std::int64_t leastToComplete = 40;
    double lastPartFrom = 0.95;
};

// What the counters say about the target beside the service's other releases.
struct ReleaseVerdict {
    bool isBad = false;
    // What spoke against it, for the log; empty if nothing did.
    std::string reason;
    std::int64_t answers = 0;
    // Time that the target's answers took beside the time that the others would have taken; 0 without enough of both.
    double slowness = 0;
};

ReleaseVerdict judgeRelease(const RolloutOrder&, const ReleaseEvidence&, const ReleaseEvidence& baseline = {}, const RolloutSettings& = {});

// What the evidence says of the service's releases beside the target.
ReleaseEvidence baselineOf(const RolloutOrder&, const ReleaseEvidence&);

// The stage that follows from the time since the start and from the evidence. Stages never go back, but to Reverted;
// oldIsIdle says that the old release runs nothing any more.
RolloutStage nextStage(const RolloutOrder&, const RolloutRecord&, const ReleaseVerdict&, Milliseconds sinceStart, bool oldIsIdle, const RolloutSettings& = {});

}
