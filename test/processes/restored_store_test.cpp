// Tests entry instances as real processes while the platform's store is replaced by an older copy of itself.

#include "core/hashing.h"
#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <csignal>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

constexpr const char* order = R"({"backend":"orders","target":"v2","durationS":4})";

int statusWithKey(const EdgeInstance& instance, const std::string& key)
{
    return statusOf(sendRequest(instance, absl::StrCat("GET /status/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-k\r\nApi-Key: ", key, "\r\n\r\n")));
}

bool isInState(Site& site, const std::string& state) { return absl::StrContains(site.store.find("status/rollout/orders").value_or(""), state); }

// Sends requests to the target and to the other release alternately until the roll-out is completed.
bool isCompletedUnderLoad(Site& site, ScriptedUpstream& target, const EdgeInstance& instance)
{
    int n = 0;
    return waitUntil(8s, [&] {
        bool wantsTarget = site.received() > target.count();
        auto isCanary = [&] { return unitHash("rollout", absl::StrCat("id-", n)) < 0.05; };
        do
            ++n;
        while (isCanary() != wantsTarget);
        sendRequest(instance, requestBytes("GET", "/status/x", absl::StrCat("id-", n)));
        return isInState(site, "completed");
    });
}

bool hasSeenEra(const EdgeInstance& instance, int era)
{
    return waitUntil(3s, [&] { return !instance.linesContaining(absl::StrCat("what=store_restored era=", era)).empty(); });
}

}

// Guards against a roll-out that starts again as a canary when the copy lacks its order or its record.
TEST_CASE("a roll-out keeps its stage after the store came back from an older copy")
{
    Site site;
    ScriptedUpstream target("i-9", respondWith("hello"));
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto beforeOrder = site.store.put("servers/i-9", target.registration("orders", "ready", "v2"));
    auto atOrder = site.store.put("op/rollout/orders", order);
    bool isCompleted = isCompletedUnderLoad(site, target, instance);
    for (const auto& it : instance.linesContaining("roll"))
        UNSCOPED_INFO(it);
    REQUIRE(isCompleted);
    auto stages = instance.linesContaining("what=rollout_stage").size();

    SECTION("the record was lost, the order was not")
    {
        site.store.restore(atOrder);
        REQUIRE(hasSeenEra(instance, 1));
    }
    SECTION("the order was lost, too, and is written again under another revision")
    {
        site.store.restore(beforeOrder);
        REQUIRE(hasSeenEra(instance, 1));
        site.store.put("op/config", sampleConfiguration(4));
        site.store.put("op/rollout/orders", order);
    }
    SECTION("so it is after two returns in series")
    {
        site.store.restore(atOrder);
        site.store.restore(beforeOrder);
        REQUIRE(hasSeenEra(instance, 2));
        site.store.put("op/config", sampleConfiguration(4));
        site.store.put("op/rollout/orders", order);
    }
    CHECK(waitUntil(2s, [&] { return isInState(site, "completed"); }));
    std::this_thread::sleep_for(600ms);
    CHECK(isInState(site, "completed"));
    auto lines = instance.linesContaining("what=rollout_stage");
    for (auto n = stages; n < lines.size(); ++n)
        CHECK(absl::StrContains(lines[n], "stage=completed"));
}

// Guards against a bad release that keeps its share because the record that the store lost cannot be written again yet.
TEST_CASE("a bad release is held back although its record cannot be written after the store came back")
{
    Site site;
    ScriptedUpstream target("i-9", [](const RawRequest& request, RawConnection& connection) {
        return connection.write(responseBytes(500, "no", { { "X-Attempt-Id", request.field("X-Attempt-Id") }, { "X-Server-Seal", "seal" } }));
    });
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto beforeOrder = site.store.put("servers/i-9", target.registration("orders", "ready", "v2"));
    site.store.put("op/rollout/orders", R"({"backend":"orders","target":"v2","durationS":30})");
    REQUIRE(waitUntil(3s, [&] { return !instance.linesContaining("stage=canary").empty(); }));
    site.store.restore(beforeOrder);
    REQUIRE(hasSeenEra(instance, 1));
    site.store.setFault(StoreFault::Busy);
    int n = 0;
    CHECK(waitUntil(4s, [&] {
        auto id = absl::StrCat("id-", ++n);
        if (unitHash("rollout", id) < 0.05)
            sendRequest(instance, requestBytes("GET", "/status/x", id));
        return !instance.linesContaining("what=release_bad").empty();
    }));
}

// Guards against a roll-out that an instance starts again since it read only the older copy.
TEST_CASE("an instance that starts after the store came back learns the stage of a roll-out from its peer")
{
    Site site;
    ScriptedUpstream target("i-9", respondWith("hello"));
    EdgeInstance first("edge-2", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return first.isReady(); }));
    site.store.put("servers/i-9", target.registration("orders", "ready", "v2"));
    auto atOrder = site.store.put("op/rollout/orders", order);
    REQUIRE(isCompletedUnderLoad(site, target, first));
    // From now on the first instance cannot write the stage again.
    site.store.setSecondFault(StoreFault::Busy);
    site.store.setFault(StoreFault::DropsResponses);
    site.store.restore(atOrder);
    REQUIRE(hasSeenEra(first, 1));
    // The younger one would coordinate, since its name is the least.
    EdgeInstance second("edge-1", site.store.address(), first.peerAddress());
    REQUIRE(waitUntil(5s, [&] { return second.isReady(); }));
    site.store.setFault(StoreFault::None);
    std::this_thread::sleep_for(1500ms);
    CHECK(isInState(site, "completed"));
    CHECK(second.linesContaining("what=rollout_stage service=orders target=v2 stage=canary").empty());
}

// Guards against requests for an upstream that was draining or gone, and that the copy lists as ready.
TEST_CASE("an upstream that had left stays away after the store came back from an older copy")
{
    Site site;
    EdgeInstance first("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return first.isReady(); }));
    auto copiedAt = site.store.put("op/config", sampleConfiguration(4));
    bool isGone = GENERATE(false, true);
    CAPTURE(isGone);
    if (isGone)
        site.store.remove("servers/i-1");
    else
        site.store.put("servers/i-1", site.first.registration("orders", "draining"));
    REQUIRE(waitUntil(3s, [&] { return !first.linesContaining(isGone ? "what=upstream_removed upstream=i-1" : "takes_work=no").empty(); }));
    site.store.restore(copiedAt);
    REQUIRE(hasSeenEra(first, 1));
    auto before = site.first.count();
    auto sendTo = [&](const EdgeInstance& instance) {
        for (int n = 0; n < 30; ++n)
            CHECK(statusOf(sendRequest(instance, requestBytes("GET", "/status/x", absl::StrCat(instance.name(), "-", n)))) == 200);
    };

    SECTION("it gets no requests from an instance that knew, nor from one that starts then")
    {
        sendTo(first);
        EdgeInstance second("edge-2", site.store.address(), first.peerAddress());
        REQUIRE(waitUntil(5s, [&] { return second.isReady(); }));
        std::this_thread::sleep_for(700ms);
        sendTo(second);
        CHECK(site.first.count() == before);
    }
    SECTION("a later process of the same upstream gets requests")
    {
        site.store.put("servers/i-1", site.first.registration("orders", "ready", "v1", 2));
        REQUIRE(waitUntil(2s, [&] { return !first.linesContaining("born=2").empty(); }));
        sendTo(first);
        CHECK(site.first.count() > before);
    }
}

// Guards against an older configuration in force at an instance that starts before the operator has written the newer one again.
TEST_CASE("an instance that starts after the store came back uses the configuration of its peers")
{
    Site site;
    EdgeInstance first("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return first.isReady(); }));
    auto copiedAt = site.store.put("op/config", sampleConfiguration(4, "key-1"));
    site.store.put("op/config", sampleConfiguration(8, "key-2"));
    REQUIRE(waitUntil(3s, [&] { return !first.linesContaining("configuration version=8").empty(); }));
    site.store.restore(copiedAt);
    REQUIRE(hasSeenEra(first, 1));
    EdgeInstance second("edge-2", site.store.address(), first.peerAddress());
    REQUIRE(waitUntil(5s, [&] { return second.isReady(); }));
    CHECK(waitUntil(2s, [&] { return !second.linesContaining("configuration version=8").empty(); }));
    CHECK(statusWithKey(second, "key-2") == 200);
    CHECK(statusWithKey(second, "key-1") == 401);
}

// Guards against an instance that is not listed any more, since it renews a lease that is somebody else's.
TEST_CASE("an instance is listed again after the store came back without its lease")
{
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady() && site.store.find("skylarkhitch/instances/edge-1"); }));
    // The copy has no entry of the instance. The stand-in confirms the renewal of any lease.
    site.store.restore(15);
    REQUIRE_FALSE(site.store.find("skylarkhitch/instances/edge-1"));
    CHECK(waitUntil(3s, [&] { return site.store.find("skylarkhitch/instances/edge-1").has_value(); }));
}

// Guards against changes that are seen late because a watch hangs since the moment at which the store was replaced.
TEST_CASE("a watch that hangs is given up when another call shows that the store came back from an older copy")
{
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto copiedAt = site.store.put("op/config", sampleConfiguration(4));
    REQUIRE(waitUntil(3s, [&] { return !instance.linesContaining("configuration version=4").empty(); }));
    std::this_thread::sleep_for(500ms);
    site.store.restore(copiedAt, WatchEnd::Hang);
    site.store.put("op/config", sampleConfiguration(9, "key-3"));
    CHECK(waitUntil(2s, [&] { return !instance.linesContaining("configuration version=9").empty(); }));
}

// Guards against an instance that reads the whole store again and again, or nothing any more, because of an era.
TEST_CASE("a response without a readable era, or of an earlier one, changes nothing")
{
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto copiedAt = site.store.put("op/config", sampleConfiguration(4));
    site.store.restore(copiedAt);
    REQUIRE(hasSeenEra(instance, 1));
    auto eraText = GENERATE("", "Store-Era: many\r\n", "Store-Era: -3\r\n", "Store-Era: 99999999999999999999\r\n", "Store-Era: 9007199254740992\r\n");
    CAPTURE(eraText);
    site.store.setEraText(eraText);
    auto calls = site.store.calls();
    site.store.put("op/config", sampleConfiguration(9, "key-3"));
    CHECK(waitUntil(2s, [&] { return !instance.linesContaining("configuration version=9").empty(); }));
    std::this_thread::sleep_for(1500ms);
    CHECK(site.store.calls() - calls < 12);
    CHECK_FALSE(instance.linesContaining("what=store_era_unreadable").empty());
}

// Guards against an entry that is kept too long: where the return is noticed late, the time for entries to come back is over.
TEST_CASE("an upstream that leaves after the store came back is not kept because an instance noticed the return late")
{
    Site site;
    EdgeInstance first("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return first.isReady(); }));
    EdgeInstance second("edge-2", site.store.secondAddress(), first.peerAddress());
    REQUIRE(waitUntil(5s, [&] { return second.isReady(); }));
    auto copiedAt = site.store.put("op/config", sampleConfiguration(4));
    site.store.setSecondFault(StoreFault::Silent);
    REQUIRE(waitUntil(3s, [&] { return !second.linesContaining("what=store_lost").empty(); }));
    second.signal(SIGSTOP);
    site.store.restore(copiedAt);
    REQUIRE(hasSeenEra(first, 1));
    std::this_thread::sleep_for(3500ms);
    second.signal(SIGCONT);
    REQUIRE(hasSeenEra(second, 1));
    site.store.remove("servers/i-1");
    for (auto* it : { &first, &second }) {
        REQUIRE(waitUntil(3s, [&] { return !it->linesContaining("what=upstream_removed upstream=i-1").empty(); }));
        for (const auto* text : { "resumed", "store", "what=upstream_removed", "catch_up" }) {
            for (const auto& line : it->linesContaining(text))
                UNSCOPED_INFO(line);
        }
        CHECK(absl::StrContains(it->linesContaining("what=upstream_removed upstream=i-1").front(), "kept_for_return=no"));
    }
}
