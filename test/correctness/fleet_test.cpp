// Tests fleet membership by heartbeats, the replicated copy of the store, and the parser of event streams.

#include "core/membership/fleet_membership.h"
#include "core/membership/store_mirror.h"
#include "core/requests/event_stream_parser.h"

#include <absl/strings/escaping.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

FleetHeartbeat heartbeat(const std::string& name, std::uint64_t incarnation, std::uint64_t sequence, std::int64_t storeRevision = 5)
{
    FleetHeartbeat it;
    it.from = { { name }, incarnation };
    it.addresses = { "10.0.0.1:80", name + ":70" };
    it.domain = { "a" };
    it.sequence = sequence;
    it.ready = true;
    it.storeReachable = true;
    it.storeAge = 100ms;
    it.storeRevision = storeRevision;
    return it;
}

}

TEST_CASE("a heartbeat is unchanged after encoding and decoding")
{
    auto sent = heartbeat("edge-1", 9, 3);
    sent.domain = { "halle-a" };
    sent.storeReachable = true;
    sent.storeAge = 40ms;
    sent.sinceStoreUnreachable = 1200ms;
    sent.work[{ "i-1" }] = { 3, 4000 };
    sent.evidence[{ { "assist" }, "v2", "cards", { "small" } }] = { 7, 1, 900ms, { 7, 33.5, 161.25 }, 2 };
    sent.crashes["f00d"] = 2;
    sent.promptParts.quarantined = { { { "dead" }, 900ms, 10ms, 3, 1, 400ms }, { { "bad", "doc" }, 90ms, 10ms, 3, 0, 0ms, 20ms, 1 } };
    sent.limits = { { "i-1/7", 2.5, 40ms }, { "i-2/7", std::nullopt, 10ms } };
    sent.sessions = { { 77, "v2", 300ms } };
    sent.known = { "10.0.0.2:70" };
    sent.rollouts = { { { "assist" }, "v2", 77, RolloutStage::Full, TimePoint { 5s } } };
    sent.configurationVersion = 12;
    sent.reachesUpstreams = false;
    sent.heldBack = { { { "i-3" }, { 100, 4, 20 }, true } };
    auto bytes = encodeHeartbeat(sent);
    auto decoded = decodeHeartbeat(bytes);
    REQUIRE(decoded);
    CHECK(decoded->from == sent.from);
    CHECK(decoded->domain == sent.domain);
    CHECK(decoded->storeReachable);
    CHECK(decoded->storeAge == 40ms);
    CHECK(decoded->sinceStoreUnreachable == 1200ms);
    CHECK(decoded->work.at({ "i-1" }).waitingTokens == 4000);
    CHECK(decoded->evidence == sent.evidence);
    CHECK(decoded->crashes == sent.crashes);
    REQUIRE(decoded->promptParts.quarantined.size() == 2);
    CHECK(decoded->promptParts.quarantined[0].parts == std::vector<std::string> { "dead" });
    CHECK(decoded->promptParts.quarantined[1].parts == std::vector<std::string> { "bad", "doc" });
    CHECK(decoded->promptParts.quarantined[1].trialAge == 20ms);
    CHECK(decoded->promptParts.quarantined[1].trialCrashes == 1);
    CHECK(decoded->promptParts.quarantined[0].probeAge == 400ms);
    REQUIRE(decoded->limits.size() == 2);
    CHECK(decoded->limits[0].requestsPerSecond == 2.5);
    CHECK_FALSE(decoded->limits[1].requestsPerSecond);
    CHECK(decoded->sessions.at(0).release == "v2");
    CHECK(decoded->known == sent.known);
    CHECK(decoded->configurationVersion == 12);
    CHECK_FALSE(decoded->reachesUpstreams);
    REQUIRE(decoded->rollouts.size() == 1);
    CHECK(decoded->rollouts[0].stage == RolloutStage::Full);
    CHECK(decoded->rollouts[0].revision == 77);
    CHECK(decoded->rollouts[0].startedAt == TimePoint { 5s });
    REQUIRE(decoded->heldBack.size() == 1);
    CHECK(decoded->heldBack[0].last.writes == 4);
    CHECK(decoded->heldBack[0].isDraining);
    SECTION("a truncated heartbeat is rejected")
    {
        for (std::size_t n = 0; n < bytes.size(); ++n)
            CHECK_FALSE(decodeHeartbeat(bytes.substr(0, n)));
    }
    SECTION("a message of another type is rejected") { CHECK_FALSE(decodeHeartbeat("\x83\x01\x02\x03")); }
}

// Guards against requests that are refused although the peer that held a crash against them found the upstream running.
TEST_CASE("a peer that tells of no crashes withdraws what it told before")
{
    FleetMembership fleet({ { "edge-1" }, 1 }, { "a" }, "edge-1:70");
    auto told = heartbeat("edge-2", 7, 1);
    told.crashes["f00d"] = 1;
    REQUIRE(fleet.onHeartbeat(told, start));
    CHECK(fleet.crashesByProcess(start).at({ { "edge-2" }, 7 }).contains("f00d"));

    SECTION("the process itself")
    {
        REQUIRE(fleet.onHeartbeat(heartbeat("edge-2", 7, 2), start + 500ms));
        CHECK(fleet.crashesByProcess(start + 500ms).at({ { "edge-2" }, 7 }).empty());
        CHECK(fleet.peerCrashes(start + 500ms).empty());
    }
    SECTION("a later process of the peer says nothing of it")
    {
        REQUIRE(fleet.onHeartbeat(heartbeat("edge-2", 8, 1), start + 500ms));
        CHECK_FALSE(fleet.crashesByProcess(start + 500ms).contains({ { "edge-2" }, 7 }));
    }
    SECTION("and neither does a peer that is silent")
    {
        CHECK(fleet.crashesByProcess(start + 1h).empty());
    }
}

// Guards against machines that are replaced one after the other and do not understand each other's heartbeats.
TEST_CASE("heartbeats of the build b7be96e are read, and it finds in ours all that it reads")
{
    // Written by that build.
    auto bytes = absl::HexStringToBytes(
        "9766656467652d31096768616c6c652d616b31302e302e302e313a38306b31302e302e302e313a373003f5f40518281904b0818363692d3103190fa0"
        "818b6661737369737462763265636172647365736d616c6c070119038407fa42060000fa432140000281826466303064028183184d62763219012c81"
        "6b31302e302e302e323a3730f58380808080818566617373697374627632184d6466756c6c1a004c4b40818563692d3318640414f50cf4");
    auto decoded = decodeHeartbeat(bytes);
    REQUIRE(decoded);
    CHECK(decoded->from == Incarnation { { "edge-1" }, 9 });
    CHECK(decoded->storeRevision == 5);
    CHECK(decoded->sinceStoreUnreachable == 1200ms);
    CHECK(decoded->work.at({ "i-1" }).waitingTokens == 4000);
    CHECK(decoded->evidence.at({ { "assist" }, "v2", "cards", { "small" } }) == ReleaseCounters { 7, 1, 900ms, { 7, 33.5, 161.25 }, 2 });
    CHECK(decoded->crashes.at("f00d") == 2);
    CHECK(decoded->sessions.at(0).age == 300ms);
    CHECK(decoded->rollouts.at(0).stage == RolloutStage::Full);
    CHECK(decoded->heldBack.at(0).isDraining);
    CHECK(decoded->configurationVersion == 12);
    CHECK_FALSE(decoded->reachesUpstreams);
    CHECK_FALSE(decoded->readsDigests);
    SECTION("written again it is the same")
    {
        CHECK(encodeHeartbeat(*decoded) == bytes);
    }
    SECTION("the fields of that build stay what they were; one that it ignores follows")
    {
        decoded->readsDigests = decoded->asksForDigest = true;
        decoded->digest.emplace();
        auto ours = nlohmann::json::from_cbor(encodeHeartbeat(*decoded));
        REQUIRE(ours.size() == 24);
        ours.erase(23);
        CHECK(ours == nlohmann::json::from_cbor(bytes));
    }
}

TEST_CASE("instances tell each other memory and speed of engines beside builds that do not")
{
    FleetHeartbeat sent;
    sent.from = { { "edge-1" }, 9 };
    sent.work[{ "i-1" }] = { 3, 4000, { 36000, 250000 }, { -6.5, 11.25 } };
    sent.work[{ "i-2" }] = { 1, 50, {}, {} };
    auto isClose = [](const SpeedObservations& a, const SpeedObservations& b) { return std::abs(a.logSum - b.logSum) < 0.006 && std::abs(a.weight - b.weight) < 0.006; };

    SECTION("in a heartbeat")
    {
        auto decoded = decodeHeartbeat(encodeHeartbeat(sent));
        REQUIRE(decoded);
        CHECK(decoded->work.at({ "i-1" }).committed == MemoryCommitment { 36000, 250000 });
        CHECK(isClose(decoded->work.at({ "i-1" }).speed, { -6.5, 11.25 }));
        CHECK(decoded->work.at({ "i-2" }) == UpstreamWork { 1, 50, {}, {} });
    }
    SECTION("in a digest, whose first six elements are what other builds read")
    {
        FleetDigest digest;
        digest.sums = { 2, sent.work, {} };
        auto json = toJson(digest);
        REQUIRE(json.size() == 7);
        auto decoded = fleetDigestFrom(json);
        CHECK(decoded.sums.work.at({ "i-1" }).committed == MemoryCommitment { 36000, 250000 });
        CHECK(isClose(decoded.sums.work.at({ "i-1" }).speed, { -6.5, 11.25 }));
        auto old = json;
        old.erase(6);
        auto fromOld = fleetDigestFrom(old);
        CHECK(fromOld.sums.work.at({ "i-1" }) == UpstreamWork { 3, 4000, {}, {} });
        SECTION("a cut row is left out")
        {
            auto bytes = json.at(6).get_binary();
            bytes.resize(bytes.size() - 2);
            json.at(6) = nlohmann::json::binary(bytes);
            CHECK(fleetDigestFrom(json).sums.work.at({ "i-2" }) == UpstreamWork { 1, 50, {}, {} });
            CHECK(fleetDigestFrom(json).sums.work.at({ "i-1" }).committed.tokens == 36000);
        }
    }
    SECTION("a row of another build has neither, and one of ours has in front what it reads")
    {
        auto ours = nlohmann::json::from_cbor(encodeHeartbeat(sent));
        auto& rows = ours.at(11);
        REQUIRE(rows.size() == 2);
        CHECK(rows.at(1) == nlohmann::json::array({ "i-2", 1, 50 }));
        CHECK(rows.at(0).at(0) == "i-1");
        CHECK(rows.at(0).at(1) == 3);
        CHECK(rows.at(0).at(2) == 4000);
        rows.at(0) = nlohmann::json::array({ "i-1", 3, 4000 });
        std::string bytes;
        nlohmann::json::to_cbor(ours, bytes);
        CHECK(decodeHeartbeat(bytes)->work.at({ "i-1" }) == UpstreamWork { 3, 4000, {}, {} });
    }
    SECTION("wild figures of a peer are taken as the nearest that can be")
    {
        auto ours = nlohmann::json::from_cbor(encodeHeartbeat(sent));
        ours.at(11).at(0) = nlohmann::json::array({ "i-1", 3, 4000, -5, std::uint64_t { 1 } << 63, -(std::int64_t { 1 } << 62), 50 });
        std::string bytes;
        nlohmann::json::to_cbor(ours, bytes);
        auto decoded = decodeHeartbeat(bytes);
        REQUIRE(decoded);
        const auto& work = decoded->work.at({ "i-1" });
        CHECK(work.committed.tokens == 0);
        CHECK(work.committed.variance > 0);
        CHECK(work.speed.weight == 0.5);
        CHECK(work.speed.logSum == -1);
    }
    SECTION("what an instance told is taken out of a sum again")
    {
        auto sum = sent.work[{ "i-1" }];
        add(sum, { 2, 100, { 500, 9 }, { 1, 2 } });
        subtract(sum, { 2, 100, { 500, 9 }, { 1, 2 } });
        CHECK(sum == sent.work[{ "i-1" }]);
        subtract(sum, { 9, 9000, { 90000, 900000 }, { 1, 20 } });
        CHECK(sum == UpstreamWork {});
    }
}

TEST_CASE("a success whose latency is no evidence changes no mean latency")
{
    ReleaseCounters counters;
    addSuccessWithoutLatency(counters);
    CHECK(counters.done == 1);
    counters = {};
    addSuccess(counters, 100ms);
    addSuccess(counters, 300ms);
    auto before = counters.logLatencies;
    addSuccessWithoutLatency(counters);
    CHECK(counters.done == 3);
    CHECK(counters.latency == 600ms);
    CHECK(counters.logLatencies == before);
}

TEST_CASE("instances are live while their heartbeats arrive")
{
    FleetMembership membership({ { "self" }, 1 }, { "a" }, "self:70");
    CHECK(membership.onHeartbeat(heartbeat("edge-1", 1, 5), start));
    SECTION("an instance without recent heartbeats is not live")
    {
        CHECK(membership.livePeers(start + 1s).size() == 1);
        CHECK(membership.livePeers(start + 2s).empty());
    }
    SECTION("late and duplicate heartbeats are ignored, and a new incarnation restarts the sequence")
    {
        CHECK_FALSE(membership.onHeartbeat(heartbeat("edge-1", 1, 5), start + 1s));
        CHECK_FALSE(membership.onHeartbeat(heartbeat("edge-1", 1, 4), start + 1s));
        CHECK(membership.onHeartbeat(heartbeat("edge-1", 2, 1), start + 1s));
        CHECK_FALSE(membership.onHeartbeat(heartbeat("edge-1", 1, 9), start + 1s));
    }
    SECTION("an instance ignores its own heartbeat") { CHECK_FALSE(membership.onHeartbeat(heartbeat("self", 1, 1), start)); }
    SECTION("addresses known to peers become receivers, except the instance's own")
    {
        auto other = heartbeat("edge-2", 1, 1);
        other.known = { "edge-3:70", "self:70" };
        membership.onHeartbeat(other, start);
        CHECK(membership.nextReceivers(start) == std::vector<std::string> { "edge-1:70", "edge-2:70", "edge-3:70" });
    }
    SECTION("an instance that is behind chooses the peer with the highest store revision")
    {
        membership.onHeartbeat(heartbeat("edge-2", 1, 1, 9), start);
        REQUIRE(membership.peerAheadOf(5, start));
        CHECK(membership.peerAheadOf(5, start)->heartbeat.from.instance.value == "edge-2");
        CHECK_FALSE(membership.peerAheadOf(9, start));
    }
}

// Traffic between domains and store calls have a cost, so a site of 80 instances limits both. Every instance must still
// learn of changes within 2 s.
TEST_CASE("a large site sends most heartbeats within a domain")
{
    FleetMembership membership({ { "edge-50" }, 1 }, { "a" }, "edge-50:70");
    std::map<std::string, DomainId> listed;
    for (int n = 10; n < 90; ++n)
        listed["edge-" + std::to_string(n) + ":70"] = { n % 4 == 2 ? "a" : "b" };
    membership.setListedPeers(listed);
    auto receiveHeartbeat = [&](int number, TimePoint now, Milliseconds storeAge = 100ms) {
        static std::uint64_t sequence = 0;
        auto it = heartbeat("edge-" + std::to_string(number), 1, ++sequence);
        it.domain = { number % 4 == 2 ? "a" : "b" };
        it.storeAge = storeAge;
        membership.onHeartbeat(it, now);
    };
    SECTION("each heartbeat goes to the whole own domain and to other domains in rotation")
    {
        std::map<std::string, int> reached;
        for (int n = 0; n < 20; ++n) {
            auto receivers = membership.nextReceivers(start);
            CHECK(receivers.size() <= 19 + FleetMembership::otherDomainReceivers);
            for (const auto& it : receivers)
                ++reached[it];
        }
        CHECK(reached.size() == 79);
        CHECK(reached["edge-10:70"] == 20);
        CHECK(reached["edge-11:70"] == 1);
    }
    SECTION("an instance of another domain stays live despite less frequent heartbeats")
    {
        membership.nextReceivers(start);
        receiveHeartbeat(10, start);
        receiveHeartbeat(11, start);
        CHECK(membership.livePeers(start + 1s).size() == 2);
        CHECK(membership.livePeers(start + 2s).size() == 1);
        CHECK(membership.livePeers(start + 2s)[0]->heartbeat.from.instance.value == "edge-11");
    }
    SECTION("two instances per domain follow the store")
    {
        membership.nextReceivers(start);
        CHECK(membership.shouldFollowStore(start));
        receiveHeartbeat(10, start);
        CHECK(membership.shouldFollowStore(start));
        receiveHeartbeat(14, start);
        CHECK_FALSE(membership.shouldFollowStore(start));
    }
    SECTION("other instances take over when the followers are silent or their copies are stale")
    {
        membership.nextReceivers(start);
        receiveHeartbeat(10, start);
        receiveHeartbeat(14, start);
        CHECK(membership.shouldFollowStore(start + 1500ms));
        receiveHeartbeat(10, start + 2s, 2000ms);
        receiveHeartbeat(14, start + 2s, 2000ms);
        CHECK(membership.shouldFollowStore(start + 2s));
    }
    SECTION("the size of the fleet includes all listed instances") { CHECK(membership.size(start) == 80); }
}

// Guards against store calls that grow with the instances of a site.
TEST_CASE("three instances of a small site follow the store, in whatever domains they are")
{
    constexpr int instances = 18;
    auto followers = [&](const std::function<void(FleetHeartbeat&, int)>& change) {
        int count = 0;
        for (int self = 0; self < instances; ++self) {
            auto name = [](int n) { return "edge-" + std::to_string(10 + n); };
            FleetMembership membership({ { name(self) }, 1 }, { std::to_string(self % 5) }, name(self) + ":70");
            for (int n = 0; n < instances; ++n) {
                auto it = heartbeat(name(n), 1, 1);
                it.domain = { std::to_string(n % 5) };
                change(it, n);
                membership.onHeartbeat(it, start);
            }
            membership.nextReceivers(start);
            count += membership.shouldFollowStore(start) ? 1 : 0;
        }
        return count;
    };
    CHECK(followers([](FleetHeartbeat&, int) {}) == 3);
    SECTION("others in their place if the store turns them away or they leave")
    {
        CHECK(followers([](FleetHeartbeat& it, int n) { it.storeReachable = n >= 3; }) >= 3);
        CHECK(followers([](FleetHeartbeat& it, int n) { it.leaving = n < 2; }) >= 3);
    }
    SECTION("others in turn if none has had a reply lately, at once and until all do")
    {
        CHECK(followers([](FleetHeartbeat& it, int) { it.storeAge = 3s; }) == 5);
        CHECK(followers([](FleetHeartbeat& it, int) { it.storeReachable = false; }) == 5);
    }
    SECTION("an instance whose last reply is old is no evidence that the store is reachable")
    {
        FleetMembership membership({ { "self" }, 1 }, { "a" }, "self:70");
        membership.onHeartbeat(heartbeat("edge-1", 1, 1), start);
        const auto& peer = membership.peers().at({ "edge-1" });
        CHECK(membership.reachesStore(peer, start + 2s));
        CHECK_FALSE(membership.reachesStore(peer, start + 3s));
    }
}

// Guards against an outage of the store, or a store that turns some instances away, in which all instances of a site call it again
// and again: refused calls are charged for as well.
TEST_CASE("while the followers of the store lack replies, others take their place in turn")
{
    constexpr std::size_t instances = 60;
    // Instances of a domain without hubs that follow the store, if those with these numbers reach it.
    struct Domain {
        std::vector<StoreFollowing> instances { 60 };
        std::vector<bool> areFollowing = std::vector<bool>(60);

        std::size_t advance(TimePoint now, const std::function<bool(std::size_t)>& canReach)
        {
            std::vector<bool> reaching;
            for (std::size_t n = 0; n < instances.size(); ++n)
                reaching.push_back(areFollowing[n] && canReach(n));
            for (std::size_t n = 0; n < instances.size(); ++n) {
                StoreFollowing::Peers peers { .followers = 2, .preceding = n };
                for (std::size_t other = 0; other < instances.size(); ++other) {
                    peers.precedingReaching += other < n && reaching[other] ? 1 : 0;
                    peers.areReplied = peers.areReplied || (other != n && reaching[other]);
                }
                areFollowing[n] = instances[n].shouldFollow(peers, now);
            }
            return static_cast<std::size_t>(std::count(areFollowing.begin(), areFollowing.end(), true));
        }
    };
    Domain domain;
    auto runTo = [&, now = start](Milliseconds end, const std::function<bool(std::size_t)>& canReach) mutable {
        std::size_t count = 0;
        for (; now < start + end; now += 250ms)
            count = domain.advance(now, canReach);
        return count;
    };
    CHECK(runTo(3s, [](std::size_t) { return true; }) == 2);
    SECTION("a few in a short outage, all of them in the end")
    {
        CHECK(runTo(7s, [](std::size_t) { return false; }) <= 12);
        CHECK(runTo(40s, [](std::size_t) { return false; }) == instances);
        SECTION("and two once it is over")
        {
            CHECK(runTo(42s, [](std::size_t) { return true; }) == 2);
        }
    }
    SECTION("two more if the store turns the first ones away")
    {
        CHECK(runTo(9s, [](std::size_t n) { return n >= 2; }) == 4);
    }
    SECTION("delays after failures double, and differ between instances")
    {
        CHECK(StoreFollowing::retryDelay(0, 0) == 200ms);
        CHECK(StoreFollowing::retryDelay(0, 1) == 400ms);
        CHECK(StoreFollowing::retryDelay(1, 0.5) == 600ms);
        CHECK(StoreFollowing::retryDelay(1000, 1) == 1600ms);
    }
}

// Guards against a start of a large site in which each instance reads the whole list again with each of its entries.
TEST_CASE("the list of instances follows its entries one by one")
{
    ListedInstances listed;
    CHECK_FALSE(listed.takeChanged());
    listed.set("a", ListedPeer { "10.0.0.1:70", { "d1" } });
    listed.set("b", ListedPeer { "10.0.0.2:70", { "d2" } });
    CHECK(listed.takeChanged());
    CHECK(listed.peers() == std::map<std::string, DomainId> { { "10.0.0.1:70", { "d1" } }, { "10.0.0.2:70", { "d2" } } });
    SECTION("an entry that is written again changes nothing")
    {
        listed.set("a", ListedPeer { "10.0.0.1:70", { "d1" } });
        listed.set("c", std::nullopt);
        CHECK_FALSE(listed.takeChanged());
    }
    SECTION("one with another address replaces the earlier one")
    {
        listed.set("a", ListedPeer { "10.0.0.3:70", { "d1" } });
        CHECK(listed.takeChanged());
        CHECK(listed.peers().contains("10.0.0.3:70"));
        CHECK_FALSE(listed.peers().contains("10.0.0.1:70"));
    }
    SECTION("one that is removed or can no longer be read is gone, and another one with its address stays")
    {
        listed.set("c", ListedPeer { "10.0.0.1:70", { "d1" } });
        listed.set("a", std::nullopt);
        CHECK(listed.takeChanged());
        CHECK(listed.peers().size() == 2);
        listed.set("c", std::nullopt);
        CHECK(listed.peers().size() == 1);
    }
}

// Guards against instances that pass on every heartbeat of every upstream.
TEST_CASE("writes that only renew an item are no news")
{
    int changes = 0, renewals = 0;
    auto isRenewal = [](const std::string&, const std::string& before, const std::string& after) { return before.substr(0, 1) == after.substr(0, 1); };
    StoreMirror mirror([&](const std::string&, const StoreMirror::Item*) { ++changes; }, { isRenewal, [&](const std::string&, const StoreMirror::Item*) { ++renewals; } });
    REQUIRE(mirror.applyUpdate({ 10, true, { { "a", 4, "a1" }, { "b", 9, "b1" } } }));
    CHECK(mirror.newsRevision() == 10);
    mirror.applyUpdate({ 14, false, { { "a", 12, "a2" }, { "b", 14, "b2" } } });
    CHECK(mirror.revision() == 14);
    CHECK(mirror.newsRevision() == 10);
    CHECK(mirror.find("a")->value == "a2");
    CHECK(renewals == 2);
    CHECK(mirror.changesSince(10).changes.empty());
    SECTION("a change among them is")
    {
        mirror.applyUpdate({ 17, false, { { "a", 15, "c" }, { "b", 17, "b3" } } });
        CHECK(mirror.newsRevision() == 15);
        CHECK(mirror.changesSince(10).changes.size() == 1);
        CHECK(changes == 3);
    }
    SECTION("so are a removal and a key that was not there")
    {
        mirror.applyUpdate({ 16, false, { { "a", 16, std::nullopt } } });
        CHECK(mirror.newsRevision() == 16);
        mirror.applyUpdate({ 17, false, { { "a", 17, "a9" } } });
        CHECK(mirror.newsRevision() == 17);
    }
    SECTION("a whole read without a change is none, one that lacks a key is")
    {
        mirror.applyUpdate({ 20, true, { { "a", 18, "a3" }, { "b", 19, "b3" } } });
        CHECK(mirror.newsRevision() == 10);
        mirror.applyUpdate({ 21, true, { { "a", 18, "a3" } } });
        CHECK(mirror.newsRevision() == 21);
    }
}

// Guards against instances that take all memory for changes that their peers may ask for.
TEST_CASE("the changes that are kept for peers are bounded in bytes")
{
    StoreMirror mirror([](const std::string&, const StoreMirror::Item*) {});
    REQUIRE(mirror.applyUpdate({ 10, true, { { "a", 4, "1" } } }));
    constexpr std::size_t longValue = 600000;
    for (std::int64_t n = 11; n <= 40; ++n)
        mirror.applyUpdate({ n, false, { { "servers/i-" + std::to_string(n % 2), n, std::string(longValue, 'x') } } });
    std::size_t bytes = 0;
    std::int64_t oldest = 40;
    // From each revision from which a peer gets changes.
    for (; oldest > 10 && !mirror.changesSince(oldest - 1).isSnapshot; --oldest)
        bytes += longValue;
    CHECK(bytes > longValue);
    CHECK(bytes <= std::size_t { 2 } << 20);
    SECTION("a peer that is further behind gets everything")
    {
        auto update = mirror.changesSince(oldest - 1);
        CHECK(update.isSnapshot);
        CHECK(update.changes.size() == 3);
    }
    SECTION("a change that is longer than all that is kept leaves nothing, and later ones are kept")
    {
        mirror.applyUpdate({ 41, false, { { "op/config", 41, std::string(std::size_t { 3 } << 20, 'x') } } });
        CHECK(mirror.changesSince(40).isSnapshot);
        CHECK(mirror.changesSince(41).changes.empty());
        mirror.applyUpdate({ 42, false, { { "a", 42, "2" } } });
        CHECK_FALSE(mirror.changesSince(41).isSnapshot);
        CHECK(mirror.changesSince(41).changes.size() == 1);
        CHECK(mirror.changesSince(40).isSnapshot);
    }
}

TEST_CASE("a copy of the store is updated and replicated to peers")
{
    std::vector<std::string> seen;
    StoreMirror mirror([&](const std::string& key, const StoreMirror::Item* item) { seen.push_back(key + (item ? "=" + item->value : " gone")); });
    REQUIRE(mirror.applyUpdate({ 10, true, { { "a", 4, "1" }, { "b", 9, "2" } } }));
    seen.clear();

    SECTION("incremental changes are applied")
    {
        CHECK(mirror.applyUpdate({ 12, false, { { "a", 11, "3" }, { "b", 12, std::nullopt } } }));
        CHECK(seen == std::vector<std::string> { "a=3", "b gone" });
        CHECK(mirror.revision() == 12);
    }
    SECTION("updates older than the copy are rejected, including stale reads")
    {
        CHECK_FALSE(mirror.applyUpdate({ 8, true, { { "a", 4, "old" } } }));
        CHECK_FALSE(mirror.applyUpdate({ 10, false, { { "a", 9, "old" } } }));
        CHECK(seen.empty());
    }
    SECTION("a snapshot removes keys that it does not contain")
    {
        CHECK(mirror.applyUpdate({ 20, true, { { "a", 4, "1" }, { "c", 15, "5" } } }));
        CHECK(seen == std::vector<std::string> { "c=5", "b gone" });
    }
    SECTION("a copy that is slightly behind gets only the changes")
    {
        mirror.applyUpdate({ 12, false, { { "a", 11, "3" }, { "b", 12, std::nullopt } } });
        auto update = mirror.changesSince(11);
        CHECK_FALSE(update.isSnapshot);
        REQUIRE(update.changes.size() == 1);
        CHECK(update.changes[0].key == "b");
    }
    // Guards against instances that wait for a peer which sends each of them every version of a configuration.
    SECTION("a copy that is behind gets only the last change of each key")
    {
        for (std::int64_t n = 11; n <= 40; ++n)
            mirror.applyUpdate({ n, false, { { n % 10 == 0 ? "a" : "b", n, n == 39 ? std::nullopt : std::optional(std::to_string(n)) } } });
        StoreMirror other([](const std::string&, const StoreMirror::Item*) {});
        other.applyUpdate({ 10, true, { { "a", 4, "1" }, { "b", 9, "2" } } });
        auto update = mirror.changesSince(10);
        CHECK(update.changes.size() == 2);
        CHECK(other.applyUpdate(update));
        CHECK(other.revision() == 40);
        CHECK(other.find("a")->value == "40");
        CHECK_FALSE(other.find("b"));
        CHECK(other.changesSince(35).changes.size() == 2);
    }
    SECTION("a copy that is new or far behind gets a snapshot")
    {
        CHECK(mirror.changesSince(0).isSnapshot);
        CHECK(mirror.changesSince(3).isSnapshot);
        StoreMirror other([](const std::string&, const StoreMirror::Item*) {});
        CHECK(other.applyUpdate(mirror.changesSince(0)));
        CHECK(other.items().size() == 2);
        CHECK(other.revision() == 10);
    }
    SECTION("a change newer than the revision of the snapshot that contained it still reaches copies that are behind")
    {
        // The store changed between the reads of the pages of this snapshot.
        mirror.applyUpdate({ 20, true, { { "a", 22, "new" }, { "b", 9, "2" } } });
        mirror.applyUpdate({ 25, false, { { "a", 22, "new" }, { "b", 25, "6" } } });
        StoreMirror other([](const std::string&, const StoreMirror::Item*) {});
        other.applyUpdate({ 20, true, { { "a", 4, "1" }, { "b", 9, "2" } } });
        CHECK(other.applyUpdate(mirror.changesSince(20)));
        CHECK(other.find("a")->value == "new");
        CHECK(other.find("b")->value == "6");
    }
}

TEST_CASE("a stream is split into complete events")
{
    EventStreamParser stream;
    SECTION("the events do not depend on how the bytes are split")
    {
        std::string all = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        std::string decoded;
        for (char c : all)
            decoded += stream.feed(std::string(1, c)).bytes;
        CHECK(decoded == all);
        CHECK(stream.last() == 3);
        CHECK_FALSE(stream.hasPartialEvent());
    }
    SECTION("after a restart a partial event is discarded and a repeated event is skipped")
    {
        CHECK(stream.feed("id: 1\ndata: a\n\nid: 2\nda").events == 1);
        CHECK(stream.hasPartialEvent());
        stream.restart();
        auto piece = stream.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        CHECK(piece.bytes == "id: 2\ndata: b\n\n");
    }
    SECTION("a caller that resumes does not receive earlier events again")
    {
        EventStreamParser resumed(5);
        CHECK(resumed.feed("id: 5\ndata: e\n\nid: 6\ndata: f\n\n").bytes == "id: 6\ndata: f\n\n");
    }
    SECTION("lines may end in LF or CRLF, and events may have no id")
    {
        CHECK(stream.feed("id: 1\r\ndata: a\r\n\r\n").events == 1);
        CHECK(stream.feed("data: b\n\n").events == 1);
        CHECK(stream.last() == 1);
    }
    SECTION("the id is found after other fields")
    {
        stream.feed("x-weight-versions: 2\nid: 4\ndata: a\n\n");
        CHECK(stream.last() == 4);
    }
}

// Guards against an outage of the store that a few instances claim which are cut off from all others, together with the store.
TEST_CASE("instances that are cut off together do not take each other for the site")
{
    FleetMembership membership({ { "edge-0" }, 1 }, { "a" }, "10.0.0.0:70");
    TimePoint now { 1000s };
    std::uint64_t sequence = 0;
    auto hear = [&](int first, int last) {
        ++sequence;
        for (int n = first; n <= last; ++n) {
            FleetHeartbeat heartbeat;
            heartbeat.from = { { absl::StrCat("edge-", n) }, 1 };
            heartbeat.domain = { "a" };
            heartbeat.addresses = { absl::StrCat("10.0.0.", n, ":80"), absl::StrCat("10.0.0.", n, ":70") };
            heartbeat.sequence = sequence;
            heartbeat.readsDigests = true;
            membership.onHeartbeat(heartbeat, now);
        }
    };
    CHECK_FALSE(membership.hearsMostPeers(now));
    hear(1, 7);
    CHECK(membership.hearsMostPeers(now));
    SECTION("two of seven are heard")
    {
        now += 5s;
        hear(1, 2);
        CHECK_FALSE(membership.hearsMostPeers(now));
    }
    SECTION("four of seven are heard, as after the loss of a domain")
    {
        now += 5s;
        hear(1, 4);
        CHECK(membership.hearsMostPeers(now));
    }
    SECTION("the others have been gone for more than a minute")
    {
        now += 61s;
        hear(1, 2);
        CHECK(membership.hearsMostPeers(now));
    }
}
