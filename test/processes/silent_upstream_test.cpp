// Tests upstreams that are sound and silent for a while. Another upstream may take the request over, but the first one is given up only
// once that has begun to respond.

#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int events = 6;

std::string streamHead(const RawRequest& request, int confidence = 100)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Confidence: ", confidence, "\r\nX-Attempt-Id: ", request.field("X-Attempt-Id"), "\r\n\r\n");
}

std::string eventBytes(int n) { return chunk(absl::StrCat("id: ", n, "\ndata: part ", n, "\n\n")); }

// Streams the events after the caller's last one, and is silent for the time before one of them. `cutAt`, if given, gets the time at which
// this instance closed the connection.
ScriptedUpstream::Script silentBefore(int silentEvent, std::chrono::milliseconds silence, std::atomic<Clock::time_point>* cutAt = nullptr)
{
    return [=](const RawRequest& request, RawConnection& connection) {
        int n = 0;
        auto last = request.field("Last-Event-Id");
        if (!last.empty())
            n = std::stoi(last);
        // The head comes with the first event, as of an engine that begins with its first token.
        auto head = streamHead(request);
        while (++n <= events) {
            if (connection.isClosedWithin(n == silentEvent ? silence : 20ms)) {
                if (cutAt)
                    *cutAt = Clock::now();
                return false;
            }
            connection.write(absl::StrCat(std::exchange(head, {}), eventBytes(n)));
        }
        return connection.write("0\r\n\r\n");
    };
}

ScriptedUpstream::Script refuse()
{
    return [](const RawRequest& request, RawConnection& connection) {
        return connection.write(responseBytes(503, "", { { "X-Attempt-Id", request.field("X-Attempt-Id") }, { "X-Not-Executed", "1" } }));
    };
}

ScriptedUpstream::Script resetConnection()
{
    return [](const RawRequest&, RawConnection& connection) {
        connection.reset();
        return false;
    };
}

// Accepts the request and never says anything.
ScriptedUpstream::Script neverAnswer()
{
    return [](const RawRequest&, RawConnection& connection) {
        connection.isClosedWithin(8s);
        return false;
    };
}

std::string draftBytes(const std::string& id, std::chrono::milliseconds timeout = 6000ms)
{
    return requestBytes("POST", "/draft/x", id, "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n", "prompt", timeout);
}

bool isWholeStream(const std::string& response)
{
    if (statusOf(response) != 200 || !absl::EndsWith(response, "0\r\n\r\n"))
        return false;
    for (int n = 1; n <= events; ++n) {
        if (std::vector<std::string>(absl::StrSplit(response, absl::StrCat("data: part ", n, "\n"))).size() != 2)
            return false;
    }
    return true;
}

// A site whose first request for a stream goes to the upstream `silent`, and each later one to `other`.
struct SilentSite {
    Site site;
    std::atomic<int> asked = 0;
    std::atomic<bool> otherWasAsked = false;

    SilentSite()
    {
        auto configuration = nlohmann::json::parse(sampleConfiguration(5));
        for (auto& it : configuration["routes"])
            it["timeoutMs"] = 8000;
        site.store.put("op/config", configuration.dump());
    }

    void setScripts(ScriptedUpstream::Script silent, ScriptedUpstream::Script other)
    {
        auto script = [this, silent, other](const RawRequest& request, RawConnection& connection) {
            if (asked++ == 0)
                return silent(request, connection);
            otherWasAsked = true;
            return other(request, connection);
        };
        site.setEngineScripts(script);
        site.setScripts(script);
    }

    std::string send(const EdgeInstance& instance, const std::string& bytes) const
    {
        auto connection = RawConnection::connect(instance.port());
        REQUIRE(connection);
        connection->write(bytes);
        return connection->readResponse(10s);
    }
};

}

// Guards against streams that are reset although their upstream would have gone on, since the next one did not take them.
TEST_CASE("a stream whose upstream is silent goes on there if no other one takes it")
{
    SilentSite silent;
    EdgeInstance instance("edge-1", silent.site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto silentEvent = GENERATE(1, 3);
    CAPTURE(silentEvent);

    SECTION("because it is full")
    {
        silent.setScripts(silentBefore(silentEvent, 3400ms), refuse());
        auto response = silent.send(instance, draftBytes("full"));
        CHECK(isWholeStream(response));
        CHECK(silent.otherWasAsked);
        CHECK(waitUntil(1s, [&] { return instance.linesContaining("what=hedge_ended id=full").size() == 1; }));
    }
    SECTION("because it fails")
    {
        silent.setScripts(silentBefore(silentEvent, 3400ms), resetConnection());
        CHECK(isWholeStream(silent.send(instance, draftBytes("reset"))));
        CHECK(silent.otherWasAsked);
    }
    SECTION("because it answers with an error")
    {
        silent.setScripts(silentBefore(silentEvent, 3400ms), [](const RawRequest& request, RawConnection& connection) {
            return connection.write(responseBytes(500, "failed", { { "X-Attempt-Id", request.field("X-Attempt-Id") } }));
        });
        auto response = silent.send(instance, draftBytes("error"));
        CHECK(isWholeStream(response));
        CHECK_FALSE(absl::StrContains(response, "failed"));
        CHECK(silent.otherWasAsked);
    }
    SECTION("because it is silent as well")
    {
        silent.setScripts(silentBefore(silentEvent, 3400ms), neverAnswer());
        CHECK(isWholeStream(silent.send(instance, draftBytes("silent"))));
        CHECK(silent.otherWasAsked);
    }
    SECTION("because there is no other one")
    {
        silent.site.store.remove("servers/i-4");
        std::this_thread::sleep_for(1s);
        silent.setScripts(silentBefore(silentEvent, 3400ms), refuse());
        CHECK(isWholeStream(silent.send(instance, draftBytes("alone"))));
        CHECK_FALSE(silent.otherWasAsked);
    }
    CHECK(instance.ownEnds() == 0);
}

// Guards against streams that a planned stop breaks off because their upstream is silent for a second and the other one is full.
TEST_CASE("in a planned stop a stream whose upstream is silent goes on")
{
    SilentSite silent;
    EdgeInstance instance("edge-1", silent.site.store.address(), {}, 8s);
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    silent.setScripts(silentBefore(3, 3000ms), refuse());
    auto connection = RawConnection::connect(instance.port());
    REQUIRE(connection);
    connection->write(draftBytes("stopped", 5000ms));
    REQUIRE(waitUntil(2s, [&] { return silent.asked == 1; }));
    instance.signal(SIGTERM);
    CHECK(isWholeStream(connection->readResponse(8s)));
    CHECK(silent.otherWasAsked);
    CHECK(instance.process().waitForExit(Seconds(8)) == 0);
}

// Guards against streams that stay at a dead upstream, and against two upstreams that work on one stream.
TEST_CASE("a stream whose upstream stays silent goes on where it is taken")
{
    SilentSite silent;
    EdgeInstance instance("edge-1", silent.site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto silentEvent = GENERATE(1, 3);
    CAPTURE(silentEvent);
    std::atomic<Clock::time_point> cutAt {}, takenAt {};
    auto takeOver = [&](const RawRequest& request, RawConnection& connection) {
        std::this_thread::sleep_for(300ms);
        takenAt = Clock::now();
        return silentBefore(0, 0ms)(request, connection);
    };
    silent.setScripts(silentBefore(silentEvent, 20s, &cutAt), takeOver);
    CHECK(isWholeStream(silent.send(instance, draftBytes("taken"))));
    CHECK(silent.asked == 2);
    REQUIRE(waitUntil(1s, [&] { return cutAt.load() != Clock::time_point(); }));
    CHECK(cutAt.load() >= takenAt.load());
    CHECK(cutAt.load() - takenAt.load() < 400ms);
    CHECK(instance.ownEnds() == 0);
}

// Guards against an attempt at another upstream that goes on although nobody waits for it.
TEST_CASE("the other upstream is released when the silent one goes on")
{
    SilentSite silent;
    EdgeInstance instance("edge-1", silent.site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    std::atomic<Clock::time_point> releasedAt {};
    silent.setScripts(silentBefore(3, 3000ms), [&](const RawRequest&, RawConnection& connection) {
        if (connection.isClosedWithin(8s))
            releasedAt = Clock::now();
        return false;
    });
    auto begin = Clock::now();
    CHECK(isWholeStream(silent.send(instance, draftBytes("late"))));
    REQUIRE(waitUntil(1s, [&] { return releasedAt.load() != Clock::time_point(); }));
    CHECK(releasedAt.load() - begin < 3600ms);
    CHECK(waitUntil(1s, [&] { return instance.linesContaining("what=hedge_ended id=late").size() == 1; }));
    CHECK(instance.linesContaining("upstream_ejected").empty());

    SECTION("also when the caller leaves")
    {
        silent.asked = 0;
        releasedAt = Clock::time_point();
        {
            auto connection = RawConnection::connect(instance.port());
            REQUIRE(connection);
            connection->write(draftBytes("left"));
            REQUIRE(waitUntil(4s, [&] { return silent.asked == 2; }));
        }
        CHECK(waitUntil(500ms, [&] { return releasedAt.load() != Clock::time_point(); }));
    }
    CHECK(instance.ownEnds() == 0);
}

// Guards against calls that fail although the upstream that was asked first would have answered.
TEST_CASE("a call that may be repeated is answered by the first upstream if no other one takes it")
{
    SilentSite silent;
    EdgeInstance instance("edge-1", silent.site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto answerLate = [](const RawRequest& request, RawConnection& connection) {
        return !connection.isClosedWithin(1500ms) && respondWith("hello")(request, connection);
    };
    auto other = GENERATE(0, 1, 2);
    CAPTURE(other);
    silent.setScripts(answerLate, other == 0 ? refuse() : other == 1 ? resetConnection()
                                                                     : neverAnswer());
    auto response = silent.send(instance, requestBytes("GET", "/status/x", "call"));
    CHECK(statusOf(response) == 200);
    CHECK(absl::EndsWith(response, "hello"));
    CHECK(silent.otherWasAsked);
    CHECK(instance.ownEnds() == 0);
}

// Guards against an error for a request whose answer by the small model lay ready, since no larger model took it.
TEST_CASE("an answer of the small model is given up only once a larger model has begun its own")
{
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    std::atomic<int> askedLarger = 0;
    std::atomic<Clock::time_point> droppedAt {}, takenAt {};
    auto setLarger = [&](ScriptedUpstream::Script larger) {
        site.setEngineScripts([&, larger](const RawRequest& request, RawConnection& connection) {
            if (request.field("X-Model-Name") != "small") {
                ++askedLarger;
                return larger(request, connection);
            }
            connection.write(absl::StrCat(streamHead(request, 5), eventBytes(1)));
            if (connection.isClosedWithin(300ms)) {
                droppedAt = Clock::now();
                return false;
            }
            for (int n = 2; n <= events; ++n)
                connection.write(eventBytes(n));
            return connection.write("0\r\n\r\n");
        });
    };
    auto draft = [&] { return sendRequest(instance, draftBytes("unsure", 2500ms)); };

    SECTION("the larger one takes it")
    {
        setLarger([&](const RawRequest& request, RawConnection& connection) {
            std::this_thread::sleep_for(100ms);
            takenAt = Clock::now();
            return silentBefore(0, 0ms)(request, connection);
        });
        CHECK(isWholeStream(draft()));
        CHECK(askedLarger == 1);
        REQUIRE(waitUntil(1s, [&] { return droppedAt.load() != Clock::time_point(); }));
        CHECK(droppedAt.load() >= takenAt.load());
    }
    SECTION("all are full")
    {
        setLarger(refuse());
        CHECK(isWholeStream(draft()));
        CHECK(askedLarger == 2);
    }
    SECTION("all fail")
    {
        setLarger(resetConnection());
        CHECK(isWholeStream(draft()));
        CHECK(askedLarger >= 1);
    }
    SECTION("all are silent")
    {
        setLarger(neverAnswer());
        CHECK(isWholeStream(draft()));
        CHECK(askedLarger >= 1);
    }
    CHECK(instance.ownEnds() == 0);
}
