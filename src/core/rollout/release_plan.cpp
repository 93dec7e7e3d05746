#include "core/rollout/release_plan.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // Shares of sessions by stage; the canary's keeps a bad release far below the exposure that operators allow.
    constexpr double stageShares[] = { 0.06, 0.4, 1, 1, 0 };

    struct Sides {
        ReleaseCounters target;
        ReleaseCounters others;
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

    bool isSlower(const Sides& sides, const RolloutSettings& settings)
    {
        bool enough = sides.target.done >= settings.leastTimed && sides.others.done >= settings.leastTimed;
        auto target = meanLatency(sides.target), others = meanLatency(sides.others);
        return enough && target > others * settings.slowRatio && target > others + static_cast<double>(settings.slowMargin.count());
    }

}

double shareOf(RolloutStage stage)
{
    return stageShares[static_cast<int>(stage)];
}

ReleaseVerdict judgeRelease(const RolloutOrder& order, const ReleaseEvidence& evidence, const RolloutSettings& settings)
{
    std::map<std::string, Sides> routes;
    Sides all;
    for (const auto& [key, it] : evidence) {
        if (key.service != order.service)
            continue;
        auto& route = routes[key.route];
        add(key.release == order.target ? route.target : route.others, it);
        add(key.release == order.target ? all.target : all.others, it);
    }
    ReleaseVerdict verdict { .answers = all.target.done + all.target.failed };
    if (failsMore(all, settings))
        verdict.reason = absl::StrCat("failed ", all.target.failed, " of ", verdict.answers, ", others ", all.others.failed, " of ", all.others.done + all.others.failed);
    for (const auto& [name, it] : routes) {
        if (failsMore(it, settings))
            verdict.reason = absl::StrCat("route ", name, ": failed ", it.target.failed, " of ", it.target.done + it.target.failed);
        else if (isSlower(it, settings))
            verdict.reason = absl::StrCat("route ", name, ": mean latency ", meanLatency(it.target), " ms, others ", meanLatency(it.others), " ms");
    }
    verdict.isBad = !verdict.reason.empty();
    return verdict;
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
        return part >= settings.completedFrom && oldIsIdle ? RolloutStage::Completed : RolloutStage::Full;
    if (verdict.answers < settings.leastAnswers)
        return record.stage;
    if (record.stage == RolloutStage::Half)
        return part >= settings.fullFrom ? RolloutStage::Full : RolloutStage::Half;
    return part >= settings.halfFrom ? RolloutStage::Half : RolloutStage::Canary;
}

}
