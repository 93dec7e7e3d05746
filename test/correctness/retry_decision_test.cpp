// Tests whether a request is sent again after an attempt that did not serve it, and how long an upstream may be silent, without a
// network.

#include "core/limits/retry_reservation.h"
#include "core/scheduling/retry_decision.h"
#include "core/scheduling/silence_limit.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

// Guards against calls that run twice although they must not, and against retries that cannot help.
TEST_CASE("a request is sent again only where that is safe and may still help")
{
    // One attempt reached an upstream.
    RetryState state { .timeLeft = 2s, .triedUpstreams = 1, .deliveredAttempts = 1, .isRetryable = true, .maxAttempts = 3 };

    SECTION("no attempt has reached an upstream")
    {
        state.deliveredAttempts = 0;
        CHECK(decideOnRetry(AttemptEnd::NotSent, state) == RetryDecision::Free);
        SECTION("calls that may run once are no exception")
        {
            state.isRetryable = false;
            CHECK(decideOnRetry(AttemptEnd::NotSent, state) == RetryDecision::Free);
        }
        SECTION("six more upstreams than the route allows may be unreachable")
        {
            state.triedUpstreams = 8;
            CHECK(decideOnRetry(AttemptEnd::NotSent, state) == RetryDecision::Free);
            state.triedUpstreams = 9;
            CHECK(decideOnRetry(AttemptEnd::NotSent, state) == RetryDecision::Denied);
        }
        SECTION("a run by way of a peer counts as one")
        {
            state.executed = Executed::Unknown;
            CHECK(decideOnRetry(AttemptEnd::NotSent, state) == RetryDecision::FromBudget);
        }
    }
    SECTION("the upstream did not run the request")
    {
        state.isRetryable = false;
        CHECK(decideOnRetry(AttemptEnd::RefusedNotRun, state) == RetryDecision::FromBudget);
        CHECK(decideOnRetry(AttemptEnd::NotSent, state) == RetryDecision::FromBudget);
    }
    SECTION("the request may have run")
    {
        auto end = GENERATE(AttemptEnd::UpstreamError, AttemptEnd::Cut, AttemptEnd::TimedOut, AttemptEnd::Malformed, AttemptEnd::Dropped);
        state.possibleRuns = 1;
        CHECK(decideOnRetry(end, state) == RetryDecision::FromBudget);
        SECTION("calls that may run once are not repeated")
        {
            state.isRetryable = false;
            CHECK(decideOnRetry(end, state) == RetryDecision::Denied);
        }
        SECTION("the route's attempts are used up")
        {
            state.possibleRuns = 3;
            CHECK(decideOnRetry(end, state) == RetryDecision::Denied);
        }
        SECTION("the request has crashed upstreams")
        {
            state.isRefused = true;
            CHECK(decideOnRetry(end, state) == RetryDecision::Denied);
        }
        SECTION("a part of the prompt may have crashed the upstream")
        {
            state.isRetryUnsafe = true;
            CHECK(decideOnRetry(end, state) == (end == AttemptEnd::Cut ? RetryDecision::Denied : RetryDecision::FromBudget));
        }
    }
    SECTION("no time is left for another answer")
    {
        auto end = GENERATE(AttemptEnd::NotSent, AttemptEnd::RefusedNotRun, AttemptEnd::Cut);
        state.deliveredAttempts = end == AttemptEnd::NotSent ? 0 : 1;
        SECTION("until the caller's deadline")
        {
            state.timeLeft = minUsefulTime;
            CHECK(decideOnRetry(end, state) != RetryDecision::Denied);
            state.timeLeft = minUsefulTime - 1ms;
            CHECK(decideOnRetry(end, state) == RetryDecision::Denied);
        }
        SECTION("until the exit of this instance")
        {
            state.fitsBeforeExit = false;
            CHECK(decideOnRetry(end, state) == RetryDecision::Denied);
        }
    }
}

// Guards against sound requests that are sent twice, and against callers whose time runs out at a silent upstream.
TEST_CASE("another upstream is asked once a response is later than the route's targets explain")
{
    Route route { .targetLatency = 400ms, .targetGap = 2s };

    SECTION("a call waits for a multiple of its target, whatever time is left")
    {
        route.kind = RouteKind::Idempotent;
        CHECK(expectedResponseTime(route) == 1s);
        CHECK(silenceLimit(route, false, 10s) == 1s);
        CHECK(silenceLimit(route, false, 100ms) == 1s);
        route.targetLatency = 1ms;
        CHECK(silenceLimit(route, false, 10s) == minUsefulTime);
    }
    SECTION("a stream")
    {
        route.kind = RouteKind::Streaming;
        SECTION("stays at an upstream that is silent for two seconds")
        {
            CHECK(silenceLimit(route, false, 10s) == 2500ms);
            route.targetLatency = 4s;
            CHECK(silenceLimit(route, false, 10s) == 6s);
        }
        SECTION("goes on elsewhere while half of the time is left")
        {
            CHECK(silenceLimit(route, false, 2s) == 1s);
        }
        SECTION("that has begun waits for twice the gap between its events")
        {
            CHECK(silenceLimit(route, true, 10s) == 4s);
        }
    }
}

// A fifth of the engines has crashed, and each request meets some of them before one that takes it.
TEST_CASE("attempts that reached no upstream leave the retry budget to answers of low confidence")
{
    TimePoint now { 60s };
    ServiceRetryBudget budget({ .ratio = 0.9, .fixedAllowance = 0, .window = 10s });
    int larger = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.requestArrived(now);
        RetryReservation retry;
        retry.sent();
        // Each second answer has low confidence, and the larger model is asked at three engines that are down before a sound one.
        if (request % 2 == 1)
            continue;
        bool mayAsk = retry.take(budget, 1, now, ServiceRetryBudget::largerModelFraction);
        for (int attempt = 0; mayAsk && attempt < 3; ++attempt)
            mayAsk = retry.take(budget, 1, now);
        if (!mayAsk)
            continue;
        retry.sent();
        ++larger;
    }
    // The first requests come before there is a budget.
    CHECK(larger >= 495);
    SECTION("what was sent is used up")
    {
        RetryReservation retry;
        while (retry.take(budget, 1, now))
            retry.sent();
        CHECK_FALSE(retry.isHeld());
    }
}
