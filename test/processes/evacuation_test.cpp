// Tests with instances as processes while operators evacuate a failure domain.

#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

// Time within which an evacuated domain must get nothing more, by default.
constexpr auto evacuationLimit = 5000ms;

// A site whose second upstream is in a domain of its own.
struct TwoDomainSite : Site {
    TwoDomainSite() { store.put("servers/i-2", absl::StrReplaceAll(second.registration("orders"), { { "halle-a", "halle-b" } })); }
};

// Sends calls that may be repeated, and returns how many were answered with this status.
int sendMany(const EdgeInstance& instance, int count, int status = 200)
{
    static std::atomic<int> next = 0;
    int n = 0;
    for (int i = 0; i < count; ++i)
        n += statusOf(sendRequest(instance, requestBytes("GET", "/status/x", absl::StrCat("many-", next++)))) == status ? 1 : 0;
    return n;
}

// Whether the instance sends the upstream something within the time.
bool isUsed(const EdgeInstance& instance, ScriptedUpstream& upstream, std::chrono::milliseconds time)
{
    auto before = upstream.count();
    return waitUntil(time, [&] { return sendMany(instance, 4) == 4 && upstream.count() > before; });
}

// Whether the instance stops sending to the upstream within the limit, and goes on with the others.
bool isLeft(const EdgeInstance& instance, ScriptedUpstream& upstream, std::chrono::steady_clock::time_point orderedAt)
{
    auto hasLeft = [&] {
        auto before = upstream.count();
        return sendMany(instance, 20) == 20 && upstream.count() == before;
    };
    return waitUntil(std::chrono::duration_cast<std::chrono::milliseconds>(orderedAt + evacuationLimit - std::chrono::steady_clock::now()), hasLeft);
}

}

// Guards against requests that reach a domain which operators are about to switch off, and against work that is cut there.
TEST_CASE("instances leave an evacuated domain, also one that the store turns away")
{
    TwoDomainSite site;
    EdgeInstance one("edge-1", site.store.address());
    EdgeInstance two("edge-2", site.store.secondAddress(), one.peerAddress());
    REQUIRE(waitUntil(5s, [&] { return one.isReady() && two.isReady(); }));
    REQUIRE(isUsed(one, site.first, 3s));
    REQUIRE(isUsed(two, site.first, 3s));
    site.store.setSecondFault(StoreFault::Busy);
    // A call that may run once and runs in the domain; the other upstream does not take it.
    auto isRunning = std::make_shared<std::atomic<bool>>(false), mayEnd = std::make_shared<std::atomic<bool>>(false);
    site.first.setScript([isRunning, mayEnd, answer = respondWith("hello")](const RawRequest& request, RawConnection& connection) {
        bool isSlow = request.field("X-Attempt-Id") == "slow";
        *isRunning = *isRunning || isSlow;
        return (!isSlow || waitUntil(3s, [&] { return mayEnd->load(); })) && answer(request, connection);
    });
    site.second.setScript([answer = respondWith("hello")](const RawRequest& request, RawConnection& connection) {
        if (request.field("X-Attempt-Id") == "slow")
            return connection.write(responseBytes(503, "", { { "X-Not-Executed", "1" } }));
        return answer(request, connection);
    });
    auto running = std::async(std::launch::async, [&] {
        auto connection = RawConnection::connect(one.port());
        connection->write(requestBytes("POST", "/booking/x", "slow", {}, "slot 7", 3000ms));
        return statusOf(connection->readResponse(4s));
    });
    REQUIRE(waitUntil(2s, [&] { return isRunning->load(); }));
    site.store.put("op/evacuate/halle-a", "{}");
    auto orderedAt = std::chrono::steady_clock::now();
    CHECK(isLeft(one, site.first, orderedAt));
    *mayEnd = true;
    CHECK(running.get() == 200);
    CHECK(isLeft(two, site.first, orderedAt));
    CHECK(one.linesContaining("what=domain_evacuated").size() == 1);
    CHECK(absl::StrContains(one.metrics(), "\"evacuated_domains\"} 1"));

    SECTION("an instance that starts again in the middle leaves it alone")
    {
        auto before = site.first.count();
        two.restart();
        REQUIRE(waitUntil(5s, [&] { return two.isReady(); }));
        CHECK(sendMany(two, 30) == 30);
        one.restart();
        REQUIRE(waitUntil(5s, [&] { return one.isReady(); }));
        CHECK(sendMany(one, 30) == 30);
        CHECK(site.first.count() == before);
    }
    SECTION("an order for the last domain is followed as well: requests are refused at once")
    {
        site.store.put("op/evacuate/halle-b", "");
        REQUIRE(waitUntil(evacuationLimit, [&] { return two.linesContaining("what=domain_evacuated").size() == 2; }));
        std::this_thread::sleep_for(20ms);
        auto before = site.received();
        auto begin = std::chrono::steady_clock::now();
        auto response = sendRequest(two, requestBytes("GET", "/status/x", "last"));
        CHECK(std::chrono::steady_clock::now() - begin < 500ms);
        CHECK(statusOf(response) == 503);
        CHECK(absl::StrContains(response, "Retry-After: "));
        CHECK(site.received() == before);
    }
    SECTION("after the withdrawal it is used again")
    {
        site.store.remove("op/evacuate/halle-a");
        CHECK(isUsed(one, site.first, 10s));
        CHECK(isUsed(two, site.first, 10s));
        CHECK(two.linesContaining("what=domain_returned").size() == 1);
    }
}

// Guards against an evacuation that ends since the store came back from a copy without it.
TEST_CASE("an evacuation outlasts a store that comes back from an older copy")
{
    TwoDomainSite site;
    EdgeInstance one("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return one.isReady(); }));
    auto before = site.store.put("elsewhere/x", "");
    site.store.put("op/evacuate/halle-a", "{}");
    auto orderedAt = std::chrono::steady_clock::now();
    REQUIRE(isLeft(one, site.first, orderedAt));
    site.store.restore(before);
    REQUIRE(waitUntil(4s, [&] { return !one.linesContaining("what=evacuation_kept").empty(); }));
    auto count = site.first.count();
    CHECK(sendMany(one, 20) == 20);
    CHECK(site.first.count() == count);
    SECTION("also at an instance that starts then")
    {
        EdgeInstance two("edge-2", site.store.address(), one.peerAddress());
        REQUIRE(waitUntil(5s, [&] { return two.isReady() && !two.linesContaining("what=domain_evacuated").empty(); }));
        count = site.first.count();
        CHECK(sendMany(two, 20) == 20);
        CHECK(site.first.count() == count);
    }
    SECTION("until it is written again and withdrawn")
    {
        site.store.put("op/evacuate/halle-a", "{}");
        REQUIRE(waitUntil(4s, [&] { return !one.linesContaining("what=evacuation_repeated").empty(); }));
        site.store.remove("op/evacuate/halle-a");
        CHECK(isUsed(one, site.first, 10s));
    }
}
