// How a roll-out decides, from counters alone.

#include "core/rollout/broken_responses.h"
#include "core/rollout/release_plan.h"
#include "core/rollout/session_releases.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

const ServiceId service { "assist" };
const RolloutOrder order { service, "v2", 24000ms, 7 };

ReleaseRoute on(const std::string& release, const std::string& route = "cards", const std::string& model = "small")
{
    return { service, release, route, { model } };
}

RolloutRecord inStage(RolloutStage stage) { return { order.revision, order.target, stage, {}, {} }; }

}

TEST_CASE("a release is judged beside the one that it replaces")
{
    ReleaseEvidence evidence { { on("v1"), { 200, 1, 12000ms } } };
    SECTION("as good as the old one, it passes")
    {
        evidence[on("v2")] = { 20, 0, 1200ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("two failures are no evidence")
    {
        evidence[on("v2")] = { 3, 2, 180ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("three failures of six are")
    {
        evidence[on("v2")] = { 3, 3, 180ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("both failing alike, as in a flood, tells nothing against it")
    {
        evidence[on("v1")] = { 100, 100, 6000ms };
        evidence[on("v2")] = { 10, 10, 600ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("failures on one route only are found among many good answers")
    {
        evidence[on("v2")] = { 100, 0, 6000ms };
        evidence[on("v1", "tags")] = { 100, 0, 6000ms };
        evidence[on("v2", "tags")] = { 4, 4, 240ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("answers several times slower speak against it")
    {
        evidence[on("v2")] = { 10, 0, 10 * 400ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("so do answers that take twice the time, on engines that have little to do")
    {
        evidence[on("v2")] = { 10, 0, 10 * 130ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("a little more time does not")
    {
        evidence[on("v2")] = { 10, 0, 10 * 85ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("times of different models are not compared")
    {
        evidence[on("v2", "cards", "large")] = { 10, 0, 10 * 400ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
    SECTION("small samples of several routes add up")
    {
        evidence[on("v1", "tags")] = { 100, 0, 6000ms };
        evidence[on("v2")] = { 4, 0, 4 * 400ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
        evidence[on("v2", "tags")] = { 4, 0, 4 * 400ms };
        CHECK(judgeRelease(order, evidence).isBad);
    }
    SECTION("another service's failures are not its own")
    {
        evidence[{ { "orders" }, "v2", "cards", { "small" } }] = { 0, 50, 0ms };
        CHECK_FALSE(judgeRelease(order, evidence).isBad);
    }
}

// Found on a day on which all instances lost power in the second half of a roll-out: with the counters of the old
// release gone, a slow target had nothing to be compared with and was completed.
TEST_CASE("after all counters were lost, the stored baseline still tells a slow release")
{
    ReleaseEvidence before { { on("v1"), { 200, 1, 12000ms } }, { on("v2"), { 9, 0, 540ms } } };
    auto baseline = baselineOf(order, before);
    REQUIRE(baseline.size() == 1);
    ReleaseEvidence afterRestart { { on("v2"), { 12, 0, 12 * 500ms } } };
    CHECK_FALSE(judgeRelease(order, afterRestart).isBad);
    CHECK(judgeRelease(order, afterRestart, baseline).isBad);
}

TEST_CASE("stages follow time and evidence")
{
    ReleaseVerdict good { false, "", 60 };
    ReleaseVerdict bad { true, "failed", 60 };
    ReleaseVerdict unknown { false, "", 3 };
    SECTION("the first half belongs to the canary")
    {
        CHECK(nextStage(order, inStage(RolloutStage::Canary), good, 11900ms, false) == RolloutStage::Canary);
        CHECK(nextStage(order, inStage(RolloutStage::Canary), good, 12600ms, false) == RolloutStage::Half);
    }
    SECTION("without answers nothing moves on, and at the end the old release stays")
    {
        CHECK(nextStage(order, inStage(RolloutStage::Canary), unknown, 20000ms, false) == RolloutStage::Canary);
        CHECK(nextStage(order, inStage(RolloutStage::Canary), unknown, 24000ms, false) == RolloutStage::Reverted);
    }
    SECTION("a bad release is taken back in every stage that is not final")
    {
        for (auto stage : { RolloutStage::Canary, RolloutStage::Half, RolloutStage::Full })
            CHECK(nextStage(order, inStage(stage), bad, 15000ms, false) == RolloutStage::Reverted);
        CHECK(nextStage(order, inStage(RolloutStage::Completed), bad, 15000ms, false) == RolloutStage::Completed);
    }
    SECTION("it completes once the old release is idle, before the time is over")
    {
        CHECK(nextStage(order, inStage(RolloutStage::Full), good, 19500ms, false) == RolloutStage::Full);
        CHECK(nextStage(order, inStage(RolloutStage::Full), good, 19500ms, true) == RolloutStage::Completed);
    }
    // Found on a day on which all instances lost power in the last stage: 1.3 s later one of them completed a slow release on
    // twenty answers, while the others had just found it bad.
    SECTION("few answers, as after a restart, do not complete it before the time is nearly over")
    {
        ReleaseVerdict fresh { false, "", 20 };
        CHECK(nextStage(order, inStage(RolloutStage::Full), fresh, 19500ms, true) == RolloutStage::Full);
        CHECK(nextStage(order, inStage(RolloutStage::Full), fresh, 23000ms, true) == RolloutStage::Completed);
    }
    SECTION("shares grow with the stage and end at none")
    {
        CHECK(sessionShareOf(RolloutStage::Canary) < sessionShareOf(RolloutStage::Half));
        CHECK(sessionShareOf(RolloutStage::Half) < sessionShareOf(RolloutStage::Full));
        CHECK(sessionShareOf(RolloutStage::Reverted) == 0);
    }
}

TEST_CASE("a session under way keeps its release, whoever served it")
{
    SessionReleases sessions(5000ms);
    TimePoint start { 100s };
    sessions.recordServed(1, "v1", start);
    sessions.learn({ { 2, "v2", 1000ms } }, start);
    SECTION("within the session's pause it is known")
    {
        REQUIRE(sessions.releaseOf(1, start + 4s));
        CHECK(*sessions.releaseOf(1, start + 4s) == "v1");
        CHECK(*sessions.releaseOf(2, start + 3s) == "v2");
    }
    SECTION("after it, it is not")
    {
        CHECK_FALSE(sessions.releaseOf(1, start + 6s));
        CHECK_FALSE(sessions.releaseOf(2, start + 4500ms));
    }
    SECTION("a later request elsewhere counts, an older one does not")
    {
        sessions.learn({ { 1, "v2", 2000ms } }, start + 1s);
        CHECK(*sessions.releaseOf(1, start + 1s) == "v1");
        sessions.learn({ { 1, "v2", 100ms } }, start + 2s);
        CHECK(*sessions.releaseOf(1, start + 2s) == "v2");
    }
    SECTION("only what was served here is told to others")
    {
        auto own = sessions.own(start + 1s);
        REQUIRE(own.size() == 1);
        CHECK(own[0].session == 1);
        CHECK(own[0].age == 1000ms);
    }
}

// Found on a day on which half of all upstreams crashed while a good release had its first answers.
TEST_CASE("a crash is not held against the release of the upstreams that crashed")
{
    BrokenResponses answers;
    TimePoint start { Microseconds(1000000) };
    ReleaseRoute route { { "assist" }, "v2", "draft", { "small" } };
    for (const auto* life : { "i-1/1", "i-2/1", "i-3/1", "i-3/1" })
        answers.recordBroken(life, route, start);

    SECTION("an answer to an earlier request says nothing: it was on its way")
    {
        CHECK(answers.recordSucceeded("i-3/1", start - 1ms).empty());
    }
    SECTION("an upstream that answers a later request broke its answers itself")
    {
        CHECK(answers.recordSucceeded("i-3/1", start + 1ms) == std::vector<ReleaseRoute> { route, route });
        CHECK(answers.recordSucceeded("i-3/1", start + 2ms).empty());
    }
    SECTION("its next life has nothing to do with it")
    {
        CHECK(answers.recordSucceeded("i-1/2", start + 1s).empty());
    }
    SECTION("what is not told in time is forgotten")
    {
        answers.forget(start + 1ms);
        CHECK(answers.recordSucceeded("i-1/1", start + 1s).empty());
    }
}
