#pragma once

// Staged rollout of a service to a new release: a small share of traffic first, to compare it with the old release, then more,
// then all. Decisions use the counters of all instances. The current stage is kept in the platform's store.

#include "core/membership/fleet_heartbeat.h"
#include "core/rollout/rollout_stage.h"

namespace skylarkhitch {

// An operator's order to move a service to a release.
struct RolloutOrder {
    ServiceId service;
    std::string target;
    // Time within which the rollout should finish; see nextStage() for what happens otherwise.
    Milliseconds duration {};
    // Store revision of the order; distinguishes two orders for the same target.
    std::int64_t revision = 0;
};

// The current stage, as kept in the store.
struct RolloutRecord {
    // Revision of the order that this record belongs to.
    std::int64_t orderRevision = 0;
    std::string target;
    RolloutStage stage = RolloutStage::Canary;
    // Wall-clock start time of the rollout, for instances that continue it after a restart.
    TimePoint startedAt {};
    // Counters of the other releases from before the target received more than the canary share. They are added where the
    // current counters of the other releases are too low for a comparison, as when these get no traffic. They are kept in the
    // store for instances that started later.
    ReleaseEvidence baseline;
};

// Share of sessions routed to the target in a stage.
double sessionShareOf(RolloutStage);

struct RolloutSettings {
    // Fractions of the order's duration at which the stages begin at the earliest.
    double halfStart = 0.52;
    double fullStart = 0.62;
    double completedStart = 0.8;
    // Requests that the target must have completed or failed before it gets more than the canary share, and without which a
    // rollout never completes. The number is low enough for a service with about ten requests per second, and the next stage
    // soon provides more evidence.
    std::int64_t minResponses = 6;
    // Failures of the target required to judge it bad by failure rate.
    std::int64_t minFailures = 3;
    // The target is bad if its failure rate, overall or for one route and model, exceeds that of the other releases by more
    // than this.
    double failureMargin = 0.1;
    // Distance of the two rates, in standard errors, beyond which the difference is not chance. It is tested several times a
    // second and for each route.
    double failureStandardErrors = 3;
    // Completed requests per route and model, of the target and of the others each, required to compare mean latencies. Requests
    // of the target that waited long and were abandoned count as well, also in the next two settings.
    std::int64_t minResponsesPerRouteAndModel = 4;
    // Completed requests of the target over all compared routes and models required for a verdict on latency.
    std::int64_t minComparedResponses = 8;
    // The same for a verdict on one route and model alone. More are required, since each of them is another chance of a wrong
    // verdict.
    std::int64_t minComparedResponsesOfOne = 16;
    // Ratio of the target's latency to that of the others, overall or for one route and model, above which the target is bad.
    // The target's engines are nearly idle while the others carry the load: good targets take 0.4 to 0.9 of the others' time
    // (benchmark, standard days), so a target that is several times slower shows a ratio of about two.
    double maxLatencyRatio = 1.8;
    // Distance of the logarithms of the latencies, in standard errors, beyond which that ratio is not the work of a few outliers.
    double slownessStandardErrors = 2;
    // Ratio of the typical latencies (geometric means) above which a target that shares the load with the others may be too slow.
    double maxTypicalRatio = 1.2;
    // Completed requests of the others per route and model, and of the target in all, required to compare typical latencies.
    std::int64_t minResponsesOfOthers = 8;
    std::int64_t minTypicalResponses = 12;
    // Distance of that ratio from 1, in standard errors, beyond which the target gets no larger share, and beyond which it is bad.
    double holdStandardErrors = 1;
    double badStandardErrors = 3.5;
    // Differences in mean latency below this never make a release bad.
    Milliseconds minLatencyDifference { 30 };
    // Requests that the target must have completed or failed before a rollout completes, since completion is irreversible.
    // Lowered to minResponses once the fraction minResponsesWaivedFrom of the duration has passed.
    std::int64_t minResponsesToComplete = 40;
    double minResponsesWaivedFrom = 0.95;
};

// Result of comparing the target with the service's other releases.
struct ReleaseVerdict {
    bool isBad = false;
    // Why the target is bad, for the log; empty if it is not.
    std::string reason;
    // Requests that the target has completed or failed.
    std::int64_t finishedRequests = 0;
    // Ratio of the target's total latency to the latency expected from the others; 0 without enough completed requests of both.
    // Routes with long responses dominate it.
    double latencyRatio = 0;
    // Ratio of the geometric means, and its distance from 1 in standard errors; 0 without enough completed requests of both.
    double typicalRatio = 0;
    double standardErrors = 0;
    // The target seems slower, but that may still be chance.
    bool mayBeSlower = false;
};

// Compares failure rates and latencies of the target with those of the other releases. `baseline` is added to the counters of
// the other releases where these are too low for a comparison. Typical latencies, and those of one route and model alone, are
// compared only in a stage that divides the sessions between the releases, so that both were measured under the same load.
ReleaseVerdict judgeRelease(const RolloutOrder&, const ReleaseEvidence&, const ReleaseEvidence& baseline = {}, RolloutStage = RolloutStage::Canary, const RolloutSettings& = {});

// The part of the evidence that concerns the service's releases other than the target.
ReleaseEvidence baselineOf(const RolloutOrder&, const ReleaseEvidence&);

// The next stage, given the time since the start and the verdict. Stages only move forward, or to Reverted. A target that may be
// slower stays in its stage until more responses decide. When the order's duration has passed, a rollout in stage Full with
// enough responses is completed and any other is reverted. `oldReleaseIsIdle` is true when the old release has no running
// requests, or need not be waited for any longer.
RolloutStage nextStage(const RolloutOrder&, const RolloutRecord&, const ReleaseVerdict&, Milliseconds sinceStart, bool oldReleaseIsIdle, const RolloutSettings& = {});

}
