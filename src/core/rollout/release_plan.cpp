#include "core/rollout/release_plan.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    // Lowest variance assumed for the logarithms of latencies, so that a few equal latencies do not pass for certainty.
    constexpr double minLogVariance = 0.04;

    // Shares of sessions by stage. The canary share keeps the exposure to a bad release far below what operators allow.
    constexpr double stageShares[] = { 0.06, 0.4, 1, 1, 0 };

    struct CounterPair {
        ReleaseCounters target;
        ReleaseCounters others;
    };

    // Total latency of the target and the total expected from the others, over routes and models with enough completed requests
    // of both.
    struct LatencyRatio {
        double target = 0;
        double expected = 0;
        std::int64_t comparedResponses = 0;
        // The target's responses and abandoned requests.
        std::int64_t requests = 0;
        // Responses of which the logarithms of the latencies are known, their excess over the others' mean, and its variance.
        std::int64_t logCount = 0;
        double logExcess = 0;
        double logVariance = 0;
    };

    double failureRate(const ReleaseCounters& it)
    {
        auto n = it.done + it.failed;
        return n == 0 ? 0 : static_cast<double>(it.failed) / static_cast<double>(n);
    }

    // With abandoned requests, this is the maximum likelihood estimate of the mean from censored observations of an exponential
    // distribution: the total time divided by the number of completed requests.
    double meanLatency(const ReleaseCounters& it)
    {
        return it.done == 0 ? 0 : static_cast<double>(it.latency.count()) / static_cast<double>(it.done);
    }

    // The failures of the target, and those expected from the others, summed over routes and models: releases that get different
    // mixes of routes are compared route by route.
    struct FailureComparison {
        std::int64_t failed = 0;
        double finished = 0;
        // Failures of the target at the others' rates.
        double expected = 0;
        // Failures above those at the rates of both together, and the variance of that number if both had these rates.
        double excess = 0;
        double variance = 0;
    };

    void addFailures(FailureComparison& sum, const CounterPair& counters)
    {
        auto target = static_cast<double>(counters.target.done + counters.target.failed);
        auto others = static_cast<double>(counters.others.done + counters.others.failed);
        if (target == 0)
            return;
        sum.failed += counters.target.failed;
        sum.finished += target;
        sum.expected += target * failureRate(counters.others);
        auto rate = static_cast<double>(counters.target.failed + counters.others.failed) / (target + others);
        // Without requests of the others there is nothing to compare with, and each failure counts.
        sum.excess += static_cast<double>(counters.target.failed) - (others > 0 ? target * rate : 0);
        sum.variance += target * rate * (1 - rate) * others / (target + others);
    }

    bool hasMoreFailures(const FailureComparison& sum, const RolloutSettings& settings)
    {
        bool isHigher = sum.failed >= settings.minFailures && static_cast<double>(sum.failed) > sum.expected + settings.failureMargin * sum.finished;
        return isHigher && sum.excess > settings.failureStandardErrors * std::sqrt(sum.variance);
    }

    // Abandoned requests of the target that count in a comparison: at most as many as the others would have completed in the
    // target's time at the highest ratio that is not bad, so that callers who leave early count for little.
    std::int64_t comparedAbandoned(const CounterPair& counters, const RolloutSettings& settings)
    {
        auto slowestGoodLatency = meanLatency(counters.others) * settings.maxLatencyRatio;
        if (slowestGoodLatency == 0)
            return 0;
        return std::min(counters.target.abandoned, static_cast<std::int64_t>(static_cast<double>(counters.target.latency.count()) / slowestGoodLatency));
    }

    double logVarianceOf(const LogLatencies& it)
    {
        auto n = static_cast<double>(it.count);
        auto mean = it.sum / n;
        return std::max(minLogVariance, it.squareSum / n - mean * mean);
    }

    // Each release has its own variance here: a single outlier raises that of the target more than its mean.
    void addLogarithms(LatencyRatio& ratio, const CounterPair& counters)
    {
        const auto& target = counters.target.logLatencies;
        const auto& others = counters.others.logLatencies;
        ratio.requests = counters.target.done + counters.target.abandoned;
        if (target.count == 0 || others.count == 0)
            return;
        auto n = static_cast<double>(target.count);
        auto othersCount = static_cast<double>(others.count);
        ratio.logCount = target.count;
        ratio.logExcess = target.sum - n * others.sum / othersCount;
        ratio.logVariance = logVarianceOf(target) * n + logVarianceOf(others) * n * n / othersCount;
    }

    // The latencies of one route and model; empty without enough requests of both.
    LatencyRatio compareLatencies(const CounterPair& counters, const RolloutSettings& settings)
    {
        auto compared = counters.target.done + comparedAbandoned(counters, settings);
        if (compared < settings.minResponsesPerRouteAndModel || counters.others.done < settings.minResponsesPerRouteAndModel)
            return {};
        LatencyRatio ratio { static_cast<double>(counters.target.latency.count()), meanLatency(counters.others) * static_cast<double>(counters.target.done), compared };
        addLogarithms(ratio, counters);
        return ratio;
    }

    void add(LatencyRatio& sum, const LatencyRatio& it)
    {
        sum.target += it.target;
        sum.expected += it.expected;
        sum.comparedResponses += it.comparedResponses;
        sum.requests += it.requests;
        sum.logCount += it.logCount;
        sum.logExcess += it.logExcess;
        sum.logVariance += it.logVariance;
    }

    // Whether one or two slow responses among the target's may explain a high mean. Unknown, and so no objection, if responses are
    // of instances that send no logarithms, or if callers left: the slow ones are then missing among the logarithms.
    bool mayBeOutliers(const LatencyRatio& ratio, const RolloutSettings& settings)
    {
        return ratio.logCount * 10 >= ratio.requests * 9 && ratio.logExcess <= settings.slownessStandardErrors * std::sqrt(ratio.logVariance);
    }

    bool isSlower(const LatencyRatio& ratio, std::int64_t minComparedResponses, const RolloutSettings& settings)
    {
        auto margin = static_cast<double>(settings.minLatencyDifference.count() * ratio.comparedResponses);
        bool isHigher = ratio.comparedResponses >= minComparedResponses && ratio.target > ratio.expected * settings.maxLatencyRatio && ratio.target > ratio.expected + margin;
        return isHigher && !mayBeOutliers(ratio, settings);
    }

    // Sums over routes and models, each weighted by the target's responses.
    struct TypicalLatencies {
        double logRatio = 0;
        double variance = 0;
        std::int64_t comparedResponses = 0;
    };

    void addTypical(TypicalLatencies& sum, const CounterPair& counters, const RolloutSettings& settings)
    {
        const auto& target = counters.target.logLatencies;
        const auto& others = counters.others.logLatencies;
        if (target.count == 0 || others.count < settings.minResponsesOfOthers)
            return;
        auto n = static_cast<double>(target.count);
        auto othersCount = static_cast<double>(others.count);
        // Few responses of the target may show too little variance, and an outlier among them shows only there.
        sum.logRatio += target.sum - n * others.sum / othersCount;
        sum.variance += std::max(logVarianceOf(target), logVarianceOf(others)) * (n + n * n / othersCount);
        sum.comparedResponses += target.count;
    }

    void compareTypical(ReleaseVerdict& verdict, const TypicalLatencies& sum, const RolloutSettings& settings)
    {
        if (sum.comparedResponses < settings.minTypicalResponses)
            return;
        verdict.typicalRatio = std::exp(sum.logRatio / static_cast<double>(sum.comparedResponses));
        verdict.standardErrors = sum.logRatio / std::sqrt(sum.variance);
        if (verdict.typicalRatio <= settings.maxTypicalRatio)
            return;
        verdict.mayBeSlower = verdict.standardErrors > settings.holdStandardErrors;
        if (verdict.reason.empty() && verdict.standardErrors > settings.badStandardErrors)
            verdict.reason = absl::StrCat("typical latency ", verdict.typicalRatio, " times that of the other releases over ", sum.comparedResponses, " answers, ", verdict.standardErrors, " standard errors above it");
    }

    std::string slowReason(const LatencyRatio& ratio)
    {
        return absl::StrCat("latency ", ratio.target, " ms over ", ratio.comparedResponses, " answers; expected ms from the other releases: ", ratio.expected);
    }

    bool mayComplete(const ReleaseVerdict& verdict, double elapsedFraction, bool oldReleaseIsIdle, const RolloutSettings& settings)
    {
        bool hasEnoughResponses = verdict.finishedRequests >= settings.minResponsesToComplete || elapsedFraction >= settings.minResponsesWaivedFrom;
        return elapsedFraction >= settings.completedStart && oldReleaseIsIdle && hasEnoughResponses;
    }

    using RouteModel = std::pair<std::string, ModelId>;

    std::map<RouteModel, CounterPair> countersByRouteAndModel(const RolloutOrder& order, const ReleaseEvidence& evidence)
    {
        std::map<RouteModel, CounterPair> counters;
        for (const auto& [key, it] : evidence) {
            if (key.service != order.service)
                continue;
            auto& route = counters[{ key.route, key.model }];
            add(key.release == order.target ? route.target : route.others, it);
        }
        return counters;
    }

}

double sessionShareOf(RolloutStage stage)
{
    return stageShares[static_cast<int>(stage)];
}

ReleaseVerdict judgeRelease(const RolloutOrder& order, const ReleaseEvidence& evidence, const ReleaseEvidence& baseline, RolloutStage stage, const RolloutSettings& settings)
{
    auto routes = countersByRouteAndModel(order, evidence);
    auto baselineCounters = countersByRouteAndModel(order, baseline);
    CounterPair all;
    LatencyRatio ratio;
    TypicalLatencies typical;
    FailureComparison failures;
    ReleaseVerdict verdict;
    bool isLoadDivided = stage == RolloutStage::Canary || stage == RolloutStage::Half;
    for (auto& [key, it] : routes) {
        if (it.others.done < settings.minResponsesPerRouteAndModel)
            add(it.others, baselineCounters[key].others);
        add(all.target, it.target);
        add(all.others, it.others);
        auto routeRatio = compareLatencies(it, settings);
        add(ratio, routeRatio);
        addTypical(typical, it, settings);
        if (isLoadDivided && isSlower(routeRatio, settings.minComparedResponsesOfOne, settings))
            verdict.reason = absl::StrCat("route ", key.first, ": ", slowReason(routeRatio));
        FailureComparison routeFailures;
        addFailures(routeFailures, it);
        addFailures(failures, it);
        if (hasMoreFailures(routeFailures, settings))
            verdict.reason = absl::StrCat("route ", key.first, ": failed ", it.target.failed, " of ", it.target.done + it.target.failed);
    }
    verdict.latencyRatio = ratio.expected > 0 ? ratio.target / ratio.expected : 0;
    verdict.finishedRequests = all.target.done + all.target.failed;
    if (hasMoreFailures(failures, settings))
        verdict.reason = absl::StrCat("failed ", all.target.failed, " of ", verdict.finishedRequests, "; other releases failed ", all.others.failed, " of ", all.others.done + all.others.failed);
    else if (isSlower(ratio, settings.minComparedResponses, settings))
        verdict.reason = slowReason(ratio);
    if (isLoadDivided)
        compareTypical(verdict, typical, settings);
    verdict.isBad = !verdict.reason.empty();
    return verdict;
}

ReleaseEvidence baselineOf(const RolloutOrder& order, const ReleaseEvidence& evidence)
{
    ReleaseEvidence baseline;
    for (const auto& [key, it] : evidence) {
        if (key.service == order.service && key.release != order.target)
            baseline[key] = it;
    }
    return baseline;
}

RolloutStage nextStage(const RolloutOrder& order, const RolloutRecord& record, const ReleaseVerdict& verdict, Milliseconds sinceStart, bool oldReleaseIsIdle, const RolloutSettings& settings)
{
    if (isFinal(record.stage))
        return record.stage;
    if (verdict.isBad)
        return RolloutStage::Reverted;
    bool hasResponses = verdict.finishedRequests >= settings.minResponses;
    auto elapsedFraction = static_cast<double>(sinceStart.count()) / static_cast<double>(std::max<std::int64_t>(1, order.duration.count()));
    if (elapsedFraction >= 1)
        return record.stage == RolloutStage::Full && hasResponses ? RolloutStage::Completed : RolloutStage::Reverted;
    if (record.stage == RolloutStage::Full)
        return hasResponses && mayComplete(verdict, elapsedFraction, oldReleaseIsIdle, settings) ? RolloutStage::Completed : RolloutStage::Full;
    if (!hasResponses || verdict.mayBeSlower)
        return record.stage;
    if (record.stage == RolloutStage::Half)
        return elapsedFraction >= settings.fullStart ? RolloutStage::Full : RolloutStage::Half;
    return elapsedFraction >= settings.halfStart ? RolloutStage::Half : RolloutStage::Canary;
}

}
