#pragma once

// Staged roll-out of a service to a new release: a small share of traffic first, to compare it with the old release, then
// more, then all. Decisions use the counters of all instances. The current stage is kept in the platform's store.

#include "core/membership/fleet_heartbeat.h"

#include <string_view>

namespace skylarkhitch {

// An operator's order to roll a service out to a release.
struct RolloutOrder {
    ServiceId service;
    std::string target;
    // Time within which the roll-out should finish.
    Milliseconds duration {};
    // Store revision of the order; distinguishes two orders for the same target.
    std::int64_t revision = 0;
};

enum class RolloutStage {
    // A small share of new sessions.
    Canary,
    // A fixed part of all sessions.
    Half,
    // All sessions; the old release only finishes its running requests.
    Full,
    Completed,
    Reverted,
};

// The current stage, as kept in the store.
struct RolloutRecord {
    // Revision of the order that this record belongs to.
    std::int64_t orderRevision = 0;
    std::string target;
    RolloutStage stage = RolloutStage::Canary;
    // Wall-clock start time of the roll-out, for instances that continue it after a restart.
    TimePoint startedAt {};
    // Counters of the other releases from before the target received more than the canary share. The target is compared
    // with these once the other releases get no traffic, also by instances that started later.
    ReleaseEvidence baseline;
};

// Conversion between a stage and its name in logs and in the stored record.
const char* stageName(RolloutStage);
std::optional<RolloutStage> parseStageName(std::string_view);

// Share of sessions routed to the target in a stage.
double sessionShareOf(RolloutStage);

inline bool isFinal(RolloutStage stage) { return stage == RolloutStage::Completed || stage == RolloutStage::Reverted; }

struct RolloutSettings {
    // Fractions of the order's duration at which the stages begin.
    double halfStart = 0.52;
    double fullStart = 0.62;
    double completedStart = 0.8;
    // Answers of the target required before it gets more than the canary share. The number is low enough for a service with
    // about ten requests per second, and the next stage soon provides more evidence.
    std::int64_t minResponses = 6;
    // Failures of the target required to judge it bad by failure rate.
    std::int64_t minFailures = 3;
    // The target is bad if its failure rate exceeds that of the other releases by more than this.
    double failureMargin = 0.1;
    // Answers per route and model, of the target and of the others each, required to compare latencies.
    std::int64_t minResponsesPerRouteAndModel = 4;
    // Target answers over all compared routes and models required for a verdict on latency.
    std::int64_t minComparedResponses = 8;
    // Ratio of mean latencies above which the target is bad. The target's engines are nearly idle while the others carry the
    // load: good targets take 0.4 to 0.9 of the others' time (benchmark, standard days), so a target that is several times
    // slower shows a ratio of about two.
    double maxLatencyRatio = 1.8;
    // Differences in mean latency below this never make a release bad.
    Milliseconds minLatencyDifference { 30 };
    // Answers required to complete a roll-out, since completion is irreversible. Waived from minResponsesWaivedFrom of the duration on.
    std::int64_t minResponsesToComplete = 40;
    double minResponsesWaivedFrom = 0.95;
};

// Result of comparing the target with the service's other releases.
struct ReleaseVerdict {
    bool isBad = false;
    // Why the target is bad, for the log; empty if it is not.
    std::string reason;
    std::int64_t answers = 0;
    // Ratio of the target's total latency to the latency expected from the others; 0 without enough answers of both.
    double latencyRatio = 0;
};

ReleaseVerdict judgeRelease(const RolloutOrder&, const ReleaseEvidence&, const ReleaseEvidence& baseline = {}, const RolloutSettings& = {});

// The evidence for the service's releases other than the target.
ReleaseEvidence baselineOf(const RolloutOrder&, const ReleaseEvidence&);

// The next stage, given the time since the start and the verdict. Stages only move forward, or to Reverted. `oldReleaseIsIdle`
// is true when the old release has no running requests.
RolloutStage nextStage(const RolloutOrder&, const RolloutRecord&, const ReleaseVerdict&, Milliseconds sinceStart, bool oldReleaseIsIdle, const RolloutSettings& = {});

}
