// Tests with an instance as a process and upstreams whose answers say more than a result: that they leave, how long they want nothing, or
// what an earlier request got.

#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

ScriptedUpstream::Script respondWithFields(int status, const HeaderFields& fields)
{
    return [status, fields](const RawRequest& request, RawConnection& connection) {
        auto all = fields;
        all.push_back({ "X-Attempt-Id", request.field("X-Attempt-Id") });
        return connection.write(responseBytes(status, "hello", all));
    };
}

// Sends requests that may be repeated, and returns how many got this status.
int sendMany(const EdgeInstance& instance, const std::string& prefix, int count, int status)
{
    int n = 0;
    for (int i = 0; i < count; ++i)
        n += statusOf(sendRequest(instance, requestBytes("GET", "/status/x", absl::StrCat(prefix, i)))) == status ? 1 : 0;
    return n;
}

const HeaderFields leaving { { "Server-Leaving", "1" } };

}

// Guards against a caller who takes all upstreams of a service out of use by asking for something that none of them has, and against an
// address that is asked again and again although it is another upstream's now.
TEST_CASE("a request that is turned away as misdirected harms no other request")
{
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    // Whether an upstream names itself as it turns a request away.
    bool namesItself = false;
    auto lacksModel = [&](const ScriptedUpstream& upstream) {
        return [&](const RawRequest& request, RawConnection& connection) {
            HeaderFields fields { { "X-Attempt-Id", request.field("X-Attempt-Id") } };
            bool isMisdirected = request.field("X-Model-Name") == "unknown";
            if (isMisdirected)
                fields.push_back({ "X-Not-Executed", "1" });
            if (isMisdirected && namesItself)
                fields.push_back({ "X-Instance-Id", upstream.id() });
            return connection.write(responseBytes(isMisdirected ? 421 : 200, "hello", fields));
        };
    };
    auto askForUnknown = [&](const std::string& id) { return sendRequest(instance, requestBytes("GET", "/status/x", id, "X-Model-Name: unknown\r\n")); };
    auto countBoth = [&] { return site.first.count() + site.second.count(); };

    SECTION("although no upstream has what it asks for")
    {
        namesItself = GENERATE(false, true);
        site.first.setScript(lacksModel(site.first));
        site.second.setScript(lacksModel(site.second));
        // Earlier requests fill the retry budget.
        REQUIRE(sendMany(instance, "before-", 30, 200) == 30);
        auto before = countBoth();
        auto response = askForUnknown("odd");
        CHECK(countBoth() == before + 2);
        CHECK(sendMany(instance, "after-", 50, 200) == 50);
        CHECK(statusOf(response) == 421);
        CHECK(absl::StrContains(response, "Retry-After"));
        REQUIRE(waitUntil(2s, [&] { return !instance.linesContaining("what=request id=odd").empty(); }));
        CHECK(absl::StrContains(instance.linesContaining("what=request id=odd")[0], "error=misdirected_request"));
        CHECK(instance.linesContaining("upstream_doubted").empty());
        SECTION("and such requests come all the time")
        {
            for (int n = 0; n < 10; ++n) {
                askForUnknown(absl::StrCat("odd-", n));
                CHECK(sendMany(instance, absl::StrCat("between-", n, "-"), 5, 200) == 5);
            }
            CHECK(instance.linesContaining("upstream_doubted").empty());
        }
    }
    SECTION("but the address of an upstream that turns away what another one accepts is avoided")
    {
        site.first.setScript(respondWithFields(421, { { "X-Not-Executed", "1" } }));
        CHECK(sendMany(instance, "a-", 50, 200) == 50);
        CHECK(site.first.count() == 1);
        CHECK(instance.linesContaining("upstream_doubted").size() == 1);
        SECTION("until it may be asked again")
        {
            site.first.setScript(respondWithFields(200, {}));
            std::this_thread::sleep_for(2100ms);
            CHECK(sendMany(instance, "b-", 20, 200) == 20);
            CHECK(site.first.count() > 1);
        }
    }
    SECTION("and an upstream in doubt is asked if no other is left")
    {
        site.first.setScript(respondWithFields(421, { { "X-Not-Executed", "1" } }));
        CHECK(sendMany(instance, "a-", 20, 200) == 20);
        site.first.setScript(respondWithFields(200, {}));
        site.store.remove("servers/i-2");
        REQUIRE(waitUntil(2s, [&] { return !instance.linesContaining("upstream_removed").empty(); }));
        CHECK(sendMany(instance, "b-", 20, 200) == 20);
    }
}

// Guards against requests at an upstream that empties itself and whose entry in the store says nothing of it.
TEST_CASE("an upstream that says it leaves gets nothing more")
{
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    // Sends until the first upstream has answered once with its script, and returns how many requests it has got then.
    auto askFirst = [&] {
        for (int n = 0; n < 100 && site.first.count() == 0; ++n)
            sendRequest(instance, requestBytes("GET", "/status/x", absl::StrCat("ask-", n)));
        REQUIRE(site.first.count() == 1);
    };
    SECTION("although it serves well")
    {
        site.first.setScript(respondWithFields(200, leaving));
        askFirst();
        CHECK(sendMany(instance, "a-", 30, 200) == 30);
        CHECK(site.first.count() == 1);
        CHECK(instance.linesContaining("upstream_leaving").size() == 1);
        SECTION("whatever its entry says later, and although a later answer no longer says so")
        {
            site.first.setScript(respondWith("hello"));
            site.store.put("servers/i-1", site.first.registration("orders"));
            std::this_thread::sleep_for(800ms);
            CHECK(sendMany(instance, "b-", 20, 200) == 20);
            CHECK(site.first.count() == 1);
        }
        SECTION("until it has started again")
        {
            site.first.setScript(respondWith("hello"));
            site.store.put("servers/i-1", site.first.registration("orders", "ready", "v1", 2));
            CHECK(waitUntil(3s, [&] { return sendMany(instance, absl::StrCat("c-", site.first.count(), "-"), 4, 200) == 4 && site.first.count() > 1; }));
        }
        SECTION("also if it is the last one: then the request is refused at once")
        {
            site.second.setScript(respondWithFields(200, leaving));
            sendMany(instance, "d-", 5, 200);
            auto before = site.first.count() + site.second.count();
            auto begin = std::chrono::steady_clock::now();
            auto response = sendRequest(instance, requestBytes("GET", "/status/x", "last"));
            CHECK(statusOf(response) == 503);
            CHECK(absl::StrContains(response, "Retry-After: "));
            CHECK(std::chrono::steady_clock::now() - begin < 300ms);
            CHECK(site.first.count() + site.second.count() == before);
        }
    }
    SECTION("also if the answer is a refusal")
    {
        site.first.setScript(respondWithFields(503, { { "Server-Leaving", "1" }, { "X-Not-Executed", "1" } }));
        askFirst();
        CHECK(sendMany(instance, "a-", 30, 200) == 30);
        CHECK(site.first.count() == 1);
    }
    SECTION("also if the answer breaks off after its head")
    {
        site.first.setScript([](const RawRequest& request, RawConnection& connection) {
            connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nX-Attempt-Id: ", request.field("X-Attempt-Id"), "\r\nContent-Length: 100\r\n\r\nhel"));
            connection.reset();
            return false;
        });
        askFirst();
        CHECK(sendMany(instance, "a-", 30, 200) == 30);
        CHECK(site.first.count() == 1);
    }
    SECTION("and the caller does not see the field")
    {
        site.setScripts(respondWithFields(200, leaving));
        CHECK_FALSE(absl::StrContains(sendRequest(instance, requestBytes("GET", "/status/x", "e-1")), "Server-Leaving"));
    }
}

// Guards against requests that keep an upstream busy with refusals, and against "ask those that failed if no other is left".
TEST_CASE("an upstream that asks for time gets nothing until then")
{
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto refuse = [](const std::string& time) { return respondWithFields(503, { { "X-Not-Executed", "1" }, { "Retry-After", time } }); };
    auto askFirst = [&] {
        for (int n = 0; n < 100 && site.first.count() == 0; ++n)
            sendRequest(instance, requestBytes("GET", "/status/x", absl::StrCat("ask-", n)));
        REQUIRE(site.first.count() == 1);
    };
    SECTION("others serve meanwhile, and then it serves again")
    {
        site.first.setScript(refuse("1.5"));
        askFirst();
        site.first.setScript(respondWith("hello"));
        auto end = std::chrono::steady_clock::now() + 1400ms;
        for (int n = 0; std::chrono::steady_clock::now() < end; ++n)
            CHECK(sendMany(instance, absl::StrCat("a-", n, "-"), 1, 200) == 1);
        CHECK(site.first.count() == 1);
        CHECK(instance.linesContaining("upstream_ejected").empty());
        CHECK(waitUntil(3s, [&] { return sendMany(instance, absl::StrCat("b-", site.first.count(), "-"), 3, 200) == 3 && site.first.count() > 1; }));
    }
    SECTION("if all ask for time, requests are refused at once with the time until the first returns")
    {
        site.setScripts(refuse("2"));
        sendMany(instance, "a-", 3, 503);
        auto before = site.received();
        auto begin = std::chrono::steady_clock::now();
        auto response = sendRequest(instance, requestBytes("GET", "/status/x", "late", {}, {}, 9000ms));
        CHECK(statusOf(response) == 503);
        CHECK(std::chrono::steady_clock::now() - begin < 300ms);
        CHECK(site.received() == before);
        double seconds = 0;
        auto position = response.find("Retry-After: ");
        REQUIRE(position != std::string::npos);
        seconds = std::stod(response.substr(position + 13));
        // The configured time limit of the route is 3 s, of which callers wait a third.
        CHECK(seconds > 0.5);
        CHECK(seconds <= 1.0);
        CHECK_FALSE(instance.linesContaining("upstreams_paused").empty());
    }
    SECTION("a time that cannot be is logged and does no harm")
    {
        for (const auto* it : { "-5", "soon", "nan", "1e999", "inf", "" }) {
            site.first.setScript(refuse(it));
            auto before = site.first.count();
            for (int n = 0; n < 40 && site.first.count() < before + 2; ++n)
                sendRequest(instance, requestBytes("GET", "/status/x", absl::StrCat("x-", it, n)));
            CHECK(site.first.count() >= before + 2);
        }
        CHECK_FALSE(instance.linesContaining("retry_after_malformed").empty());
        site.first.setScript(respondWith("hello"));
        auto before = site.first.count();
        CHECK(waitUntil(3s, [&] { return sendMany(instance, absl::StrCat("y-", site.first.count(), "-"), 3, 200) == 3 && site.first.count() > before; }));
        CHECK(instance.isReady());
    }
}

// Guards against callers that are told "not run, try again" for a request that an upstream runs.
TEST_CASE("an earlier refusal that is written once more is not taken for the answer to a later request")
{
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    // Refuses its first request, and writes that refusal again in answer to each later one, which it runs.
    auto repeatRefusal = [refused = std::make_shared<std::map<std::thread::id, std::string>>(), mutex = std::make_shared<std::mutex>()](const RawRequest& request, RawConnection& connection) {
        std::lock_guard lock(*mutex);
        auto& first = (*refused)[std::this_thread::get_id()];
        if (first.empty())
            first = request.field("X-Attempt-Id");
        return connection.write(responseBytes(503, "", { { "X-Attempt-Id", first }, { "X-Not-Executed", "1" }, { "Keep-Alive", "timeout=5" } }));
    };
    SECTION("where the route allows several runs, its outcome is unknown")
    {
        site.setScripts(repeatRefusal);
        CHECK(statusOf(sendRequest(instance, requestBytes("GET", "/status/x", "first"))) == 429);
        CHECK(statusOf(sendRequest(instance, requestBytes("GET", "/status/x", "second"))) == 502);
        CHECK(waitUntil(1s, [&] { return !instance.linesContaining("cause=\"response to another request\"").empty(); }));
    }
    SECTION("and if it names no request, the upstream is made to drop what it may run before another one begins with it")
    {
        auto repeats = std::make_shared<std::atomic<int>>(0), dropped = std::make_shared<std::atomic<int>>(0);
        site.engine.setScript([=](const RawRequest&, RawConnection& connection) {
            // Each connection has a thread of its own.
            thread_local int requests = 0;
            bool isFirst = ++requests == 1;
            bool isOpen = connection.write(responseBytes(503, "", { { "X-Not-Executed", "1" }, { "Keep-Alive", "timeout=5" } }));
            if (isFirst)
                return isOpen;
            ++*repeats;
            *dropped += connection.isClosedWithin(400ms) ? 1 : 0;
            return false;
        });
        site.otherEngine.setScript(streamEvents(2, 2ms));
        for (int n = 0; n < 40 && *repeats < 3; ++n)
            CHECK(statusOf(sendRequest(instance, requestBytes("POST", "/draft/x", absl::StrCat("unnamed-", n), "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n", "p"))) == 200);
        REQUIRE(*repeats >= 3);
        CHECK(waitUntil(1s, [&] { return *dropped == *repeats; }));
    }
    SECTION("where a stream cannot be resumed, each request has a connection of its own")
    {
        auto configuration = nlohmann::json::parse(sampleConfiguration(5));
        for (auto& it : configuration["routes"])
            it["streamResume"] = false;
        site.store.put("op/config", configuration.dump());
        REQUIRE(waitUntil(3s, [&] { return !instance.linesContaining("configuration version=5").empty(); }));
        auto connections = std::make_shared<std::map<std::thread::id, int>>();
        auto mutex = std::make_shared<std::mutex>();
        auto stream = streamEvents(2, 2ms);
        site.setEngineScripts([=](const RawRequest& request, RawConnection& connection) {
            {
                std::lock_guard lock(*mutex);
                ++(*connections)[std::this_thread::get_id()];
            }
            return stream(request, connection);
        });
        for (int n = 0; n < 8; ++n)
            CHECK(statusOf(sendRequest(instance, requestBytes("POST", "/draft/x", absl::StrCat("own-", n), "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n", "p"))) == 200);
        std::lock_guard lock(*mutex);
        for (const auto& [thread, n] : *connections)
            CHECK(n == 1);
    }
}

// Guards against callers who send a booking again that an upstream has run, since its failure bears a status that promises "not run".
TEST_CASE("a failure that an upstream does not state as not run is never answered as not run")
{
    Site site;
    auto configuration = nlohmann::json::parse(sampleConfiguration(5));
    for (auto& it : configuration["routes"])
        it["streamResume"] = false;
    site.store.put("op/config", configuration.dump());
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto status = GENERATE(503, 429, 408);
    CAPTURE(status);
    auto fail = respondWithFields(status, { { "X-Server-Seal", "the upstream's" }, { "Retry-After", "1" } });
    site.setScripts(fail);
    site.setEngineScripts(fail);

    SECTION("where a request may run once, its outcome is unknown to the caller")
    {
        const std::pair<const char*, const char*> calls[] = { { "/booking/x", "" }, { "/draft/x", "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n" } };
        for (const auto& [target, fields] : calls) {
            CAPTURE(target);
            auto id = absl::StrCat("once", target);
            auto response = sendRequest(instance, requestBytes("POST", target, id, fields, "body"));
            CHECK(statusOf(response) == 502);
            CHECK_FALSE(absl::StrContains(response, "Retry-After"));
            CHECK_FALSE(absl::StrContains(response, "X-Server-Seal"));
            CHECK_FALSE(absl::StrContains(response, "hello"));
            CHECK(site.receivedWithId(id) == 1);
            CHECK(waitUntil(1s, [&] { return !instance.linesContaining(absl::StrCat("what=response_withheld id=", id)).empty(); }));
            REQUIRE(waitUntil(1s, [&] { return !instance.linesContaining(absl::StrCat("what=request id=", id)).empty(); }));
            CHECK(absl::StrContains(instance.linesContaining(absl::StrCat("what=request id=", id))[0], "ran=maybe"));
        }
    }
    SECTION("where several runs are allowed, the caller gets the upstream's answer unchanged")
    {
        auto response = sendRequest(instance, requestBytes("GET", "/status/x", "several"));
        CHECK(statusOf(response) == status);
        CHECK(absl::StrContains(response, "X-Server-Seal: the upstream's"));
        CHECK(absl::EndsWith(response, "hello"));
    }
    SECTION("and a refusal that the upstream states stays one")
    {
        site.setScripts(respondWithFields(status, { { "X-Not-Executed", "1" } }));
        auto refused = statusOf(sendRequest(instance, requestBytes("POST", "/booking/x", "refused", {}, "body")));
        CHECK((refused == 429 || refused == 503));
    }
}

// Guards against callers that find an error's text in the middle of their stream, or an end after it.
TEST_CASE("a stream that broke off does not end with the error of the upstream that was asked next")
{
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto answers = std::make_shared<std::atomic<int>>(0);
    int status = GENERATE(500, 503, 404);
    CAPTURE(status);
    site.setEngineScripts([answers, status](const RawRequest& request, RawConnection& connection) {
        if (++*answers > 1)
            return connection.write(responseBytes(status, "what went wrong", { { "X-Attempt-Id", request.field("X-Attempt-Id") } }));
        connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Confidence: 100\r\nX-Attempt-Id: ", request.field("X-Attempt-Id"), "\r\n\r\n", chunk("id: 1\ndata: a\n\n")));
        std::this_thread::sleep_for(20ms);
        connection.reset();
        return false;
    });
    auto response = sendRequest(instance, requestBytes("POST", "/draft/x", "broken", "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n", "p"));
    CHECK(statusOf(response) == 200);
    CHECK(absl::StrContains(response, "data: a"));
    CHECK_FALSE(absl::StrContains(response, "what went wrong"));
    CHECK_FALSE(absl::StrContains(response, absl::StrCat("HTTP/1.1 ", status)));
    CHECK_FALSE(absl::EndsWith(response, "0\r\n\r\n"));
    CHECK(*answers > 1);
}

// Guards against sound streams that are cut because their upstream is slow for a while.
TEST_CASE("a slow stream goes on where no other upstream may be asked")
{
    Site site;
    auto configuration = nlohmann::json::parse(sampleConfiguration(5));
    for (auto& it : configuration["routes"]) {
        it["streamResume"] = false;
        it["timeoutMs"] = 8000;
    }
    site.store.put("op/config", configuration.dump());
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    SECTION("although its events come later than twice the target")
    {
        site.setEngineScripts(streamEvents(3, 2100ms));
        auto connection = RawConnection::connect(instance.port());
        REQUIRE(connection);
        connection->write(requestBytes("POST", "/draft/x", "slow", "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n", "p", 8000ms));
        auto response = connection->readResponse(9s);
        CHECK(absl::StrContains(response, "id: 3"));
        CHECK(absl::EndsWith(response, "0\r\n\r\n"));
    }
    SECTION("and one that only sends bytes that are no event ends with its time")
    {
        site.setEngineScripts([](const RawRequest& request, RawConnection& connection) {
            connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Confidence: 100\r\nX-Attempt-Id: ", request.field("X-Attempt-Id"), "\r\n\r\n", chunk("id: 1\ndata: a\n\n")));
            for (int n = 0; n < 40 && connection.write(chunk(":\n")); ++n)
                std::this_thread::sleep_for(150ms);
            return false;
        });
        auto begin = std::chrono::steady_clock::now();
        auto response = sendRequest(instance, requestBytes("POST", "/draft/x", "stalled", "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n", "p", 3000ms));
        CHECK(std::chrono::steady_clock::now() - begin < 3600ms);
        CHECK_FALSE(absl::EndsWith(response, "0\r\n\r\n"));
    }
}

// Guards against a second run of a long prompt, and against upstreams that are taken for dead, because one is silent for a moment.
TEST_CASE("a stream is not begun again elsewhere while its upstream is silent for two seconds")
{
    Site site;
    auto configuration = nlohmann::json::parse(sampleConfiguration(5));
    for (auto& it : configuration["routes"])
        it["timeoutMs"] = 8000;
    site.store.put("op/config", configuration.dump());
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto asked = std::make_shared<std::atomic<int>>(0);
    auto pauseBefore = GENERATE(1, 2);
    CAPTURE(pauseBefore);
    site.setEngineScripts([asked, pauseBefore](const RawRequest& request, RawConnection& connection) {
        ++*asked;
        connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Confidence: 100\r\nX-Attempt-Id: ", request.field("X-Attempt-Id"), "\r\n\r\n"));
        for (int n = 1; n <= 3; ++n) {
            if (n == pauseBefore)
                std::this_thread::sleep_for(2200ms);
            connection.write(chunk(absl::StrCat("id: ", n, "\ndata: a\n\n")));
        }
        return connection.write("0\r\n\r\n");
    });
    auto connection = RawConnection::connect(instance.port());
    REQUIRE(connection);
    connection->write(requestBytes("POST", "/draft/x", "silent", "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n", "p", 8000ms));
    auto response = connection->readResponse(9s);
    CHECK(absl::StrContains(response, "id: 3"));
    CHECK(*asked == 1);
    CHECK(instance.linesContaining("upstream_ejected").empty());
}
