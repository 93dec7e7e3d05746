#include "core/admission.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;

namespace {

const PoolId pool { "p" };
const TimePoint start { Seconds(1000) };

WaitingRequest waiting(const std::string& id, std::int64_t order, const std::string& team, double work = 100, double guaranteed = 0)
{
    return { { id }, pool, { "rank" + std::to_string(order) }, order, guaranteed, { team }, 1, work, start, start + Seconds(10) };
}

}

TEST_CASE("waiting requests get places in the order of rank and team")
{
    Admission admission;
    auto next = [&] { return admission.next(pool, start)->request.value; };

    SECTION("the most urgent rank goes first")
    {
        admission.enqueue(waiting("late", 2, "a"), start);
        admission.enqueue(waiting("soon", 0, "a"), start);
        CHECK(next() == "soon");
        CHECK(next() == "late");
        CHECK_FALSE(admission.next(pool, start));
    }
    SECTION("a flood of the most urgent rank leaves the others their guaranteed share")
    {
        for (int n = 0; n < 1000; ++n) {
            admission.enqueue(waiting("u" + std::to_string(n), 0, "a", 100, 0.3), start);
            admission.enqueue(waiting("l" + std::to_string(n), 2, "a", 100, 0.2), start);
        }
        int later = 0;
        for (int n = 0; n < 500; ++n)
            later += next().front() == 'l' ? 1 : 0;
        CHECK(later >= 99);
        CHECK(later <= 101);
    }
    SECTION("teams of one rank take turns by work, however much one of them asks for")
    {
        for (int n = 0; n < 400; ++n)
            admission.enqueue(waiting("big" + std::to_string(n), 1, "big"), start);
        for (int n = 0; n < 40; ++n)
            admission.enqueue(waiting("small" + std::to_string(n), 1, "small"), start);
        int small = 0;
        for (int n = 0; n < 60; ++n)
            small += next()[0] == 's' ? 1 : 0;
        CHECK(small >= 28);
    }
    SECTION("a full queue gives up the newest request of the rank and team with the least claim")
    {
        admission.enqueue(waiting("urgent", 0, "a"), start);
        admission.enqueue(waiting("later1", 2, "big"), start);
        admission.enqueue(waiting("later2", 2, "big"), start);
        admission.enqueue(waiting("later3", 2, "small"), start);
        CHECK(admission.takeLeastDeserving()->request.value == "later2");
        CHECK(admission.size() == 3);
    }
    SECTION("requests past their deadline are taken out")
    {
        admission.enqueue(waiting("a", 1, "t"), start);
        CHECK(admission.takeExpired(start + Seconds(9)).empty());
        CHECK(admission.takeExpired(start + Seconds(10)).size() == 1);
        CHECK(admission.size() == 0);
    }
    SECTION("the work ahead of a small team does not grow with a large team's queue")
    {
        for (int n = 0; n < 1000; ++n)
            admission.enqueue(waiting("big" + std::to_string(n), 1, "big"), start);
        CHECK(admission.workAhead(waiting("x", 1, "small")) <= 200);
        CHECK(admission.workAhead(waiting("x", 1, "big")) >= 100000);
    }
}

TEST_CASE("the baseline serves in the order of arrival")
{
    Admission admission(AdmissionPolicy::FirstInFirstOut);
    auto first = waiting("first", 2, "a");
    first.arrived = start - Seconds(1);
    admission.enqueue(waiting("second", 0, "a"), start);
    admission.enqueue(first, start);
    CHECK(admission.next(pool, start)->request.value == "first");
}
