#include "core/limits/admission.h"
#include "core/limits/capacity_share.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;

namespace {

const PoolId pool { "p" };
const TimePoint start { Seconds(1000) };

WaitingRequest waiting(const std::string& id, std::int64_t order, const std::string& team, double work = 100, double guaranteed = 0)
{
    return { { id }, pool, { "rank" + std::to_string(order) }, order, guaranteed, { team }, 1, work, start, start + Seconds(10), start + Seconds(10) };
}

}

TEST_CASE("waiting requests are admitted in order of rank and team")
{
    Admission admission;
    auto next = [&] {
        auto request = *admission.next(pool, start);
        admission.started(request);
        return request.request.value;
    };

    SECTION("the most urgent rank is admitted first")
    {
        admission.enqueue(waiting("late", 2, "a"));
        admission.enqueue(waiting("soon", 0, "a"));
        CHECK(next() == "soon");
        CHECK(next() == "late");
        CHECK_FALSE(admission.next(pool, start));
    }
    SECTION("overload by the most urgent rank does not use the guaranteed shares of other ranks")
    {
        for (int n = 0; n < 1000; ++n) {
            admission.enqueue(waiting("u" + std::to_string(n), 0, "a", 100, 0.3));
            admission.enqueue(waiting("l" + std::to_string(n), 2, "a", 100, 0.2));
        }
        int later = 0;
        for (int n = 0; n < 500; ++n)
            later += next().front() == 'l' ? 1 : 0;
        CHECK(later >= 99);
        CHECK(later <= 101);
    }
    SECTION("teams of one rank get equal shares of work regardless of their demand")
    {
        for (int n = 0; n < 400; ++n)
            admission.enqueue(waiting("big" + std::to_string(n), 1, "big"));
        for (int n = 0; n < 40; ++n)
            admission.enqueue(waiting("small" + std::to_string(n), 1, "small"));
        int small = 0;
        for (int n = 0; n < 60; ++n)
            small += next()[0] == 's' ? 1 : 0;
        CHECK(small >= 28);
    }
    SECTION("a full queue drops the newest request of the lowest-priority rank and team")
    {
        admission.enqueue(waiting("urgent", 0, "a"));
        admission.enqueue(waiting("later1", 2, "big"));
        admission.enqueue(waiting("later2", 2, "big"));
        admission.enqueue(waiting("later3", 2, "small"));
        CHECK(admission.takeLowestPriority()->request.value == "later2");
        CHECK(admission.size() == 3);
    }
    SECTION("requests past their deadline are removed")
    {
        admission.enqueue(waiting("a", 1, "t"));
        CHECK(admission.takeExpired(start + Seconds(9)).empty());
        CHECK(admission.takeExpired(start + Seconds(10)).size() == 1);
        CHECK(admission.size() == 0);
    }
    SECTION("the work ahead of a small team does not grow with a large team's queue")
    {
        for (int n = 0; n < 1000; ++n)
            admission.enqueue(waiting("big" + std::to_string(n), 1, "big"));
        CHECK(admission.workAhead(waiting("x", 1, "small")) <= 200);
        CHECK(admission.workAhead(waiting("x", 1, "big")) >= 100000);
    }
}

TEST_CASE("the first-in-first-out policy admits requests in order of arrival")
{
    Admission admission(AdmissionPolicy::FirstInFirstOut);
    auto first = waiting("first", 2, "a");
    first.arrived = start - Seconds(1);
    admission.enqueue(waiting("second", 0, "a"));
    admission.enqueue(first);
    CHECK(admission.next(pool, start)->request.value == "first");
}

TEST_CASE("the wait of a new request is estimated")
{
    Admission admission;
    for (int n = 0; n < 100; ++n)
        admission.enqueue(waiting("u" + std::to_string(n), 0, "a", 100, 0.3));
    auto later = waiting("l", 2, "a", 100, 0.1);
    SECTION("more urgent work counts as ahead, except within the guaranteed share")
    {
        CHECK(admission.expectedWait(waiting("x", 2, "a", 100, 0), 1000, start) == Approx(10));
        admission.enqueue(later);
        CHECK(admission.expectedWait(later, 1000, start) == Approx(1));
    }
    SECTION("requeued requests do not count as admitted work")
    {
        auto now = start + Seconds(3);
        for (int n = 0; n < 20; ++n)
            admission.requeue(*admission.next(pool, now));
        CHECK(admission.expectedWait(waiting("x", 0, "a", 100, 0), 1000, now) > 100);
    }
    SECTION("the estimate for a rank that has been waiting uses its measured service rate")
    {
        admission.enqueue(later);
        auto now = start + Seconds(3);
        for (int n = 0; n < 20; ++n)
            admission.started(*admission.next(pool, now));
        // 2,000 tokens were just admitted; averaged over 2 s this is 1,000 tokens per second. 8,000 tokens are waiting.
        CHECK(admission.expectedWait(waiting("x", 0, "a", 100, 0), 100000, now) == Approx(8).epsilon(0.1));
    }
}

TEST_CASE("instances divide the capacity of a pool consistently")
{
    auto demand = [](bool own, std::int64_t rank, const char* team, double n) { return ShareDemand { own, rank, rank == 2 ? 0.1 : 0.3, { team }, 1, n }; };
    SECTION("capacity without demand is divided evenly")
    {
        CHECK(shareOfCapacity(56, {}, 8) == Approx(7));
    }
    SECTION("overload by the lowest rank at other instances does not reduce capacity for urgent local work")
    {
        CHECK(shareOfCapacity(56, { demand(true, 0, "a", 10), demand(false, 2, "b", 1000) }, 8) == Approx(10));
    }
    SECTION("overload by the most urgent rank does not use the guaranteed share of the lowest rank")
    {
        CHECK(shareOfCapacity(56, { demand(true, 2, "a", 100), demand(false, 0, "b", 1000) }, 8) == Approx(5.6));
    }
    SECTION("a large team's demand at one instance does not reduce a small team's share at another")
    {
        CHECK(shareOfCapacity(56, { demand(true, 1, "small", 20), demand(false, 1, "large", 1000) }, 8) == Approx(20));
        CHECK(shareOfCapacity(56, { demand(true, 1, "small", 40), demand(false, 1, "large", 1000) }, 8) == Approx(28));
    }
    SECTION("the shares of all instances add up to the capacity")
    {
        std::vector<ShareDemand> demands { demand(false, 0, "a", 12), demand(false, 1, "b", 300), demand(false, 2, "c", 70), demand(false, 1, "d", 9) };
        double sum = 0;
        for (auto& it : demands) {
            it.isOwn = true;
            sum += shareOfCapacity(56, demands, 4);
            it.isOwn = false;
        }
        CHECK(sum == Approx(56));
    }
}
