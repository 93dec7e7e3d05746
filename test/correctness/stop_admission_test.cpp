// Tests which requests an instance that stops still takes, on made-up times and without a network.

#include "core/limits/stop_admission.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
const std::string route = "draft";

// A request whose own time limit is too late to matter.
PendingWork work(CutCost cutCost, std::optional<Milliseconds> defaultTime = {})
{
    return { route, cutCost, start + 1h, defaultTime };
}

// Records requests that took these times and ended together.
void record(StopAdmission& admission, std::initializer_list<Milliseconds> times, TimePoint endedAt = start, bool isWhole = true, Milliseconds limit = 1h)
{
    for (auto time : times) {
        admission.began(route, endedAt - time);
        admission.ended(route, endedAt - time, endedAt - time + limit, isWhole, endedAt);
    }
}

void record(StopAdmission& admission, int count, Milliseconds time, TimePoint endedAt = start, Milliseconds limit = 1h)
{
    for (int n = 0; n < count; ++n)
        record(admission, { time }, endedAt, true, limit);
}

}

// Guards against requests that are taken during a drain and cut off at its end, and against refusals of those that would fit.
TEST_CASE("an instance that stops takes the requests that it expects to answer before its exit")
{
    StopAdmission admission;
    const auto once = work(CutCost::Final), repeatable = work(CutCost::Repeatable);

    SECTION("a request whose time limit ends before the exit fits, whatever the route's requests take")
    {
        record(admission, 20, 10s);
        auto request = once;
        request.deadline = start + 200ms;
        CHECK(admission.fits(request, start + 200ms, start));
        CHECK_FALSE(admission.fits(request, start + 199ms, start));
    }
    SECTION("short requests fit until shortly before the exit, long ones do not")
    {
        record(admission, 20, 40ms);
        CHECK(admission.fits(once, start + StopAdmission::minTime, start));
        CHECK_FALSE(admission.fits(once, start + StopAdmission::minTime - 1ms, start));
        record(admission, { 1600ms });
        CHECK_FALSE(admission.fits(once, start + 2399ms, start));
        CHECK(admission.fits(once, start + 2400ms, start));
    }
    SECTION("routes are looked at separately")
    {
        record(admission, 20, 3s);
        admission.began("status", start - 10ms);
        admission.ended("status", start - 10ms, start + 1h, true, start);
        auto request = work(CutCost::Repeatable, 200ms);
        request.route = "status";
        CHECK(admission.fits(request, start + StopAdmission::minTime, start));
    }
    SECTION("a heavy tail: one in a hundred takes 5 s")
    {
        record(admission, 495, 50ms);
        record(admission, 5, 5s);
        // A call that may run once is not risked, one that may be repeated is.
        CHECK(admission.expectedTime(once, start) == 7500ms);
        CHECK(admission.expectedTime(repeatable, start) == StopAdmission::minTime);
        SECTION("one in twenty is too much for both")
        {
            record(admission, 25, 5s);
            CHECK(admission.expectedTime(repeatable, start) == 6250ms);
        }
    }
    SECTION("no history")
    {
        CHECK(admission.expectedTime(once, start) == std::nullopt);
        CHECK_FALSE(admission.fits(once, start + 30min, start));
        CHECK(admission.expectedTime(work(CutCost::Repeatable, 800ms), start) == 1000ms);
        SECTION("a few answers do not say that a route is fast")
        {
            record(admission, { 10ms, 10ms, 10ms, 10ms });
            CHECK_FALSE(admission.fits(once, start + 30min, start));
            CHECK(admission.expectedTime(work(CutCost::Repeatable, 800ms), start) == 1000ms);
            record(admission, { 10ms });
            CHECK(admission.expectedTime(once, start) == StopAdmission::minTime);
            CHECK(admission.expectedTime(work(CutCost::Repeatable, 800ms), start) == StopAdmission::minTime);
        }
        SECTION("but one is enough to say that it is slow")
        {
            record(admission, { 2s });
            CHECK(admission.expectedTime(work(CutCost::Repeatable, 800ms), start) == 2500ms);
        }
    }
    SECTION("a route that became slower counts as slow before the first slow answer")
    {
        record(admission, 100, 40ms);
        for (int n = 0; n < 10; ++n)
            admission.began(route, start);
        CHECK(admission.expectedTime(once, start + 2s) == 3000ms);
        CHECK(admission.expectedTime(repeatable, start + 2s) == 2500ms);
        SECTION("and again as fast once those are long past")
        {
            for (int n = 0; n < 10; ++n)
                admission.ended(route, start, start + 1h, true, start + 2s);
            auto later = start + 2s + StopAdmission::window;
            record(admission, 5, 40ms, later);
            CHECK(admission.expectedTime(once, later) == 3000ms);
            CHECK(admission.expectedTime(once, later + 1ms) == StopAdmission::minTime);
        }
    }
    SECTION("requests that were cut off count for the time that they lasted")
    {
        record(admission, 40, 40ms);
        record(admission, { 3s, 3s }, start, false);
        CHECK(admission.expectedTime(once, start) == 4500ms);
        SECTION("those that ended early do not make the route look fast")
        {
            StopAdmission slow;
            record(slow, 10, 2s);
            for (int n = 0; n < 1000; ++n)
                record(slow, { 5ms }, start, false);
            CHECK(slow.expectedTime(repeatable, start) == 2500ms);
            CHECK(slow.expectedTime(once, start) == 3000ms);
        }
        SECTION("nor do they count as answers where few have been seen")
        {
            StopAdmission few;
            record(few, { 5ms, 5ms, 5ms, 5ms, 5ms }, start, false);
            CHECK_FALSE(few.fits(once, start + 30min, start));
        }
    }
}

// Guards against late requests that are taken, since those of their route were short lately, and cut off at the exit.
TEST_CASE("a request that must not be cut needs a bound of its time")
{
    StopAdmission admission;
    const auto late = work(CutCost::Forbidden), once = work(CutCost::Final);
    const auto limit = toMilliseconds(late.deadline - start);
    const auto many = static_cast<int>(StopAdmission::exceedingDivisor);

    SECTION("a request whose time limit ends before the exit fits")
    {
        auto request = late;
        request.deadline = start + 200ms;
        CHECK(admission.fits(request, start + 200ms, start));
    }
    SECTION("nothing is known of the route")
    {
        CHECK(admission.expectedTime(late, start) == std::nullopt);
        record(admission, { 40ms }, start, false);
        CHECK(admission.expectedTime(late, start) == std::nullopt);
    }
    SECTION("the fewer answers are known, the larger is the margin")
    {
        record(admission, 10, 1s);
        CHECK(admission.expectedTime(once, start) == 1500ms);
        CHECK(admission.expectedTime(late, start) == 50s);
        record(admission, 90, 1s);
        CHECK(admission.expectedTime(late, start) == 5s);
        record(admission, many - 100, 1s);
        CHECK(admission.expectedTime(late, start) == 1500ms);
        SECTION("one answer that took longer counts in full")
        {
            record(admission, { 3s });
            CHECK(admission.expectedTime(late, start) == 4500ms);
        }
        SECTION("so do those that were cut off or are at work")
        {
            record(admission, { 3s }, start, false);
            CHECK(admission.expectedTime(late, start) == 4500ms);
            admission.began(route, start - 4s);
            CHECK(admission.expectedTime(late, start) == 6s);
        }
    }
    SECTION("a few fast answers do not say that there are no slow ones")
    {
        record(admission, 50, 5ms);
        CHECK(admission.expectedTime(once, start) == StopAdmission::minTime);
        CHECK(admission.expectedTime(late, start) == 10 * StopAdmission::minTime);
    }
    SECTION("answers to callers that allow less time do not count for those that allow more")
    {
        record(admission, many, 40ms, start, limit / 2 - 1ms);
        CHECK(admission.expectedTime(late, start) == std::nullopt);
        record(admission, many, 40ms, start, limit / 2);
        CHECK(admission.expectedTime(late, start) == 750ms);
    }
    SECTION("what was seen earlier counts for longer")
    {
        record(admission, many, 3s);
        CHECK(admission.expectedTime(late, start + StopAdmission::memory) == 4500ms);
        CHECK(admission.expectedTime(late, start + StopAdmission::memory + 1ms) == std::nullopt);
        CHECK(admission.expectedTime(once, start + StopAdmission::window + 1ms) == std::nullopt);
    }
}

// Guards against memory that grows with the requests or the routes of a long life.
TEST_CASE("the times of requests are kept for a while only")
{
    StopAdmission admission;
    record(admission, 1, 9s);
    record(admission, static_cast<int>(StopAdmission::maxSamples) - 1, 40ms);
    CHECK(admission.expectedTime(work(CutCost::Final), start) == 13500ms);
    record(admission, 1, 40ms);
    CHECK(admission.expectedTime(work(CutCost::Final), start) == StopAdmission::minTime);
    admission.forget(start + StopAdmission::memory + 1ms);
    CHECK(admission.expectedTime(work(CutCost::Final), start) == std::nullopt);
}
