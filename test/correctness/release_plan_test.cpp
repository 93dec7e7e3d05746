// Tests the decisions of a rollout, which depend only on counters and elapsed time.

#include "core/rollout/broken_responses.h"
#include "core/rollout/release_plan.h"
#include "core/rollout/session_releases.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

const ServiceId service { "assist" };
const RolloutOrder order { service, "v2", 24000ms, 7 };

ReleaseRoute releaseRoute(const std::string& release, const std::string& route = "cards", const std::string& model = "small")
{
    return { service, release, route, { model } };
}

// Counters of n responses, which take the given times in turn.
ReleaseCounters responses(int n, const std::vector<Milliseconds>& latencies)
{
    ReleaseCounters counters;
    for (int i = 0; i < n; ++i)
        addSuccess(counters, latencies[static_cast<std::size_t>(i) % latencies.size()]);
    return counters;
}

RolloutRecord inStage(RolloutStage stage) { return { order.revision, order.target, stage, {}, {} }; }

}

TEST_CASE("a release is judged in comparison with the one that it replaces")
{
    ReleaseEvidence evidence { { releaseRoute("v1"), { 200, 1, 12000ms } } };
    SECTION("a release as good as the old one passes")
    {
        evidence[releaseRoute("v2")] = { 20, 0, 1200ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("two failures are not sufficient evidence")
    {
        evidence[releaseRoute("v2")] = { 3, 2, 180ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("three failures out of six are sufficient evidence")
    {
        evidence[releaseRoute("v2")] = { 3, 3, 180ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("equal failure rates of both releases, as under overload, are not evidence against the new one")
    {
        evidence[releaseRoute("v1")] = { 100, 100, 6000ms };
        evidence[releaseRoute("v2")] = { 10, 10, 600ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    // Guards against a good release that is reverted by the luck of a dozen requests on a route where either release fails a quarter.
    SECTION("a higher failure rate that chance explains is not evidence")
    {
        evidence[releaseRoute("v1", "tags")] = { 75, 25, 4500ms };
        evidence[releaseRoute("v2", "tags")] = { 6, 6, 360ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
        SECTION("and with more requests it is")
        {
            evidence[releaseRoute("v2", "tags")] = { 40, 40, 2400ms };
            CHECK(judgeRelease(order, evidence).isBad);
        }
    }
    SECTION("failures on one route are detected among many successes on others")
    {
        evidence[releaseRoute("v2")] = { 100, 0, 6000ms };
        evidence[releaseRoute("v1", "tags")] = { 100, 0, 6000ms };
        evidence[releaseRoute("v2", "tags")] = { 4, 4, 240ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("a release several times slower is bad")
    {
        evidence[releaseRoute("v2")] = { 10, 0, 10 * 400ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("a release that takes twice as long on lightly loaded engines is bad")
    {
        evidence[releaseRoute("v2")] = { 10, 0, 10 * 130ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("a slightly slower release is not bad")
    {
        evidence[releaseRoute("v2")] = { 10, 0, 10 * 85ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("latencies of different models are not compared")
    {
        evidence[releaseRoute("v2", "cards", "large")] = { 10, 0, 10 * 400ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("small samples of several routes are combined")
    {
        evidence[releaseRoute("v1", "tags")] = { 100, 0, 6000ms };
        evidence[releaseRoute("v2")] = { 4, 0, 4 * 400ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
        evidence[releaseRoute("v2", "tags")] = { 4, 0, 4 * 400ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("failures of another service are ignored")
    {
        evidence[{ { "orders" }, "v2", "cards", { "small" } }] = { 0, 50, 0ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
}

// Guards against a release that never fails and is slow being completed.
TEST_CASE("a slow release that never fails is bad, however its slowness is spread")
{
    constexpr auto oldLatency = 60ms;
    constexpr auto slowLatency = 8 * oldLatency;
    ReleaseEvidence evidence { { releaseRoute("v1"), { 400, 0, 400 * oldLatency } }, { releaseRoute("v1", "drafts"), { 100, 0, 100 * 2000ms } } };
    SECTION("slow on every route")
    {
        evidence[releaseRoute("v2")] = { 20, 0, 20 * slowLatency };
        evidence[releaseRoute("v2", "drafts")] = { 5, 0, 5 * 16000ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("slow for half of the responses")
    {
        evidence[releaseRoute("v2")] = { 20, 0, 10 * oldLatency + 10 * slowLatency };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("slow for half of the responses, while idle engines halve the time of the others")
    {
        evidence[releaseRoute("v2")] = { 20, 0, 10 * oldLatency / 2 + 10 * slowLatency / 2 };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("slow on the route with the short responses, among long responses on another route")
    {
        evidence[releaseRoute("v2")] = { 40, 0, 40 * slowLatency };
        evidence[releaseRoute("v2", "drafts")] = { 20, 0, 20 * 1500ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("slow on the route with the long responses")
    {
        evidence[releaseRoute("v2")] = { 40, 0, 40 * oldLatency };
        evidence[releaseRoute("v2", "drafts")] = { 8, 0, 8 * 16000ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    // A good release was reverted after it had got all sessions, when instances were killed.
    SECTION("slow on one route once the target carries all load, as after kills, is not sufficient evidence")
    {
        evidence[releaseRoute("v2")] = { 40, 0, 40 * slowLatency };
        evidence[releaseRoute("v2", "drafts")] = { 20, 0, 20 * 1500ms };
        CHECK_FALSE(judgeRelease(order, evidence, {}, RolloutStage::Full).isBad);
    }
    SECTION("a few slow responses on one route are not sufficient evidence")
    {
        evidence[releaseRoute("v2")] = { 6, 0, 6 * slowLatency };
        evidence[releaseRoute("v2", "drafts")] = { 20, 0, 20 * 1500ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("latencies of both releases that rise together are not evidence against the new one")
    {
        evidence[releaseRoute("v1")] = { 400, 0, 400 * slowLatency };
        evidence[releaseRoute("v2")] = { 40, 0, 40 * slowLatency };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
}

// Guards against a good release that is reverted for one response that a pause of its machine held up.
TEST_CASE("a few late responses among quick ones are not evidence against a release")
{
    ReleaseEvidence evidence { { releaseRoute("v1"), responses(400, { 1ms, 2ms, 3ms, 2ms }) } };
    SECTION("one of fourteen")
    {
        auto target = responses(13, { 1ms, 2ms, 3ms });
        addSuccess(target, 500ms);
        evidence[releaseRoute("v2")] = target;
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
        SECTION("even if callers of others left early")
        {
            addAbandoned(evidence[releaseRoute("v2")], 1ms);
            CHECK_FALSE(judgeRelease(order, evidence).isBad);
        }
    }
    SECTION("one of each of two routes")
    {
        evidence[releaseRoute("v1", "tags")] = responses(400, { 4ms, 6ms });
        for (const auto* route : { "cards", "tags" }) {
            auto target = responses(7, { 2ms, 4ms });
            addSuccess(target, 400ms);
            evidence[releaseRoute("v2", route)] = target;
        }
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("but half of them are, also of few")
    {
        evidence[releaseRoute("v2")] = responses(8, { 2ms, 500ms });
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("and so are those whose callers left")
    {
        auto target = responses(20, { 1ms, 2ms, 3ms });
        for (int n = 0; n < 10; ++n)
            addAbandoned(target, 500ms);
        evidence[releaseRoute("v2")] = target;
        CHECK(judgeRelease(order, evidence).isBad);
        SECTION("also if the others take less than a millisecond")
        {
            evidence[releaseRoute("v1")] = responses(10, { 0ms });
            CHECK(judgeRelease(order, evidence).isBad);
        }
    }
    SECTION("and a quarter of twenty-four")
    {
        evidence[releaseRoute("v2")] = responses(24, { 1ms, 2ms, 3ms, 500ms });
        CHECK(judgeRelease(order, evidence).isBad);
    }
}

// Guards against a slow release being given all sessions: responses of the old release vary so widely under load that the mean
// latency of a slow one on idle engines is hardly above it.
TEST_CASE("a slow release is found by its typical latency although the mean hides it")
{
    const std::vector<Milliseconds> underLoad { 45ms, 50ms, 50ms, 55ms, 60ms, 70ms, 80ms, 100ms, 200ms, 900ms };
    const std::vector<Milliseconds> slow { 120ms, 180ms };
    ReleaseEvidence evidence { { releaseRoute("v1"), responses(400, underLoad) } };
    auto judged = [&](const ReleaseCounters& target, RolloutStage stage = RolloutStage::Canary) {
        evidence[releaseRoute("v2")] = target;
        return judgeRelease(order, evidence, {}, stage);
    };
    auto next = [&](const ReleaseVerdict& verdict, Milliseconds sinceStart) { return nextStage(order, inStage(RolloutStage::Canary), verdict, sinceStart, false); };
    SECTION("with enough responses it is bad")
    {
        auto verdict = judged(responses(60, slow));
        CHECK(verdict.latencyRatio < 1);
        CHECK(verdict.isBad);
    }
    SECTION("with few responses it stays in its stage, and is reverted at the end")
    {
        auto verdict = judged(responses(12, slow));
        CHECK_FALSE(verdict.isBad);
        CHECK(next(verdict, 13000ms) == RolloutStage::Canary);
        CHECK(next(verdict, 23000ms) == RolloutStage::Canary);
        CHECK(next(verdict, 24000ms) == RolloutStage::Reverted);
    }
    SECTION("a release like the old one advances")
    {
        for (auto n : { 12, 40, 400 }) {
            auto verdict = judged(responses(n, underLoad));
            CHECK_FALSE(verdict.isBad);
            CHECK(next(verdict, 13000ms) == RolloutStage::Half);
        }
    }
    SECTION("a slightly slower release advances")
    {
        std::vector<Milliseconds> slightlySlower;
        for (auto it : underLoad)
            slightlySlower.push_back(it * 11 / 10);
        CHECK(next(judged(responses(400, slightlySlower)), 13000ms) == RolloutStage::Half);
    }
    SECTION("latencies of both releases that rise together are not evidence against the new one")
    {
        evidence[releaseRoute("v1")] = responses(400, slow);
        CHECK(next(judged(responses(60, slow)), 13000ms) == RolloutStage::Half);
    }
    SECTION("latencies that rise once the target carries all load are not evidence against it")
    {
        CHECK_FALSE(judged(responses(60, slow), RolloutStage::Full).isBad);
    }
    SECTION("counters of instances that do not send logarithms are not compared")
    {
        evidence[releaseRoute("v1")].logLatencies = {};
        CHECK(next(judged(responses(60, slow)), 13000ms) == RolloutStage::Half);
    }
}

// Guards against a slow release being completed because callers leave before its slow responses, so that only the fast ones
// are counted.
TEST_CASE("requests whose callers left before the response are evidence of latency")
{
    ReleaseEvidence evidence { { releaseRoute("v1"), { 400, 0, 400 * 60ms } } };
    SECTION("all callers of the target left")
    {
        evidence[releaseRoute("v2")] = { 0, 0, 20 * 500ms, {}, 20 };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("the callers of half of the responses left")
    {
        evidence[releaseRoute("v2")] = { 10, 0, 10 * 60ms + 10 * 500ms, {}, 10 };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("callers that left early are not evidence against the target")
    {
        evidence[releaseRoute("v2")] = { 0, 0, 20 * 10ms, {}, 20 };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("callers that leave both releases alike are not evidence against the target")
    {
        evidence[releaseRoute("v1")] = { 200, 0, 200 * 60ms + 200 * 500ms, {}, 200 };
        evidence[releaseRoute("v2")] = { 10, 0, 10 * 60ms + 10 * 500ms, {}, 10 };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
}

// If all instances restart in the second half of a rollout, the counters of the old release are lost. Without the stored
// baseline a slow target then has nothing to be compared with and is completed.
TEST_CASE("a slow release is detected with the stored baseline after all counters were lost")
{
    ReleaseEvidence before { { releaseRoute("v1"), { 200, 1, 12000ms } }, { releaseRoute("v2"), { 9, 0, 540ms } } };
    auto baseline = baselineOf(order, before);
    REQUIRE(baseline.size() == 1);
    ReleaseEvidence afterRestart { { releaseRoute("v2"), { 12, 0, 12 * 500ms } } };
    CHECK_FALSE(judgeRelease(order, afterRestart).isBad);
    CHECK(judgeRelease(order, afterRestart, baseline).isBad);
}

TEST_CASE("stages advance with time and evidence")
{
    ReleaseVerdict good { false, "", 60 };
    ReleaseVerdict bad { true, "failed", 60 };
    ReleaseVerdict unknown { false, "", 3 };
    SECTION("the canary stage takes the first half of the duration")
    {
        CHECK(nextStage(order, inStage(RolloutStage::Canary), good, 11900ms, false) == RolloutStage::Canary);
        CHECK(nextStage(order, inStage(RolloutStage::Canary), good, 12600ms, false) == RolloutStage::Half);
    }
    SECTION("without enough responses the stage does not advance, and at the end the roll-out is reverted")
    {
        CHECK(nextStage(order, inStage(RolloutStage::Canary), unknown, 20000ms, false) == RolloutStage::Canary);
        CHECK(nextStage(order, inStage(RolloutStage::Canary), unknown, 24000ms, false) == RolloutStage::Reverted);
    }
    SECTION("a bad release is reverted in every stage that is not final")
    {
        for (auto stage : { RolloutStage::Canary, RolloutStage::Half, RolloutStage::Full })
            CHECK(nextStage(order, inStage(stage), bad, 15000ms, false) == RolloutStage::Reverted);
        CHECK(nextStage(order, inStage(RolloutStage::Completed), bad, 15000ms, false) == RolloutStage::Completed);
    }
    SECTION("it completes before the duration is over once the old release is idle")
    {
        CHECK(nextStage(order, inStage(RolloutStage::Full), good, 19500ms, false) == RolloutStage::Full);
        CHECK(nextStage(order, inStage(RolloutStage::Full), good, 19500ms, true) == RolloutStage::Completed);
    }
    // After a restart of all instances in the last stage, one instance completed a slow release 1.3 s later on 20 responses,
    // while the others had just judged it bad.
    SECTION("few responses, as after a restart, do not complete it until the duration is nearly over")
    {
        ReleaseVerdict fewResponses { false, "", 20 };
        CHECK(nextStage(order, inStage(RolloutStage::Full), fewResponses, 19500ms, true) == RolloutStage::Full);
        CHECK(nextStage(order, inStage(RolloutStage::Full), fewResponses, 23000ms, true) == RolloutStage::Completed);
    }
    // Guards against completing a release of which nothing is known any more, after a restart of all instances near the end.
    SECTION("a roll-out to all sessions without responses since a restart is held, and reverted at the end")
    {
        CHECK(nextStage(order, inStage(RolloutStage::Full), unknown, 23000ms, true) == RolloutStage::Full);
        CHECK(nextStage(order, inStage(RolloutStage::Full), unknown, 24000ms, true) == RolloutStage::Reverted);
    }
    SECTION("session shares grow with the stage and are zero after a revert")
    {
        CHECK(sessionShareOf(RolloutStage::Canary) < sessionShareOf(RolloutStage::Half));
        CHECK(sessionShareOf(RolloutStage::Half) < sessionShareOf(RolloutStage::Full));
        CHECK(sessionShareOf(RolloutStage::Reverted) == 0);
    }
}

TEST_CASE("an active session keeps its release, whichever instance served it")
{
    SessionReleases sessions(5000ms);
    TimePoint start { 100s };
    sessions.recordServed(1, "v1", start);
    sessions.learn({ { 2, "v2", 1000ms } }, start);
    SECTION("the release is known until the session times out")
    {
        REQUIRE(sessions.releaseOf(1, start + 4s));
        CHECK(*sessions.releaseOf(1, start + 4s) == "v1");
        CHECK(*sessions.releaseOf(2, start + 3s) == "v2");
    }
    SECTION("the release is unknown after the timeout")
    {
        CHECK_FALSE(sessions.releaseOf(1, start + 6s));
        CHECK_FALSE(sessions.releaseOf(2, start + 4500ms));
    }
    SECTION("a later request at another instance replaces the release, an older one does not")
    {
        sessions.learn({ { 1, "v2", 2000ms } }, start + 1s);
        CHECK(*sessions.releaseOf(1, start + 1s) == "v1");
        sessions.learn({ { 1, "v2", 100ms } }, start + 2s);
        CHECK(*sessions.releaseOf(1, start + 2s) == "v2");
    }
    SECTION("only sessions served by this instance are reported to peers")
    {
        auto own = sessions.own(start + 1s);
        REQUIRE(own.size() == 1);
        CHECK(own[0].session == 1);
        CHECK(own[0].age == 1000ms);
    }
    SECTION("in a large site those that others served are passed on, the most recent ones first")
    {
        CHECK(sessions.all(start + 1s, 10).size() == 2);
        auto newest = sessions.all(start + 1s, 1);
        REQUIRE(newest.size() == 1);
        CHECK(newest[0].session == 1);
        SECTION("which does not make them last longer")
        {
            SessionReleases other(5000ms);
            for (auto now = start; now < start + 6s; now += 250ms) {
                other.learn(sessions.all(now, 10), now + 20ms);
                sessions.learn(other.all(now + 20ms, 10), now + 40ms);
            }
            CHECK_FALSE(sessions.releaseOf(1, start + 5200ms));
            CHECK_FALSE(other.releaseOf(1, start + 5200ms));
        }
    }
}

// Guards against reverting a good release because upstreams crash while it serves its first requests: half of all
// upstreams crashed at that point of a rollout.
TEST_CASE("a crash of upstreams is not evidence against their release")
{
    BrokenResponses brokenResponses;
    TimePoint start { Microseconds(1000000) };
    ReleaseRoute route { { "assist" }, "v2", "draft", { "small" } };
    for (const auto* incarnation : { "i-1/1", "i-2/1", "i-3/1", "i-3/1" })
        brokenResponses.recordBroken(incarnation, route, start);

    SECTION("a response to a request sent before the break is not evidence, since it was already in flight")
    {
        CHECK(brokenResponses.recordSucceeded("i-3/1", start - 1ms).empty());
    }
    SECTION("an upstream that answers a later request did not crash, so its broken responses count")
    {
        CHECK(brokenResponses.recordSucceeded("i-3/1", start + 1ms) == std::vector<ReleaseRoute> { route, route });
        CHECK(brokenResponses.recordSucceeded("i-3/1", start + 2ms).empty());
    }
    SECTION("a response of the next incarnation is not evidence")
    {
        CHECK(brokenResponses.recordSucceeded("i-1/2", start + 1s).empty());
    }
    SECTION("the same holds for requests whose callers left before the response")
    {
        for (const auto* incarnation : { "i-1/1", "i-3/1" })
            brokenResponses.recordAbandoned(incarnation, { route, 400ms, start });
        CHECK(brokenResponses.takeAbandoned("i-3/1", start - 1ms).empty());
        CHECK(brokenResponses.takeAbandoned("i-1/2", start + 1s).empty());
        auto abandoned = brokenResponses.takeAbandoned("i-3/1", start + 1ms);
        REQUIRE(abandoned.size() == 1);
        CHECK(abandoned[0].route == route);
        CHECK(abandoned[0].waited == 400ms);
        CHECK(brokenResponses.takeAbandoned("i-3/1", start + 2ms).empty());
        brokenResponses.forget(start + 1ms);
        CHECK(brokenResponses.takeAbandoned("i-1/1", start + 1s).empty());
    }
    SECTION("broken responses that are not resolved in time are discarded")
    {
        brokenResponses.forget(start + 1ms);
        CHECK(brokenResponses.recordSucceeded("i-1/1", start + 1s).empty());
    }
}
