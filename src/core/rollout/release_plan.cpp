#include "core/rollout/release_plan.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    // Shares of sessions by stage. The canary share keeps the exposure to a bad release far below what operators allow.
    constexpr double stageShares[] = { 0.06, 0.4, 1, 1, 0 };
    constexpr const char* stageNames[] = { "canary", "half", "full", "completed", "reverted" };

    struct Sides {
        ReleaseCounters target;
        ReleaseCounters others;
    };

    // Total latency of the target and the total expected from the others, over routes and models with enough answers of both.
    struct LatencyRatio {
        double target = 0;
        double expected = 0;
        std::int64_t answers = 0;
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

    bool failsMore(const Sides& sides, const RolloutSettings& settings)
    {
        return sides.target.failed >= settings.leastFailures && failureRate(sides.target) > failureRate(sides.others) + settings.failureMargin;
    }

    void compare(LatencyRatio& sum, const Sides& sides, const RolloutSettings& settings)
    {
        if (sides.target.done < settings.leastTimed || sides.others.done < settings.leastTimed)
            return;
        sum.target += static_cast<double>(sides.target.latency.count());
        sum.expected += meanLatency(sides.others) * static_cast<double>(sides.target.done);
        sum.answers += sides.target.done;
    }

    bool isSlower(const LatencyRatio& ratio, const RolloutSettings& settings)
    {
        auto margin = static_cast<double>(settings.slowMargin.count() * ratio.answers);
        return ratio.answers >= settings.leastTimedTogether && ratio.target > ratio.expected * settings.slowRatio && ratio.target > ratio.expected + margin;
    }

    bool mayComplete(const ReleaseVerdict& verdict, double part, bool oldIsIdle, const RolloutSettings& settings)
    {
        bool isKnown = verdict.answers >= settings.leastToComplete || part >= settings.lastPartFrom;
        return part >= settings.completedFrom && oldIsIdle && isKnown;
    }

    using RouteModel = std::pair<std::string, ModelId>;

    std::map<RouteModel, Sides> sidesOf(const RolloutOrder& order, const ReleaseEvidence& evidence)
    {
        std::map<RouteModel, Sides> sides;
        for (const auto& [key, it] : evidence) {
            if (key.service != order.service)
                continue;
            auto& route = sides[{ key.route, key.model }];
            add(key.release == order.target ? route.target : route.others, it);
        }
        return sides;
    }

}

const char* stageName(RolloutStage stage)
{
    return stageNames[static_cast<int>(stage)];
}

std::optional<RolloutStage> stageOfName(std::string_view name)
{
    const auto* it = std::find(std::begin(stageNames), std::end(stageNames), name);
    return it == std::end(stageNames) ? std::nullopt : std::optional(static_cast<RolloutStage>(it - std::begin(stageNames)));
}

double shareOf(RolloutStage stage)
{
    return stageShares[static_cast<int>(stage)];
}

ReleaseVerdict judgeRelease(const RolloutOrder& order, const ReleaseEvidence& evidence, const ReleaseEvidence& baseline, const RolloutSettings& settings)
{
    auto routes = sidesOf(order, evidence);
    auto before = sidesOf(order, baseline);
    Sides all;
    LatencyRatio ratio;
    ReleaseVerdict verdict;
    for (auto& [key, it] : routes) {
        if (it.others.done < settings.leastTimed)
            add(it.others, before[key].others);
        add(all.target, it.target);
        add(all.others, it.others);
        compare(ratio, it, settings);
        if (failsMore(it, settings))
            verdict.reason = absl::StrCat("route ", key.first, ": failed ", it.target.failed, " of ", it.target.done + it.target.failed);
    }
    verdict.slowness = ratio.expected > 0 ? ratio.target / ratio.expected : 0;
    verdict.answers = all.target.done + all.target.failed;
    if (failsMore(all, settings))
        verdict.reason = absl::StrCat("failed ", all.target.failed, " of ", verdict.answers, "; other releases failed ", all.others.failed, " of ", all.others.done + all.others.failed);
    else if (isSlower(ratio, settings))
        verdict.reason = absl::StrCat("latency ", ratio.target, " ms over ", ratio.answers, " answers; expected ms from the other releases: ", ratio.expected);
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

RolloutStage nextStage(const RolloutOrder& order, const RolloutRecord& record, const ReleaseVerdict& verdict, Milliseconds sinceStart, bool oldIsIdle, const RolloutSettings& settings)
{
    if (isFinal(record.stage))
        return record.stage;
    if (verdict.isBad)
        return RolloutStage::Reverted;
    auto part = static_cast<double>(sinceStart.count()) / static_cast<double>(std::max<std::int64_t>(1, order.duration.count()));
    if (part >= 1)
        return record.stage == RolloutStage::Full ? RolloutStage::Completed : RolloutStage::Reverted;
    if (record.stage == RolloutStage::Full)
        return mayComplete(verdict, part, oldIsIdle, settings) ? RolloutStage::Completed : RolloutStage::Full;
    if (verdict.answers < settings.leastAnswers)
        return record.stage;
    if (record.stage == RolloutStage::Half)
        return part >= settings.fullFrom ? RolloutStage::Full : RolloutStage::Half;
    return part >= settings.halfFrom ? RolloutStage::Half : RolloutStage::Canary;
}

}
