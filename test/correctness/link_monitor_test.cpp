// Tests how an instance tells its own lost links from upstreams that are down, and to which peers it sends requests then.

#include "core/routing/link_load.h"
#include "core/routing/link_monitor.h"
#include "core/routing/relay_choice.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };

std::map<ServiceId, std::vector<UpstreamEntry>> upstreams(int services, int each)
{
    std::map<ServiceId, std::vector<UpstreamEntry>> all;
    for (int s = 0; s < services; ++s) {
        for (int n = 0; n < each; ++n) {
            auto id = "s" + std::to_string(s) + "-" + std::to_string(n);
            all[{ "s" + std::to_string(s) }].push_back({ .id = { id }, .service = { "s" + std::to_string(s) }, .domain = { "d" + std::to_string(n % 3) } });
        }
    }
    return all;
}

// Runs a round at this time; each check ends 200 ms later. Returns the number of checks.
std::size_t runRound(LinkMonitor& monitor, const std::map<ServiceId, std::vector<UpstreamEntry>>& all, TimePoint now, const std::function<bool(const UpstreamEntry&)>& isReached)
{
    auto chosen = monitor.beginRound(all, now);
    for (const auto& it : chosen)
        monitor.checkEnded(isReached(it), now + 200ms);
    return chosen.size();
}

bool nobody(const UpstreamEntry&) { return false; }
bool everybody(const UpstreamEntry&) { return true; }

}

// Guards against upstreams that are blamed, and callers who wait, for the lost links of an instance.
TEST_CASE("an instance finds out within a second that it has lost its links")
{
    LinkMonitor monitor(1);
    auto all = upstreams(2, 3);
    monitor.connected(start);

    SECTION("under load a failed connection starts a round, which spreads over services and domains")
    {
        monitor.heardNothing({ { "s0-0" }, { "id-1" }, {} });
        auto chosen = monitor.beginRound(all, start + 300ms);
        REQUIRE(chosen.size() == 4);
        std::set<ServiceId> services;
        std::set<DomainId> domains;
        for (const auto& it : chosen) {
            services.insert(it.service);
            domains.insert(it.domain);
        }
        CHECK(services.size() == 2);
        CHECK(domains.size() == 3);
        CHECK(monitor.beginRound(all, start + 310ms).empty());
        for (int n = 0; n < 4; ++n) {
            CHECK_FALSE(monitor.isLost());
            monitor.checkEnded(false, start + 500ms);
        }
        CHECK(monitor.isLost());
        CHECK(monitor.takeFailures().empty());
        auto events = monitor.takeEvents();
        REQUIRE(events.size() == 1);
        CHECK(events[0].isLost);
        CHECK(events[0].checked == 4);
        CHECK(events[0].duration == 500ms);
    }
    SECTION("without requests, a round starts when no connection was made for a while")
    {
        CHECK(monitor.beginRound(all, start + 390ms).empty());
        CHECK(runRound(monitor, all, start + 400ms, nobody) == 4);
        CHECK(monitor.isLost());
    }
    SECTION("as long as connections are made, nothing is checked")
    {
        for (auto now = start; now < start + 5s; now += 300ms) {
            monitor.connected(now);
            CHECK(monitor.beginRound(all, now + 50ms).empty());
        }
    }
}

TEST_CASE("upstreams that are down are not taken for lost links")
{
    LinkMonitor monitor(1);
    auto all = upstreams(2, 3);
    monitor.connected(start);

    SECTION("one service is down, the other is not: its failures count against it")
    {
        for (int n = 0; n < 3; ++n)
            monitor.heardNothing({ { "s0-" + std::to_string(n) }, { "id" }, {} });
        CHECK(monitor.takeFailures().empty());
        runRound(monitor, all, start + 300ms, [](const UpstreamEntry& it) { return it.service.value == "s1"; });
        CHECK_FALSE(monitor.isLost());
        CHECK(monitor.takeFailures().size() == 3);
    }
    SECTION("the retry of the request reaches another one: the failure counts at once")
    {
        monitor.heardNothing({ { "s0-0" }, { "id-1" }, {} });
        monitor.connected(start + 5ms);
        REQUIRE(monitor.takeFailures().size() == 1);
        CHECK(monitor.beginRound(all, start + 300ms).empty());
    }
    SECTION("one of four checks is reached over a lossy link")
    {
        int n = 0;
        CHECK(runRound(monitor, all, start + 1s, [&](const UpstreamEntry&) { return ++n == 4; }) == 4);
        CHECK_FALSE(monitor.isLost());
    }
    SECTION("no upstream is known")
    {
        CHECK(monitor.beginRound({}, start + 10s).empty());
        CHECK_FALSE(monitor.isLost());
    }
}

// Guards against an instance that passes a large change on to many peers and takes its link, which is full of it, for a lost one.
TEST_CASE("a link that is full of what the instance sends is not taken for a lost one")
{
    LinkMonitor monitor(1);
    auto all = upstreams(2, 3);
    monitor.connected(start);
    // Ten peers fetch 100 KB each over 10 Mbit/s.
    LinkLoad load(10);
    for (int n = 0; n < 10; ++n)
        load.sent(100'000, start + 300ms);
    CHECK(load.fullUntil() == start + 1100ms);
    monitor.setFullUntil(load.fullUntil());

    SECTION("rounds that begin meanwhile do not decide, and connections show that it is whole")
    {
        CHECK(runRound(monitor, all, start + 400ms, nobody) == 4);
        CHECK(runRound(monitor, all, start + 900ms, nobody) == 4);
        CHECK_FALSE(monitor.isLost());
        runRound(monitor, all, start + 1300ms, everybody);
        CHECK_FALSE(monitor.isLost());
    }
    SECTION("the round after that decides")
    {
        runRound(monitor, all, start + 900ms, nobody);
        runRound(monitor, all, start + 1400ms, nobody);
        CHECK(monitor.isLost());
    }
    SECTION("an instance that goes on passing changes on finds out in time")
    {
        monitor.setFullUntil(start + 10s);
        for (auto now = start + 400ms; now < start + 2s && !monitor.isLost(); now += 450ms)
            runRound(monitor, all, now, nobody);
        CHECK(monitor.isLost());
    }
    SECTION("the rate is not known: nothing counts as full")
    {
        LinkLoad unknown(0);
        unknown.sent(10'000'000, start + 300ms);
        monitor.setFullUntil(unknown.fullUntil());
        runRound(monitor, all, start + 400ms, nobody);
        CHECK(monitor.isLost());
    }
}

TEST_CASE("links count as regained after two good rounds, so that a link that comes and goes does not switch each time")
{
    LinkMonitor monitor(1);
    auto all = upstreams(2, 3);
    runRound(monitor, all, start, nobody);
    REQUIRE(monitor.isLost());
    CHECK(monitor.wereLostSince(start + 100s));

    SECTION("a connection of a request is not enough, nor is a single round")
    {
        monitor.connected(start + 300ms);
        CHECK(monitor.isLost());
        runRound(monitor, all, start + 500ms, everybody);
        CHECK(monitor.isLost());
        runRound(monitor, all, start + 1s, nobody);
        runRound(monitor, all, start + 1500ms, everybody);
        CHECK(monitor.isLost());
        runRound(monitor, all, start + 2s, everybody);
        CHECK_FALSE(monitor.isLost());
        CHECK(monitor.wereLostSince(start));
        CHECK_FALSE(monitor.wereLostSince(start + 2300ms));
        CHECK(monitor.takeEvents().size() == 2);
    }
    SECTION("rounds in which most checks fail do not count")
    {
        for (int round = 1; round < 10; ++round) {
            int n = 0;
            runRound(monitor, all, start + round * 500ms, [&](const UpstreamEntry&) { return ++n == 1; });
        }
        CHECK(monitor.isLost());
    }
    SECTION("in a site of one upstream, that one decides")
    {
        auto one = upstreams(1, 1);
        for (int round = 1; round < 3; ++round)
            CHECK(runRound(monitor, one, start + round * 500ms, everybody) == 1);
        CHECK_FALSE(monitor.isLost());
    }
}

// Guards against crashes that are counted for connections which the instance's own links lost.
TEST_CASE("connections to several upstreams that end together were lost by the instance's own links")
{
    LinkMonitor monitor(1);
    CHECK_FALSE(monitor.connectionLost({ "u1" }, start));
    CHECK_FALSE(monitor.connectionLost({ "u1" }, start + 10ms));
    CHECK_FALSE(monitor.connectionLost({ "u2" }, start + 20ms));
    CHECK(monitor.connectionLost({ "u3" }, start + 30ms));
    CHECK_FALSE(monitor.connectionLost({ "u4" }, start + 500ms));
}

// Guards against a few peers that are swamped by the requests of all instances that were cut off together.
TEST_CASE("requests that go by way of peers are spread over those that reach the upstreams")
{
    for (auto instances : { 8, 73, 350 }) {
        auto cut = GENERATE_COPY(1, instances / 3, instances - 2);
        CAPTURE(instances, cut);
        std::vector<RelayCandidate> candidates;
        for (int n = cut; n < instances; ++n)
            candidates.push_back({ { "edge-" + std::to_string(n) }, { "d" + std::to_string(n % 3) }, {} });
        std::map<InstanceId, int> received;
        constexpr int requests = 60;
        for (int n = 0; n < cut; ++n) {
            RelayChoice relays(static_cast<std::uint64_t>(n) + 1);
            for (int request = 0; request < requests; ++request) {
                const auto* peer = relays.choose(candidates, { "d" + std::to_string(n % 3) }, {});
                REQUIRE(peer);
                ++received[peer->id];
                relays.begun(peer->id);
            }
        }
        auto mean = static_cast<double>(cut) * requests / static_cast<double>(candidates.size());
        for (const auto& [id, count] : received)
            CHECK(count < 2 * mean + 10);
    }
    SECTION("a peer that was tried is left out, and a request that ended no longer counts")
    {
        RelayChoice relays(7);
        std::vector<RelayCandidate> candidates { { { "a" }, { "d" }, {} }, { { "b" }, { "e" }, {} } };
        CHECK(relays.choose(candidates, { "d" }, { { "a" } })->id.value == "b");
        CHECK_FALSE(relays.choose(candidates, { "d" }, { { "a" }, { "b" } }));
        for (int n = 0; n < 50; ++n) {
            relays.begun({ "a" });
            relays.ended({ "a" });
        }
        std::map<InstanceId, int> chosen;
        for (int n = 0; n < 100; ++n)
            ++chosen[relays.choose(candidates, { "d" }, {})->id];
        CHECK(chosen[{ "a" }] > chosen[{ "b" }]);
    }
}
