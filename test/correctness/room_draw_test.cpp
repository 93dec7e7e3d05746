// Tests how instances that see the same outdated loads spread their requests over the upstreams of a service, without a network.

#include "core/scheduling/room_draw.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace skylarkhitch;

namespace {

// Draws that many upstreams by one view of their loads, and returns how often each was drawn.
std::vector<int> drawn(const std::vector<RoomCandidate>& view, int draws)
{
    std::mt19937_64 random(7);
    std::vector<int> counts(view.size());
    for (int n = 0; n < draws; ++n)
        ++counts[drawByRoom(view, random)];
    return counts;
}

}

// 88 instances send 120 requests a second to three upstreams with six places each, and their views are half a second old.
TEST_CASE("instances with one outdated view do not send all requests to the upstream with the least load")
{
    SECTION("loads that differ by one request are taken for alike")
    {
        auto counts = drawn({ { 1.0 / 6, 6 }, { 2.0 / 6, 6 }, { 2.0 / 6, 6 } }, 6000);
        CHECK(*std::max_element(counts.begin(), counts.end()) <= 3000);
        CHECK(*std::min_element(counts.begin(), counts.end()) >= 1400);
    }
    SECTION("an upstream that is full gets next to nothing")
    {
        auto counts = drawn({ { 0.3, 6 }, { 0.3, 6 }, { 1.2, 6 } }, 6000);
        CHECK(counts[2] <= 60);
    }
    SECTION("an upstream with twice the places gets twice as many")
    {
        auto counts = drawn({ { 0.5, 12 }, { 0.5, 6 } }, 6000);
        CHECK(counts[0] >= 3700);
        CHECK(counts[0] <= 4300);
    }
    SECTION("the own domain comes first while it has room")
    {
        auto counts = drawn({ { 0.5, 6, false }, { 0.5, 6, true }, { 0.5, 6, true } }, 6000);
        CHECK(counts[0] > counts[1]);
        CHECK(counts[0] > counts[2]);
    }
    SECTION("if all are full, each is still asked")
    {
        auto counts = drawn({ { 2, 6 }, { 3, 6 }, { 1, 6 } }, 6000);
        CHECK(*std::min_element(counts.begin(), counts.end()) >= 1500);
    }
}
