// Tests when an instance takes the store for lost, without a network.

#include "core/membership/store_outage.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

// 73 instances go by the copies of their hubs, which are up to 1.5 s old and counted as served up to 2.1 s.
TEST_CASE("a lost heartbeat of a hub is no outage of the store")
{
    StoreOutage outage;
    TimePoint now { 100s };
    REQUIRE_FALSE(outage.update(true, now));
    SECTION("the copy looks too old for half a second, again and again")
    {
        for (int n = 0; n < 20; ++n, now += 1s) {
            CHECK_FALSE(outage.update(false, now));
            CHECK_FALSE(outage.update(false, now + 250ms));
            CHECK_FALSE(outage.update(false, now + 500ms));
            CHECK_FALSE(outage.update(true, now + 750ms));
        }
    }
    SECTION("an instance that returns from a cut claims none until it has heard its peers for a while")
    {
        CHECK_FALSE(outage.mayClaim(true, now));
        CHECK(outage.mayClaim(true, now + 1s));
        CHECK_FALSE(outage.mayClaim(false, now + 2s));
        CHECK_FALSE(outage.mayClaim(true, now + 5s));
        CHECK_FALSE(outage.mayClaim(true, now + 5900ms));
        CHECK(outage.mayClaim(true, now + 6s));
    }
    SECTION("an outage that others claim of a time in which it served is none")
    {
        CHECK(outage.update(true, now + 10s) == false);
        CHECK(outage.refutes(now + 9s));
        CHECK_FALSE(outage.refutes(now));
        SECTION("unless this instance was paused then, or the store has come back from a copy")
        {
            outage.restart(now + 9s);
            CHECK_FALSE(outage.refutes(now + 9s));
            CHECK_FALSE(outage.refutes(now + 8s));
            CHECK(outage.refutes(now + 10s));
        }
        SECTION("and one that it saw itself is")
        {
            outage.update(false, now + 11s);
            CHECK_FALSE(outage.refutes(now + 12s));
            outage.update(true, now + 15s);
            CHECK_FALSE(outage.refutes(now + 14900ms));
            CHECK_FALSE(outage.refutes(now + 15200ms));
        }
    }
    SECTION("an outage is noticed, and lasts until the store serves")
    {
        CHECK_FALSE(outage.update(false, now));
        CHECK(outage.update(false, now + 600ms));
        CHECK(outage.update(false, now + 5s));
        CHECK_FALSE(outage.update(true, now + 6s));
        CHECK_FALSE(outage.update(false, now + 6100ms));
    }
}
