#include "core/error_kind.h"
#include "core/limits/crash_guard.h"
#include "core/requests/execution_tracker.h"
#include "core/rollout/version_evidence.h"
#include "core/routing/cascade_plan.h"
#include "core/routing/entry_choice.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;

namespace {

const TimePoint start { Seconds(1000) };

ConfigurationPtr oneVersion(double quality)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->versions[{ "v" }] = { .id = { "v" }, .model = { "m" }, .quality = quality };
    return configuration;
}

}

TEST_CASE("a cascade starts at the step with the lowest expected cost")
{
    std::vector<PlanStep> steps { { { "cheap" }, 0.6, 10, true }, { { "dear" }, 0.95, 100, true } };
    SECTION("a cheap model that often passes is tried first and its response is checked")
    {
        auto choice = chooseCascadeStep(steps, 0, 1);
        CHECK(choice.step == 0);
        CHECK(choice.check);
        CHECK(choice.expectedCost == Approx(10 + 1 + 0.4 * 100));
    }
    SECTION("a cheap model that rarely passes is skipped")
    {
        steps[0].passProbability = 0.05;
        CHECK(chooseCascadeStep(steps, 0, 1).step == 1);
    }
    SECTION("the response of a model that almost always passes is not checked")
    {
        steps[0].passProbability = 0.99;
        CHECK_FALSE(chooseCascadeStep(steps, 0, 1).check);
    }
    SECTION("unusable steps are skipped, and the end index is returned if none is usable")
    {
        steps[0].usable = false;
        CHECK(chooseCascadeStep(steps, 0, 1).step == 1);
        steps[1].usable = false;
        CHECK(chooseCascadeStep(steps, 0, 1).step == steps.size());
    }
    SECTION("the fixed policies choose the first or the last step")
    {
        CHECK(chooseCascadeStep(steps, 0, 1, CascadePolicy::AlwaysLast).step == 1);
        CHECK(chooseCascadeStep(steps, 0, 1, CascadePolicy::AlwaysFirst).step == 0);
    }
}

TEST_CASE("version health follows from recorded attempts and ratings")
{
    VersionEvidence evidence;
    Outbox out;
    const VersionId version { "v" };
    evidence.configure(oneVersion(0.8));
    auto recordFailures = [&](int n) {
        for (int k = 0; k < n; ++k)
            evidence.attemptEnded(version, { "u" }, AttemptEnd::UpstreamError, start, out);
    };

    SECTION("isolated failures among many successes keep a version healthy")
    {
        for (int n = 0; n < 5000; ++n)
            evidence.attemptEnded(version, { "u" }, n % 50 == 0 ? AttemptEnd::UpstreamError : AttemptEnd::Completed, start, out);
        CHECK(evidence.health(version) == VersionHealth::Healthy);
    }
    SECTION("consecutive failures quarantine a version")
    {
        recordFailures(6);
        CHECK(evidence.health(version) == VersionHealth::Quarantined);
        CHECK_FALSE(evidence.mayRun(version, 0, start, out));

        SECTION("after the quarantine time it is probed with few requests and reinstated if they succeed")
        {
            auto later = start + Seconds(31);
            CHECK(evidence.mayRun(version, 0, later, out));
            CHECK_FALSE(evidence.mayRun(version, 1, later, out));
            for (int n = 0; n < 20; ++n)
                evidence.attemptEnded(version, { "u" }, AttemptEnd::Completed, later, out);
            CHECK(evidence.health(version) == VersionHealth::Healthy);
        }
        SECTION("failed probes extend the quarantine")
        {
            auto later = start + Seconds(31);
            CHECK(evidence.mayRun(version, 0, later, out));
            for (int n = 0; n < 6; ++n)
                evidence.attemptEnded(version, { "u" }, AttemptEnd::UpstreamError, later, out);
            CHECK_FALSE(evidence.mayRun(version, 0, later + Seconds(31), out));
        }
    }
    SECTION("a crash of one upstream with many requests counts as one failure of its version")
    {
        for (int n = 0; n < 50; ++n)
            evidence.attemptEnded(version, { "u" }, AttemptEnd::Cut, start, out);
        CHECK(evidence.health(version) == VersionHealth::Healthy);

        SECTION("crashes of several upstreams quarantine the version")
        {
            for (int n = 0; n < 6; ++n)
                evidence.upstreamCrashed(version, { "u" + std::to_string(n) }, start, out);
            CHECK(evidence.health(version) == VersionHealth::Quarantined);
        }
    }
    SECTION("a drop in ratings quarantines a version")
    {
        for (int n = 0; n < 200; ++n)
            evidence.rated(version, 0.8, start, out);
        CHECK(evidence.health(version) == VersionHealth::Healthy);
        for (int n = 0; n < 12; ++n)
            evidence.rated(version, 0.4, start, out);
        CHECK(evidence.health(version) == VersionHealth::Quarantined);
    }
    SECTION("attempts that were not sent do not affect the health of a version")
    {
        for (int n = 0; n < 100; ++n)
            evidence.attemptEnded(version, { "u" }, AttemptEnd::NotSent, start, out);
        CHECK(evidence.health(version) == VersionHealth::Healthy);
    }
    SECTION("only increases of a peer's counters count as evidence")
    {
        Incarnation peer { { "b" }, 1 };
        evidence.learn(peer, { { version, { .done = 0, .failed = 500 } } }, start, out);
        CHECK(evidence.health(version) == VersionHealth::Healthy);
        evidence.learn(peer, { { version, { .done = 0, .failed = 500 } } }, start, out);
        CHECK(evidence.health(version) == VersionHealth::Healthy);
        evidence.learn(peer, { { version, { .done = 0, .failed = 510 } } }, start, out);
        CHECK(evidence.health(version) == VersionHealth::Quarantined);
    }
}

TEST_CASE("a request that crashes upstreams is rejected after the second crash")
{
    CrashGuard guard;
    guard.recordCrash("body", { "u1" }, start);
    CHECK_FALSE(guard.refuses("body"));

    SECTION("crashes reported by another instance are counted")
    {
        guard.learn({ "b" }, { { "body", 1 } }, start);
        CHECK(guard.refuses("body"));
    }
    SECTION("a crash is not counted if the upstream later proves to be alive")
    {
        guard.recordAlive({ "u1" }, start + Milliseconds(1));
        guard.recordCrash("body", { "u2" }, start);
        CHECK_FALSE(guard.refuses("body"));
    }
    SECTION("a response to a request sent before the crash does not prove that the upstream is alive")
    {
        guard.recordAlive({ "u1" }, start);
        guard.recordCrash("body", { "u2" }, start);
        CHECK(guard.refuses("body"));
    }
    SECTION("recorded crashes expire")
    {
        guard.recordCrash("body", { "u2" }, start);
        CHECK(guard.refuses("body"));
        guard.forget(start + Seconds(1));
        CHECK_FALSE(guard.refuses("body"));
    }
}

TEST_CASE("a rejected request is reported as not executed only if this is certain")
{
    ExecutionTracker tracker;
    CHECK(tracker.executed() == Executed::No);
    tracker.attemptSent();
    CHECK(tracker.executed() == Executed::Unknown);
    SECTION("nothing was sent")
    {
        tracker.attemptEnded(AttemptEnd::NotSent);
        CHECK(tracker.executed() == Executed::No);
    }
    SECTION("the upstream reported that it did not execute the request")
    {
        tracker.attemptEnded(AttemptEnd::RefusedNotRun);
        CHECK(tracker.executed() == Executed::No);
    }
    SECTION("after any other end the result stays unknown, whatever follows")
    {
        auto end = GENERATE(AttemptEnd::Cut, AttemptEnd::TimedOut, AttemptEnd::UpstreamError);
        tracker.attemptEnded(end);
        tracker.attemptSent();
        tracker.attemptEnded(AttemptEnd::NotSent);
        CHECK(tracker.executed() == Executed::Unknown);
    }
}

TEST_CASE("every error kind has an HTTP status and a name")
{
    for (int n = 0; n <= static_cast<int>(ErrorKind::Internal); ++n) {
        const auto& info = errorInfo(static_cast<ErrorKind>(n));
        CHECK(info.httpStatus >= 200);
        CHECK(make_error_code(info.kind).message() == info.name);
    }
}

TEST_CASE("callers are directed to a live instance of their own failure domain")
{
    Outbox out;
    Membership membership({ { "a" }, 1 }, { "d1" }, "addr-a", {});
    auto receiveHeartbeat = [&](const char* id, const char* domain, bool leaving, std::int64_t load) {
        Heartbeat beat { .domain = { domain }, .entryAddress = std::string("addr-") + id, .leaving = leaving, .sequence = 1 };
        beat.upstreams[{ "u" }].inFlight = load;
        membership.onHeartbeat({ { id }, 1 }, beat, start, out);
    };
    receiveHeartbeat("b", "d2", false, 0);
    receiveHeartbeat("c", "d2", true, 0);

    SECTION("an instance that is leaving is not chosen")
    {
        for (int n = 0; n < 20; ++n)
            CHECK(chooseEntry(membership, { "s" + std::to_string(n), { "d2" } }, false, 0).address == "addr-b");
    }
    SECTION("an overloaded instance is not chosen")
    {
        receiveHeartbeat("e", "d2", false, 100);
        for (int n = 0; n < 20; ++n)
            CHECK(chooseEntry(membership, { "s" + std::to_string(n), { "d2" } }, false, 0).address == "addr-b");
    }
    SECTION("an instance that is leaving chooses another instance")
    {
        CHECK(chooseEntry(membership, { "s", { "d1" } }, true, 0).address == "addr-b");
    }
}
