// Tests planned stops of an entry instance on kept connections: signals that come in series, requests that come during the
// drain, and the end of the grace period. What matters is what callers and upstreams see.

#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

enum class Kind {
    // May be repeated.
    Status,
    // May run once.
    Booking,
    // An event stream that may be resumed.
    Draft,
};

constexpr std::chrono::milliseconds eventGap { 50 };
// How much of a response is shown for a failed check.
constexpr std::size_t shownBytes = 300;

// A request whose work at the upstream takes the given time.
std::string bytesOf(Kind kind, const std::string& id, std::chrono::milliseconds work, std::chrono::milliseconds timeout = 3000ms)
{
    if (kind == Kind::Status)
        return requestBytes("GET", absl::StrCat("/status/", work.count()), id, "", "", timeout);
    if (kind == Kind::Booking)
        return requestBytes("POST", absl::StrCat("/booking/", work.count()), id, "", "slot 7", timeout);
    return requestBytes("POST", absl::StrCat("/draft/", work.count()), id, "X-Model-Name: *\r\nX-Token-Count: 900,50\r\n", "prompt", timeout);
}

bool isWhole(const std::string& response)
{
    bool isChunked = absl::StrContains(response, "Transfer-Encoding: chunked");
    return statusOf(response) == 200 && absl::EndsWith(response, isChunked ? "0\r\n\r\n" : "hello");
}

std::chrono::milliseconds workOf(const RawRequest& request)
{
    int ms = 0;
    auto path = request.path();
    REQUIRE(absl::SimpleAtoi(path.substr(path.rfind('/') + 1), &ms));
    return std::chrono::milliseconds(ms);
}

// Upstreams whose work takes the time that the request's path names; engines send events throughout.
void workAsAsked(Site& site)
{
    site.setScripts([](const RawRequest& request, RawConnection& connection) {
        return !connection.isClosedWithin(workOf(request)) && respondWith("hello")(request, connection);
    });
    site.setEngineScripts([](const RawRequest& request, RawConnection& connection) {
        return streamEvents(static_cast<int>(workOf(request) / eventGap), eventGap)(request, connection);
    });
}

// A request on a kept connection.
struct Call {
    Kind kind;
    std::string id;
    std::unique_ptr<RawConnection> connection;
};

// Sends requests on kept connections, of which each has served one before, and waits until the upstreams have them.
std::vector<Call> sendCalls(Site& site, const EdgeInstance& instance, int count, std::chrono::milliseconds work)
{
    std::vector<Call> calls;
    for (int n = 0; n < count; ++n) {
        auto kind = n % 3 == 2 ? Kind::Draft : Kind::Booking;
        calls.push_back({ kind, absl::StrCat("id-", n), RawConnection::connect(instance.port()) });
        REQUIRE(calls.back().connection);
        calls.back().connection->write(bytesOf(kind, absl::StrCat("id-first-", n), 50ms));
        REQUIRE(isWhole(calls.back().connection->readResponse()));
    }
    for (const auto& it : calls)
        it.connection->write(bytesOf(it.kind, it.id, work));
    REQUIRE(waitUntil(2s, [&] { return std::all_of(calls.begin(), calls.end(), [&](const auto& it) { return site.receivedWithId(it.id) == 1; }); }));
    return calls;
}

void checkAllWhole(const std::vector<Call>& calls)
{
    for (const auto& it : calls) {
        auto response = it.connection->readResponse();
        CAPTURE(it.id, response.substr(0, shownBytes));
        CHECK(isWhole(response));
    }
}

}

// Guards against signals that close the connections of requests at work without an answer: signals come in series and overlap.
TEST_CASE("signals that follow each other cut no request")
{
    constexpr int callers = 12;
    Site site;
    workAsAsked(site);
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));

    SECTION("SIGTERM that is repeated changes nothing")
    {
        auto calls = sendCalls(site, instance, callers, 1500ms);
        for (auto pause : { 200ms, 300ms, 0ms }) {
            instance.signal(SIGTERM);
            std::this_thread::sleep_for(pause);
        }
        checkAllWhole(calls);
        CHECK(instance.process().waitForExit(Seconds(5)) == 0);
        CHECK(instance.linesContaining("what=signal name=SIGTERM stopping=no").size() == 1);
        CHECK(instance.linesContaining("what=signal name=SIGTERM stopping=yes").size() == 2);
        CHECK(instance.linesContaining("what=stopped cut=0").size() == 1);
    }
    SECTION("SIGHUP during a drain reloads the settings and goes on with the drain")
    {
        auto calls = sendCalls(site, instance, callers, 1500ms);
        instance.signal(SIGTERM);
        // Signals that are pending together are delivered in the order of their numbers.
        REQUIRE(waitUntil(1s, [&] { return instance.linesContaining("what=signal name=SIGTERM").size() == 1; }));
        instance.addSetting("log_level: debug");
        instance.signal(SIGHUP);
        checkAllWhole(calls);
        CHECK(instance.process().waitForExit(Seconds(5)) == 0);
        CHECK(instance.linesContaining("what=signal name=SIGHUP stopping=yes").size() == 1);
        CHECK(instance.linesContaining("what=reload").size() == 1);
    }
    // An operator at a terminal need not wait, but callers are told.
    SECTION("SIGINT during a drain ends it early, and each request gets an error")
    {
        auto calls = sendCalls(site, instance, callers, 2900ms);
        instance.signal(SIGTERM);
        std::this_thread::sleep_for(300ms);
        instance.signal(SIGINT);
        CHECK(instance.process().waitForExit(Seconds(1)) == 0);
        for (const auto& it : calls) {
            auto response = it.connection->readResponse();
            CAPTURE(it.id, response.substr(0, shownBytes));
            if (it.kind == Kind::Booking)
                CHECK(statusOf(response) == 502);
            else
                CHECK_FALSE(isWhole(response));
        }
        CHECK(instance.linesContaining("error=instance_draining").size() == callers);
        CHECK(instance.linesContaining("what=signal name=SIGINT stopping=yes").size() == 1);
    }
}

// Guards against a stop that ends the process, or its loops, before it has come so far as to serve.
TEST_CASE("signals before the first configuration are harmless")
{
    Site site;
    site.store.setFault(StoreFault::Silent);
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return !instance.linesContaining("what=start ").empty(); }));
    auto connection = RawConnection::connect(instance.port());
    REQUIRE(connection);
    connection->write(bytesOf(Kind::Booking, "id-1", 10ms));
    for (auto signal : { SIGTERM, SIGHUP, SIGTERM }) {
        instance.signal(signal);
        std::this_thread::sleep_for(50ms);
    }
    auto response = connection->readResponse();
    CHECK(statusOf(response) == 503);
    CHECK(absl::StrContains(response, "Retry-After"));
    CHECK(site.receivedWithId("id-1") == 0);
    CHECK(instance.process().waitForExit(Seconds(5)) == 0);
    CHECK(instance.linesContaining("what=stopped cut=0").size() == 1);
}
