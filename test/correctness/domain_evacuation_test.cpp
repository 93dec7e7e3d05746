// Tests which failure domains are evacuated as orders come, go and spread, and which upstreams that leaves to requests.

#include "core/membership/fleet_heartbeat.h"
#include "core/membership/store_mirror.h"
#include "core/membership/store_revision.h"
#include "core/routing/domain_evacuation.h"
#include "edge/traffic_state.h"
#include "platform/store_codec.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

using Change = DomainEvacuations::Change;

constexpr TimePoint start { 1000s };
const DomainId north { "north" }, south { "south" };

std::string keyOf(const DomainId& domain) { return absl::StrCat("op/evacuate/", domain.value); }

// What an instance knows of the store and of evacuations.
struct Instance {
    bool isReadingCopy = false;
    TimePoint now = start;
    DomainEvacuations evacuations;
    StoreMirror mirror { [this](const std::string& key, const StoreMirror::Item* item) {
        auto document = platform::decodeDocumentKey(key);
        if (document.kind != platform::DocumentKind::Evacuation)
            return;
        if (item)
            evacuations.ordered({ document.name }, item->revision, now);
        else
            evacuations.removed({ document.name }, isReadingCopy, now);
    } };

    Instance() = default;
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    void apply(const MirrorUpdate& update)
    {
        isReadingCopy = mirror.revision() > 0 && eraOf(update.revision) > eraOf(mirror.revision());
        mirror.applyUpdate(update);
        isReadingCopy = false;
    }
    void catchUpFrom(const Instance& peer) { apply(peer.mirror.changesSince(mirror.revision())); }
    bool isEvacuated(const DomainId& domain) const { return evacuations.availability().isEvacuated(domain); }
};

// A snapshot of a store that has an unrelated key and these orders.
MirrorUpdate snapshot(std::int64_t revision, const std::map<DomainId, std::int64_t>& orders)
{
    MirrorUpdate update { revision, true, { { "op/config", revisionInEra(1, eraOf(revision)), "{}" } } };
    for (const auto& [domain, at] : orders)
        update.changes.push_back({ keyOf(domain), at, "" });
    return update;
}

MirrorUpdate written(const DomainId& domain, std::int64_t revision) { return { revision, false, { { keyOf(domain), revision, "" } } }; }
MirrorUpdate withdrawn(const DomainId& domain, std::int64_t revision) { return { revision, false, { { keyOf(domain), revision, std::nullopt } } }; }

}

TEST_CASE("an evacuation holds from its order to its withdrawal, whoever tells of them")
{
    Instance one, two;
    for (auto* it : { &one, &two })
        it->apply(snapshot(10, {}));
    one.apply(written(north, 11));
    REQUIRE(one.isEvacuated(north));
    REQUIRE_FALSE(two.isEvacuated(north));
    SECTION("an instance that the store turns away learns of both from a peer")
    {
        two.catchUpFrom(one);
        CHECK(two.isEvacuated(north));
        one.apply(withdrawn(north, 12));
        two.catchUpFrom(one);
        CHECK_FALSE(two.isEvacuated(north));
        CHECK(two.evacuations.availability().returnedAt.contains(north));
    }
    SECTION("one that is withdrawn while it spreads does not come back by a peer that is behind")
    {
        two.catchUpFrom(one);
        one.apply(withdrawn(north, 12));
        one.catchUpFrom(two);
        CHECK_FALSE(one.isEvacuated(north));
        SECTION("and reaches instances that have not heard of it as nothing")
        {
            Instance three;
            three.apply(snapshot(10, {}));
            three.catchUpFrom(one);
            CHECK_FALSE(three.isEvacuated(north));
            CHECK(three.evacuations.availability().returnedAt.empty());
        }
    }
    SECTION("a peer that has not heard of it takes it from nobody")
    {
        one.catchUpFrom(two);
        CHECK(one.isEvacuated(north));
    }
    SECTION("two orders at once hold and end separately")
    {
        one.apply(written(south, 12));
        CHECK(one.isEvacuated(north));
        CHECK(one.isEvacuated(south));
        one.apply(withdrawn(north, 13));
        CHECK_FALSE(one.isEvacuated(north));
        CHECK(one.isEvacuated(south));
    }
    SECTION("one that is withdrawn and given again at once holds")
    {
        one.apply({ 13, false, { { keyOf(north), 12, std::nullopt }, { keyOf(north), 13, "" } } });
        CHECK(one.isEvacuated(north));
        CHECK(one.evacuations.availability().returnedAt.empty());
    }
    SECTION("an instance that starts again in the middle finds it in the store")
    {
        Instance restarted;
        restarted.apply(snapshot(11, { { north, 11 } }));
        CHECK(restarted.isEvacuated(north));
    }
    SECTION("or at a peer, while the store is down for it")
    {
        Instance restarted;
        restarted.catchUpFrom(one);
        CHECK(restarted.isEvacuated(north));
    }
    SECTION("the store's loss of its history leaves it in force, and shows a withdrawal that was missed")
    {
        one.apply(snapshot(20, { { north, 11 } }));
        CHECK(one.isEvacuated(north));
        one.apply(snapshot(30, {}));
        CHECK_FALSE(one.isEvacuated(north));
    }
}

// Guards against requests in an evacuated domain, or a domain left unused, since the store came back from an older copy of itself.
TEST_CASE("an older copy of the store neither takes an evacuation back nor brings one back")
{
    constexpr auto inNewEra = [](std::int64_t revision) { return revisionInEra(revision, 1); };
    Instance one;
    one.apply(snapshot(10, {}));
    one.apply(written(north, 11));
    SECTION("if the copy lacks the order, it stays in force")
    {
        one.apply(snapshot(inNewEra(10), {}));
        REQUIRE(one.isEvacuated(north));
        SECTION("until it is written again and withdrawn")
        {
            one.apply(written(north, inNewEra(11)));
            CHECK(one.evacuations.kept(start).empty());
            CHECK(one.evacuations.expire(start + 400s).empty());
            one.apply(withdrawn(north, inNewEra(12)));
            CHECK_FALSE(one.isEvacuated(north));
        }
        SECTION("or until nobody has written it again for long")
        {
            CHECK(one.evacuations.expire(start + DomainEvacuations::repetitionTime).empty());
            CHECK(one.evacuations.expire(start + DomainEvacuations::repetitionTime + 1s) == std::vector<DomainId> { north });
            CHECK_FALSE(one.isEvacuated(north));
        }
        SECTION("and an instance that starts after the store came back learns of it from a heartbeat")
        {
            FleetHeartbeat heartbeat;
            heartbeat.readsDigests = true;
            heartbeat.evacuations = one.evacuations.kept(start + 2s);
            auto received = decodeHeartbeat(encodeHeartbeat(heartbeat));
            REQUIRE(received);
            REQUIRE(received->evacuations == std::vector<KeptEvacuation> { { north, 11, 2s } });
            Instance started;
            started.apply(snapshot(inNewEra(10), {}));
            REQUIRE_FALSE(started.isEvacuated(north));
            CHECK(started.evacuations.learn(received->evacuations[0], start + 2s) == Change::Evacuated);
            CHECK(started.isEvacuated(north));
            CHECK(started.evacuations.expire(start + DomainEvacuations::repetitionTime + 1s).size() == 1);
        }
        SECTION("and a peer that still keeps it does not bring it back after the withdrawal")
        {
            auto kept = one.evacuations.kept(start + 1s);
            one.apply(written(north, inNewEra(11)));
            one.apply(withdrawn(north, inNewEra(12)));
            CHECK(one.evacuations.learn(kept[0], start + 2s) == Change::None);
            CHECK_FALSE(one.isEvacuated(north));
        }
    }
    SECTION("if the copy has an order that was withdrawn, the domain stays in use")
    {
        one.apply(withdrawn(north, 12));
        one.apply(snapshot(inNewEra(11), { { north, inNewEra(11) } }));
        CHECK_FALSE(one.isEvacuated(north));
        SECTION("until the operator orders it again")
        {
            one.apply(written(north, inNewEra(12)));
            CHECK(one.isEvacuated(north));
        }
    }
    SECTION("if the copy has the order, nothing changes")
    {
        one.apply(snapshot(inNewEra(11), { { north, inNewEra(11) } }));
        CHECK(one.isEvacuated(north));
        one.apply(withdrawn(north, inNewEra(12)));
        CHECK_FALSE(one.isEvacuated(north));
    }
}

// Load: a domain with cold upstreams returns to a fleet of 88 instances, each of which finds them idle.
TEST_CASE("the upstreams of a returned domain get their instances back one after the other")
{
    constexpr int instances = 88;
    DomainAvailability domains;
    domains.returnedAt[north] = start;
    for (int upstream = 0; upstream < 30; ++upstream) {
        UpstreamId id { absl::StrCat("i-", upstream) };
        auto countAt = [&](Milliseconds time) {
            int count = 0;
            for (int n = 0; n < instances; ++n)
                count += domains.isRefilled(north, id, { absl::StrCat("edge-", n) }, start + time) ? 1 : 0;
            return count;
        };
        int before = 0;
        for (auto time = 0ms; time <= DomainAvailability::refillTime; time += 500ms) {
            auto count = countAt(time);
            CAPTURE(upstream, time.count());
            CHECK(count >= before);
            CHECK(std::abs(count - instances * time / DomainAvailability::refillTime) <= 20);
            before = count;
        }
        CHECK(countAt(0ms) == 0);
        CHECK(countAt(DomainAvailability::refillTime) == instances);
    }
    CHECK(domains.isRefilled(south, { "i-1" }, { "edge-1" }, start));
}

// Load: two thirds of the upstreams have to take all requests.
TEST_CASE("low ranks yield first when the domains that are left have no room")
{
    auto yielding = [](std::int64_t requests) {
        std::vector<std::int64_t> ranks;
        for (std::int64_t rank = 0; rank <= 3; ++rank) {
            if (yieldsRoom({ 60, requests }, rank))
                ranks.push_back(rank);
        }
        return ranks;
    };
    CHECK(yielding(60).empty());
    CHECK(yielding(80).empty());
    CHECK(yielding(81) == std::vector<std::int64_t> { 3 });
    CHECK(yielding(91) == std::vector<std::int64_t> { 2, 3 });
    CHECK(yielding(121) == std::vector<std::int64_t> { 1, 2, 3 });
    CHECK_FALSE(yieldsRoom({ 60, 100000 }, 0));
    CHECK(yieldsRoom({ 0, 1 }, 1));
}

namespace {

const ServiceId assist { "assist" };

// A view with one upstream in each of two domains.
FleetView twoDomains()
{
    auto configuration = std::make_shared<RoutingConfiguration>();
    configuration->services[assist] = { assist, "/", 0, {} };
    FleetView view;
    view.configuration = configuration;
    view.upstreams[assist] = { { { "i-1" }, assist, "10.0.0.1:80", north, "v1", 4, true, 1, {} }, { { "i-2" }, assist, "10.0.0.2:80", south, "v1", 4, true, 1, {} } };
    return view;
}

}

TEST_CASE("requests leave an evacuated domain, whatever stage they are in")
{
    EventLoop loop;
    EdgeMetrics metrics;
    TrafficState traffic(loop, TrafficSettings { { "edge-1" } }, metrics);
    auto view = twoDomains();
    auto use = [&] { traffic.setView(std::make_shared<const FleetView>(view)); };
    auto eligible = [&] {
        std::vector<std::string> ids;
        for (const auto* it : traffic.findEligibleUpstreams(assist, {}, bootNow()).allowed)
            ids.push_back(it->id.value);
        return ids;
    };
    const auto inNorth = view.upstreams[assist][0], inSouth = view.upstreams[assist][1];
    use();
    REQUIRE(eligible().size() == 2);
    REQUIRE_FALSE(traffic.isHeld(inNorth, bootNow()));
    view.domains.evacuated = { north };
    use();
    SECTION("a new one, a repeated one or the rest of a stream goes elsewhere")
    {
        CHECK(eligible() == std::vector<std::string> { "i-2" });
    }
    SECTION("one that waits for its connection is held")
    {
        CHECK(traffic.isHeld(inNorth, bootNow()));
        CHECK_FALSE(traffic.isHeld(inSouth, bootNow()));
    }
    SECTION("and the instance's links are judged by the others")
    {
        traffic.recordSilence({ { "i-2" }, { "id" }, {} });
        auto checked = traffic.beginLinkChecks(bootNow());
        REQUIRE(checked.size() == 1);
        CHECK(checked[0].id.value == "i-2");
        traffic.recordLinkCheck(false);
        CHECK(traffic.links().isLost());
    }
    SECTION("a release whose upstreams are all there gives way to the other one")
    {
        view.upstreams[assist][0].release = "v2";
        view.rollouts[assist] = { "v2", RolloutStage::Half, false, {} };
        use();
        for (int n = 0; n < 20; ++n) {
            RoutedRequest request;
            request.session = absl::StrCat("session-", n);
            CHECK(traffic.findEligibleUpstreams(assist, request, bootNow()).allowed.front()->id.value == "i-2");
        }
    }
    SECTION("low ranks yield once the other domain is full")
    {
        CHECK_FALSE(traffic.mustYield(assist, 2));
        PeerUpdate update;
        update.work[{ "i-2" }].requests = 7;
        traffic.learn(update);
        CHECK(traffic.mustYield(assist, 2));
        CHECK_FALSE(traffic.mustYield(assist, 1));
        CHECK_FALSE(traffic.mustYield(assist, 0));
        SECTION("but not without an evacuation")
        {
            view.domains.evacuated.clear();
            use();
            CHECK_FALSE(traffic.mustYield(assist, 2));
        }
    }
    SECTION("the last domain that serves is left as well, and the instance stays ready to refuse at once")
    {
        view.domains.evacuated = { north, south };
        use();
        CHECK(eligible().empty());
        CHECK(traffic.isHeld(inSouth, bootNow()));
        CHECK(traffic.isReady());
    }
    SECTION("after its return it is used again")
    {
        view.domains.evacuated.clear();
        view.domains.returnedAt[north] = bootNow();
        use();
        CHECK_FALSE(traffic.isHeld(inNorth, bootNow()));
        CHECK(eligible() == std::vector<std::string> { "i-2" });
        view.domains.returnedAt[north] = bootNow() - DomainAvailability::refillTime;
        use();
        CHECK(eligible().size() == 2);
        SECTION("at once if there is no other")
        {
            view.domains.returnedAt[north] = bootNow();
            view.domains.evacuated = { south };
            use();
            CHECK(eligible() == std::vector<std::string> { "i-1" });
        }
    }
}
