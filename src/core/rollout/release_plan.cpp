#include "core/rollout/release_plan.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    // Shares of sessions by stage. The canary share keeps the exposure to a bad release far below what operators allow.
    constexpr double stageShares[] = { 0.06, 0.4, 1, 1, 0 };
    constexpr const char* stageNames[] = { "canary", "half", "full", "completed", "reverted" };

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
    };

    void add(ReleaseCounters& sum, const ReleaseCounters& it)
    {
        sum.done += it.done;
        sum.failed += it.failed;
        sum.latency += it.latency;
    }

    double failureRate(const ReleaseCounters& it)
    {
        auto n = it.done + it.failed;
        return n == 0 ? 0 : static_cast<double>(it.failed) / static_cast<double>(n);
    }

    double meanLatency(const ReleaseCounters& it)
    {
        return it.done == 0 ? 0 : static_cast<double>(it.latency.count()) / static_cast<double>(it.done);
    }

    bool hasHigherFailureRate(const CounterPair& counters, const RolloutSettings& settings)
    {
        return counters.target.failed >= settings.minFailures && failureRate(counters.target) > failureRate(counters.others) + settings.failureMargin;
    }

    // The latencies of one route and model; empty without enough completed requests of both.
    LatencyRatio compareLatencies(const CounterPair& counters, const RolloutSettings& settings)
    {
        if (counters.target.done < settings.minResponsesPerRouteAndModel || counters.others.done < settings.minResponsesPerRouteAndModel)
            return {};
        return { static_cast<double>(counters.target.latency.count()), meanLatency(counters.others) * static_cast<double>(counters.target.done), counters.target.done };
    }

    void add(LatencyRatio& sum, const LatencyRatio& it)
    {
        sum.target += it.target;
        sum.expected += it.expected;
        sum.comparedResponses += it.comparedResponses;
    }

    bool isSlower(const LatencyRatio& ratio, std::int64_t minComparedResponses, const RolloutSettings& settings)
    {
        auto margin = static_cast<double>(settings.minLatencyDifference.count() * ratio.comparedResponses);
        return ratio.comparedResponses >= minComparedResponses && ratio.target > ratio.expected * settings.maxLatencyRatio && ratio.target > ratio.expected + margin;
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

const char* stageName(RolloutStage stage)
{
    return stageNames[static_cast<int>(stage)];
}

std::optional<RolloutStage> parseStageName(std::string_view name)
{
    const auto* it = std::find(std::begin(stageNames), std::end(stageNames), name);
    return it == std::end(stageNames) ? std::nullopt : std::optional(static_cast<RolloutStage>(it - std::begin(stageNames)));
}

double sessionShareOf(RolloutStage stage)
{
    return stageShares[static_cast<int>(stage)];
}

ReleaseVerdict judgeRelease(const RolloutOrder& order, const ReleaseEvidence& evidence, const ReleaseEvidence& baseline, const RolloutSettings& settings)
{
    auto routes = countersByRouteAndModel(order, evidence);
    auto baselineCounters = countersByRouteAndModel(order, baseline);
    CounterPair all;
    LatencyRatio ratio;
    ReleaseVerdict verdict;
    for (auto& [key, it] : routes) {
        if (it.others.done < settings.minResponsesPerRouteAndModel)
            add(it.others, baselineCounters[key].others);
        add(all.target, it.target);
        add(all.others, it.others);
        auto routeRatio = compareLatencies(it, settings);
        add(ratio, routeRatio);
        if (isSlower(routeRatio, settings.minComparedResponsesOfOne, settings))
            verdict.reason = absl::StrCat("route ", key.first, ": ", slowReason(routeRatio));
        if (hasHigherFailureRate(it, settings))
            verdict.reason = absl::StrCat("route ", key.first, ": failed ", it.target.failed, " of ", it.target.done + it.target.failed);
    }
    verdict.latencyRatio = ratio.expected > 0 ? ratio.target / ratio.expected : 0;
    verdict.finishedRequests = all.target.done + all.target.failed;
    if (hasHigherFailureRate(all, settings))
        verdict.reason = absl::StrCat("failed ", all.target.failed, " of ", verdict.finishedRequests, "; other releases failed ", all.others.failed, " of ", all.others.done + all.others.failed);
    else if (isSlower(ratio, settings.minComparedResponses, settings))
        verdict.reason = slowReason(ratio);
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
    auto elapsedFraction = static_cast<double>(sinceStart.count()) / static_cast<double>(std::max<std::int64_t>(1, order.duration.count()));
    if (elapsedFraction >= 1)
        return record.stage == RolloutStage::Full ? RolloutStage::Completed : RolloutStage::Reverted;
    if (record.stage == RolloutStage::Full)
        return mayComplete(verdict, elapsedFraction, oldReleaseIsIdle, settings) ? RolloutStage::Completed : RolloutStage::Full;
    if (verdict.finishedRequests < settings.minResponses)
        return record.stage;
    if (record.stage == RolloutStage::Half)
        return elapsedFraction >= settings.fullStart ? RolloutStage::Full : RolloutStage::Half;
    return elapsedFraction >= settings.halfStart ? RolloutStage::Half : RolloutStage::Canary;
}

}
