// Tests which upstreams are avoided after requests that were turned away as misdirected, on made-up times and without a network.

#include "core/routing/upstream_doubts.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

std::vector<UpstreamEntry> upstreams(int count)
{
    std::vector<UpstreamEntry> entries;
    for (int n = 0; n < count; ++n)
        entries.push_back({ .id = { absl::StrCat("u", n) } });
    return entries;
}

// Ids of the upstreams that are left to choose from.
std::vector<std::string> choices(const UpstreamDoubts& doubts, const std::vector<UpstreamEntry>& entries, TimePoint now, const std::vector<UpstreamId>& tried = {})
{
    std::vector<const UpstreamEntry*> allowed;
    for (const auto& it : entries)
        allowed.push_back(&it);
    doubts.avoid(allowed, tried, now);
    std::vector<std::string> ids;
    for (const auto* it : allowed)
        ids.push_back(it->id.value);
    return ids;
}

}

// Guards against an upstream that is taken for another one because of what its caller asked for.
TEST_CASE("a response to a misdirected request shows whose fault that is, if it says who sent it")
{
    const UpstreamId asked { "u1" };
    CHECK(misdirectionOf({ .status = 200 }, asked) == Misdirection::None);
    CHECK(misdirectionOf({ .status = 421, .isMisdirected = true }, asked) == Misdirection::Unknown);
    CHECK(misdirectionOf({ .status = 421, .isMisdirected = true, .answeringUpstream = asked }, asked) == Misdirection::Request);
    CHECK(misdirectionOf({ .status = 421, .isMisdirected = true, .answeringUpstream = UpstreamId { "u2" } }, asked) == Misdirection::Address);
}

// Guards against a caller who takes upstreams out of service, and against an address that is asked again and again although another
// upstream has it now.
TEST_CASE("an upstream in doubt is avoided for a bounded time, and never at the cost of a request")
{
    using Ids = std::vector<std::string>;
    UpstreamDoubts doubts;
    const auto entries = upstreams(4);
    const auto first = processName(entries[0]), second = processName(entries[1]);

    SECTION("without a doubt nobody is avoided")
    {
        CHECK(choices(doubts, entries, start).size() == 4);
    }
    SECTION("for two seconds")
    {
        CHECK(doubts.record(first, start));
        CHECK(choices(doubts, entries, start) == Ids { "u1", "u2", "u3" });
        CHECK(choices(doubts, entries, start + 1999ms).size() == 3);
        CHECK(choices(doubts, entries, start + 2s).size() == 4);
    }
    SECTION("until it accepts a request that was sent after the doubt began")
    {
        doubts.record(first, start);
        doubts.accepted(first, start - 1ms);
        CHECK(doubts.isDoubted(first, start + 1s));
        doubts.accepted(first, start);
        CHECK_FALSE(doubts.isDoubted(first, start + 1s));
        CHECK(doubts.size() == 0);
    }
    SECTION("for longer each time, if it never accepts one")
    {
        auto now = start;
        for (auto time : { 2s, 4s, 8s, 16s, 30s, 30s }) {
            CHECK(doubts.record(first, now));
            CHECK_FALSE(doubts.record(first, now + time - 1ms));
            CHECK(doubts.isDoubted(first, now + time - 1ms));
            now += time;
            CHECK_FALSE(doubts.isDoubted(first, now));
            doubts.forget(now);
        }
        SECTION("which is forgotten after a while")
        {
            doubts.forget(now + 30s);
            CHECK(doubts.size() == 0);
        }
    }
    SECTION("not if there is no other upstream")
    {
        const auto one = upstreams(1);
        doubts.record(first, start);
        CHECK(choices(doubts, one, start) == Ids { "u0" });
        SECTION("or the request was sent to all others before")
        {
            CHECK(choices(doubts, entries, start, { { "u1" }, { "u2" }, { "u3" } }).size() == 4);
        }
    }
    SECTION("not if more than a quarter of the upstreams are in doubt, since the others could not take their requests")
    {
        doubts.record(first, start);
        doubts.record(second, start);
        CHECK(choices(doubts, entries, start).size() == 4);
        CHECK(choices(doubts, upstreams(7), start).size() == 7);
        CHECK(choices(doubts, upstreams(8), start).size() == 6);
        SECTION("but one of two is")
        {
            doubts.accepted(second, start);
            CHECK(choices(doubts, upstreams(2), start) == Ids { "u1" });
        }
    }
}
