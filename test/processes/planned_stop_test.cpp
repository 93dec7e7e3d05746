// Tests planned stops of an entry instance on kept connections: signals that come in series, requests that come during the
// drain, and the end of the grace period. What matters is what callers and upstreams see.

#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <mutex>
#include <optional>
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

// Nothing if the path does not name a time.
std::optional<std::chrono::milliseconds> workOf(const RawRequest& request)
{
    int ms = 0;
    auto path = request.path();
    if (!absl::SimpleAtoi(path.substr(path.rfind('/') + 1), &ms))
        return std::nullopt;
    return std::chrono::milliseconds(ms);
}

// Requests that upstreams could not work on as asked. Their threads record them and the test checks that there are none, since Catch2's
// assertions may be used on the test's thread only.
class OddRequests {
public:
    void add(const RawRequest& request)
    {
        std::lock_guard lock(m_mutex);
        m_targets.push_back(request.target);
    }
    std::vector<std::string> targets()
    {
        std::lock_guard lock(m_mutex);
        return m_targets;
    }

private:
    std::mutex m_mutex;
    std::vector<std::string> m_targets;
};

void checkNone(OddRequests& requests) { CHECK(requests.targets() == std::vector<std::string>()); }

// Upstreams whose work takes the time that the request's path names; engines send events throughout. They close the connection of a
// request whose path names none.
[[nodiscard]] std::shared_ptr<OddRequests> workAsAsked(Site& site)
{
    auto oddRequests = std::make_shared<OddRequests>();
    site.setScripts([oddRequests](const RawRequest& request, RawConnection& connection) {
        auto work = workOf(request);
        if (!work)
            oddRequests->add(request);
        return work && !connection.isClosedWithin(*work) && respondWith("hello")(request, connection);
    });
    site.setEngineScripts([oddRequests](const RawRequest& request, RawConnection& connection) {
        auto work = workOf(request);
        if (!work)
            oddRequests->add(request);
        return work && streamEvents(static_cast<int>(*work / eventGap), eventGap)(request, connection);
    });
    return oddRequests;
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
    auto oddRequests = workAsAsked(site);
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
    checkNone(*oddRequests);
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

namespace {

// What a caller saw of one request.
struct SeenRequest {
    Kind kind;
    std::string id;
    Clock::time_point sentAt;
    Clock::time_point endedAt;
    std::string response;
};

// Sends requests one after another, on one connection as long as it is kept and then on new ones, until no connection can be
// made. After a refusal, waits as long as callers are told. `works` is the work of the requests in turn.
std::vector<SeenRequest> sendUntilGone(int port, Kind kind, const std::string& idPrefix, const std::vector<std::chrono::milliseconds>& works)
{
    std::vector<SeenRequest> seen;
    auto connection = RawConnection::connect(port);
    while (connection) {
        SeenRequest request { kind, absl::StrCat(idPrefix, "-", seen.size()), Clock::now() };
        connection->write(bytesOf(kind, request.id, works[seen.size() % works.size()]));
        request.response = connection->readResponse();
        request.endedAt = Clock::now();
        bool isKept = connection->isOpen() && !request.response.empty() && !absl::StrContains(request.response, "Connection: close");
        std::this_thread::sleep_for(statusOf(request.response) == 503 ? 100ms : 1ms);
        seen.push_back(std::move(request));
        if (!isKept)
            connection = RawConnection::connect(port);
    }
    return seen;
}

// A refusal is answered within this time on a machine that is busy.
constexpr std::chrono::milliseconds refusalTime { 200 };

// Checks a request that an instance got during its drain: the whole answer came, or it was refused at once, and then no upstream
// has seen it.
void checkServedOrRefused(Site& site, const SeenRequest& request)
{
    CAPTURE(request.id, request.response.substr(0, shownBytes));
    if (isWhole(request.response))
        return;
    CHECK(site.receivedWithId(request.id) == 0);
    // The end of the process may cross a request.
    if (request.response.empty())
        return;
    CHECK(statusOf(request.response) == 503);
    CHECK(absl::StrContains(request.response, "Retry-After: 0."));
    CHECK(absl::StrContains(request.response, "Connection: close\r\n"));
    CHECK(request.endedAt - request.sentAt < refusalTime);
}

// Serves enough requests of a kind for the instance to know how long they take, some at a time.
void serveSome(EdgeInstance& instance, Kind kind, std::chrono::milliseconds work, int times = 1, std::chrono::milliseconds timeout = 3000ms)
{
    constexpr int count = 6;
    for (; times > 0; --times) {
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (int n = 0; n < count; ++n) {
            connections.push_back(RawConnection::connect(instance.port()));
            REQUIRE(connections.back());
            connections.back()->write(bytesOf(kind, absl::StrCat("id-before-", n), work, timeout));
        }
        for (const auto& it : connections)
            REQUIRE(isWhole(it->readResponse()));
    }
}

}

// Guards against requests that are taken during the drain although they cannot end in time: calls that may run once then end with
// an error that does not say whether they ran, and streams break off in the middle.
TEST_CASE("an instance that stops passes on only what it can answer")
{
    Site site;
    auto oddRequests = workAsAsked(site);
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));

    auto stopBetweenCallers = [&](const std::vector<std::chrono::milliseconds>& signals) {
        struct Caller {
            Kind kind;
            std::vector<std::chrono::milliseconds> works;
            // Requests that are sent this long after SIGTERM would certainly fit into the time for stopping.
            std::chrono::milliseconds servedUntil;
        };
        const Caller kinds[] = { { Kind::Booking, { 50ms, 1600ms }, 800ms }, { Kind::Draft, { 1200ms }, 1500ms }, { Kind::Status, { 40ms }, 2500ms } };
        constexpr int count = 12;
        std::vector<std::vector<SeenRequest>> seen(count);
        std::vector<std::thread> threads;
        for (int n = 0; n < count; ++n) {
            threads.emplace_back([&, n] {
                // So that their requests do not begin and end together.
                std::this_thread::sleep_for(n * 100ms);
                seen[n] = sendUntilGone(instance.port(), kinds[n % 3].kind, absl::StrCat("id-", n), kinds[n % 3].works);
            });
        }
        std::this_thread::sleep_for(4s);
        auto stoppedAt = Clock::now();
        for (auto pause : signals) {
            instance.signal(SIGTERM);
            std::this_thread::sleep_for(pause);
        }
        auto status = instance.process().waitForExit(Seconds(6));
        for (auto& it : threads)
            it.join();
        CHECK(status == 0);
        std::map<Kind, int> servedInDrain;
        int refused = 0;
        for (int n = 0; n < count; ++n) {
            for (const auto& it : seen[n]) {
                checkServedOrRefused(site, it);
                bool isServed = isWhole(it.response);
                if (it.sentAt < stoppedAt + kinds[n % 3].servedUntil) {
                    CAPTURE(it.id, it.response.substr(0, shownBytes));
                    CHECK(isServed);
                }
                servedInDrain[it.kind] += isServed && it.sentAt > stoppedAt ? 1 : 0;
                refused += statusOf(it.response) == 503 ? 1 : 0;
            }
        }
        CHECK(servedInDrain.size() == std::size(kinds));
        CHECK(refused > 0);
        CHECK(instance.linesContaining("what=stopped cut=0").size() == 1);
    };
    SECTION("callers that send until it is gone") { stopBetweenCallers({ 0ms }); }
    SECTION("the same with SIGTERM that is repeated") { stopBetweenCallers({ 600ms, 900ms, 0ms }); }

    auto sendAfterStop = [&](std::chrono::milliseconds sinceStop, Kind kind, std::chrono::milliseconds work, std::chrono::milliseconds timeout = 3000ms) {
        auto connection = RawConnection::connect(instance.port());
        REQUIRE(connection);
        auto stoppedAt = Clock::now();
        instance.signal(SIGTERM);
        std::this_thread::sleep_until(stoppedAt + sinceStop);
        SeenRequest request { kind, "id-late", Clock::now() };
        connection->write(bytesOf(kind, request.id, work, timeout));
        request.response = connection->readResponse();
        request.endedAt = Clock::now();
        return request;
    };
    SECTION("nothing is known of the route: a call that may run once is refused")
    {
        auto request = sendAfterStop(1500ms, Kind::Booking, 2500ms);
        checkServedOrRefused(site, request);
    }
    SECTION("nothing is known of the route: a call whose time limit ends before the exit is served")
    {
        auto request = sendAfterStop(1500ms, Kind::Booking, 300ms, 1900ms);
        CHECK(isWhole(request.response));
    }
    SECTION("nothing is known of the route: a call that may be repeated is served as long as it is expected to be fast")
    {
        auto request = sendAfterStop(1500ms, Kind::Status, 100ms);
        CHECK(isWhole(request.response));
    }
    SECTION("a call that its upstream refused late is not sent to another one")
    {
        serveSome(instance, Kind::Booking, 1000ms);
        std::atomic<int> sent = 0;
        site.setScripts([&](const RawRequest& request, RawConnection& connection) {
            if (connection.isClosedWithin(1300ms))
                return false;
            if (sent++ > 0)
                return respondWith("hello")(request, connection);
            return connection.write(responseBytes(503, "", { { "X-Attempt-Id", request.field("X-Attempt-Id") }, { "X-Not-Executed", "1" } }));
        });
        auto request = sendAfterStop(1200ms, Kind::Booking, 0ms);
        CAPTURE(request.response);
        CHECK(statusOf(request.response) == 503);
        CHECK(site.receivedWithId(request.id) == 1);
    }
    SECTION("an answer is not dropped for that of a larger model which comes too late")
    {
        // A larger model is asked only within the target.
        site.store.put("op/config", absl::StrReplaceAll(sampleConfiguration(4), { { "\"targetLatencyMs\":200", "\"targetLatencyMs\":3000" } }));
        REQUIRE(waitUntil(2s, [&] { return !instance.linesContaining("what=configuration version=4").empty(); }));
        serveSome(instance, Kind::Draft, 1000ms);
        site.setEngineScripts([&](const RawRequest& request, RawConnection& connection) {
            if (request.field("X-Model-Name") != "small")
                return streamEvents(30, eventGap)(request, connection);
            return !connection.isClosedWithin(1000ms) && streamEvents(3, 5ms, { .confidence = 10 })(request, connection);
        });
        auto request = sendAfterStop(1400ms, Kind::Draft, 0ms);
        CAPTURE(request.response);
        CHECK(isWhole(request.response));
        CHECK(site.receivedWithId(request.id) == 1);
    }
    checkNone(*oddRequests);
}

// Guards against requests that are passed on late in a stop, as those of their route were short before, and cut when the process ends.
TEST_CASE("late in a stop an instance passes on only what cannot outlast it")
{
    // The exit is 7.6 s after SIGTERM. Requests that are sent in the first 3 s are expected to take as long as others did.
    constexpr auto grace = 8s;
    constexpr std::chrono::milliseconds lateTime { 3200 }, longWork { 5000 }, longLimit { 9000 };
    Site site;
    workAsAsked(site);
    site.store.put("op/config", absl::StrReplaceAll(sampleConfiguration(8), { { "\"timeoutMs\":3000", "\"timeoutMs\":10000" } }));
    EdgeInstance instance("edge-1", site.store.address(), {}, grace);
    REQUIRE(waitUntil(5s, [&] { return !instance.linesContaining("what=configuration version=8").empty() && instance.isReady(); }));

    struct Late {
        Kind kind;
        std::chrono::milliseconds work, timeout;
    };
    auto stopAndSend = [&](const std::vector<Late>& requests) {
        std::vector<SeenRequest> seen(requests.size());
        std::vector<std::thread> threads;
        auto stoppedAt = Clock::now();
        for (std::size_t n = 0; n < requests.size(); ++n) {
            std::shared_ptr<RawConnection> connection = RawConnection::connect(instance.port());
            REQUIRE(connection);
            threads.emplace_back([&, n, connection] {
                std::this_thread::sleep_until(stoppedAt + lateTime);
                seen[n] = { requests[n].kind, absl::StrCat("id-late-", n), Clock::now() };
                connection->write(bytesOf(requests[n].kind, seen[n].id, requests[n].work, requests[n].timeout));
                seen[n].response = connection->readResponse(longLimit);
                seen[n].endedAt = Clock::now();
            });
        }
        instance.signal(SIGTERM);
        for (auto& it : threads)
            it.join();
        for (const auto& it : seen)
            checkServedOrRefused(site, it);
        CHECK(instance.process().waitForExit(Seconds(8)) == 0);
        CHECK(instance.linesContaining("what=stopped cut=0").size() == 1);
        return seen;
    };
    SECTION("few requests of the route were seen, and all were short")
    {
        for (auto kind : { Kind::Booking, Kind::Draft, Kind::Status })
            serveSome(instance, kind, 50ms, 1, longLimit);
        // What must end before the exit, or may be sent again, is served.
        auto seen = stopAndSend({ { Kind::Booking, longWork, longLimit }, { Kind::Draft, longWork, longLimit }, { Kind::Booking, 300ms, 3s }, { Kind::Draft, 300ms, 3s }, { Kind::Status, 300ms, longLimit } });
        for (std::size_t n = 0; n < seen.size(); ++n) {
            CAPTURE(seen[n].id, seen[n].response.substr(0, shownBytes));
            CHECK(isWhole(seen[n].response) == (n >= 2));
        }
    }
    SECTION("many short requests were seen, but of callers that allow less time")
    {
        for (auto kind : { Kind::Booking, Kind::Draft })
            serveSome(instance, kind, 50ms, 40, 2500ms);
        auto seen = stopAndSend({ { Kind::Booking, longWork, longLimit }, { Kind::Draft, longWork, longLimit } });
        for (const auto& it : seen)
            CHECK(statusOf(it.response) == 503);
    }
    SECTION("many were seen, all were short, and so is this one")
    {
        for (auto kind : { Kind::Booking, Kind::Draft })
            serveSome(instance, kind, 50ms, 40, longLimit);
        auto seen = stopAndSend({ { Kind::Booking, 300ms, longLimit }, { Kind::Draft, 300ms, longLimit } });
        for (const auto& it : seen)
            CHECK(isWhole(it.response));
    }
}

namespace {

// Lets the process run for a small part of the time only, as on a machine that is short of processor time, until it ends.
void runSlowly(EdgeInstance& instance)
{
    while (!instance.process().exitStatus()) {
        instance.signal(SIGSTOP);
        std::this_thread::sleep_for(40ms);
        instance.signal(SIGCONT);
        std::this_thread::sleep_for(1ms);
    }
}

}

// Guards against answers that are lost, and requests that end without an answer, because the time for stopping is over.
TEST_CASE("at the end of the grace period ready answers are delivered and the others end with an error")
{
    // More connections than the event loop (Boost.Asio) takes from the kernel in one turn, which is 128.
    constexpr int count = 300;
    // The instance ends requests 400 ms before the platform kills it, which is 4 s after SIGTERM.
    constexpr auto exitTime = 3600ms;
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto oddRequests = workAsAsked(site);
    serveSome(instance, Kind::Booking, 50ms);
    serveSome(instance, Kind::Draft, 50ms);

    Clock::time_point stoppedAt;
    // Sends requests late in the drain to upstreams that work on them until the given time after SIGTERM.
    auto sendLate = [&](std::chrono::milliseconds workUntil) {
        std::vector<Call> calls;
        for (int n = 0; n < count; ++n) {
            calls.push_back({ n % 3 == 2 ? Kind::Draft : Kind::Booking, absl::StrCat("id-", n), RawConnection::connect(instance.port()) });
            REQUIRE(calls.back().connection);
        }
        instance.signal(SIGTERM);
        stoppedAt = Clock::now();
        auto work = [endsAt = stoppedAt + workUntil](RawConnection& connection) { return !connection.isClosedWithin(std::chrono::duration_cast<std::chrono::milliseconds>(endsAt - Clock::now())); };
        site.setScripts([=](const RawRequest& request, RawConnection& connection) { return work(connection) && respondWith("hello")(request, connection); });
        site.setEngineScripts([=](const RawRequest& request, RawConnection& connection) { return work(connection) && streamEvents(1, 0ms)(request, connection); });
        std::this_thread::sleep_until(stoppedAt + 2400ms);
        auto received = [&] { return site.received() + site.engine.count() + site.otherEngine.count(); };
        auto before = received();
        for (const auto& it : calls)
            it.connection->write(bytesOf(it.kind, it.id, 50ms));
        REQUIRE(waitUntil(700ms, [&] { return received() == before + count; }));
        return calls;
    };
    SECTION("answers lie ready when a process that was held up comes to the end")
    {
        auto calls = sendLate(exitTime - 150ms);
        std::this_thread::sleep_until(stoppedAt + exitTime - 300ms);
        instance.signal(SIGSTOP);
        std::this_thread::sleep_until(stoppedAt + exitTime + 50ms);
        instance.signal(SIGCONT);
        checkAllWhole(calls);
        CHECK(instance.process().waitForExit(Seconds(2)) == 0);
    }
    SECTION("many requests end while the process is short of processor time")
    {
        auto calls = sendLate(10s);
        std::this_thread::sleep_until(stoppedAt + exitTime - 100ms);
        runSlowly(instance);
        for (const auto& it : calls) {
            auto response = it.connection->readResponse();
            CAPTURE(it.id, response.substr(0, shownBytes));
            CHECK(statusOf(response) == 502);
        }
        CHECK(instance.linesContaining("unanswered=0").size() == 1);
    }
    checkNone(*oddRequests);
}

// Guards against streams that break off in the middle of a drain because their upstream is silent for a while: no request of the route is
// expected to end before the exit, so none would be sent again.
TEST_CASE("a stream that has begun goes on during a drain although its upstream falls silent")
{
    Site site;
    std::atomic<bool> isSilent = true;
    site.setEngineScripts([&](const RawRequest& request, RawConnection& connection) {
        // The first engine that is asked is silent after its first event, and longer than an instance waits.
        if (isSilent.exchange(false)) {
            connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", request.field("X-Attempt-Id"), "\r\nX-Server-Seal: s\r\nX-Confidence: 100\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("id: 1\ndata: piece 1\n\n")));
            return !connection.isClosedWithin(5s);
        }
        return streamEvents(3, 20ms)(request, connection);
    });
    site.store.put("op/config", absl::StrReplaceAll(sampleConfiguration(8), { { "\"timeoutMs\":3000", "\"timeoutMs\":10000" } }));
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto connection = RawConnection::connect(instance.port());
    REQUIRE(connection);
    // Its time limit ends after the exit, and an instance waits for half of it.
    connection->write(bytesOf(Kind::Draft, "id-1", 0ms, 4200ms));
    REQUIRE(connection->readUntil([](const std::string& in) { return absl::StrContains(in, "piece 1"); }, 2s));
    instance.signal(SIGTERM);
    auto response = connection->readResponse(4s);
    CAPTURE(response.substr(0, shownBytes));
    CHECK(absl::StrContains(response, "piece 3"));
    CHECK(absl::EndsWith(response, "0\r\n\r\n"));
    CHECK(instance.process().waitForExit(Seconds(5)) == 0);
}

// Guards against a process that ends by a fault of its own, and loses the last lines of its log, because work of the control thread
// ends after what it refers to.
TEST_CASE("an instance that ends while it writes the stage of a roll-out ends in order")
{
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    site.store.put("op/rollout/assist", R"({"backend":"assist","target":"v2","durationS":30})");
    REQUIRE(waitUntil(3s, [&] { return site.store.find("status/rollout/assist").has_value(); }));
    // The second signal ends the drain at once, within the pause after the write.
    instance.signal(SIGINT);
    REQUIRE(waitUntil(1s, [&] { return instance.linesContaining("what=signal name=SIGINT stopping=no").size() == 1; }));
    instance.signal(SIGINT);
    CHECK(instance.process().waitForExit(Seconds(2)) == 0);
    CHECK(instance.linesContaining("what=stopped").size() == 1);
}

// Guards against answers that would come only after the platform has killed the process, which is 4 s after SIGTERM.
TEST_CASE("on a small machine the end of a stop is over before the platform kills the process")
{
    // What an instance has at work, on a machine with an eighth of a core that is shared out in periods of 100 ms.
    constexpr int count = 15;
    constexpr auto period = 100ms, share = 12ms;
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto oddRequests = workAsAsked(site);
    serveSome(instance, Kind::Booking, 50ms);
    serveSome(instance, Kind::Draft, 50ms);
    instance.signal(SIGTERM);
    auto stoppedAt = Clock::now();
    auto neverAnswer = [](const RawRequest&, RawConnection& connection) { return !connection.isClosedWithin(10s); };
    site.setScripts(neverAnswer);
    site.setEngineScripts(neverAnswer);
    std::this_thread::sleep_until(stoppedAt + 2400ms);
    std::vector<Call> calls;
    for (int n = 0; n < count; ++n) {
        calls.push_back({ n % 3 == 2 ? Kind::Draft : Kind::Booking, absl::StrCat("id-", n), RawConnection::connect(instance.port()) });
        REQUIRE(calls.back().connection);
        calls.back().connection->write(bytesOf(calls.back().kind, calls.back().id, 50ms));
    }
    std::this_thread::sleep_until(stoppedAt + 3400ms);
    while (!instance.process().exitStatus() && Clock::now() < stoppedAt + EdgeInstance::stopGrace) {
        instance.signal(SIGSTOP);
        std::this_thread::sleep_for(period - share);
        instance.signal(SIGCONT);
        std::this_thread::sleep_for(share);
    }
    bool hasEnded = instance.process().exitStatus().has_value();
    instance.kill();
    CHECK(hasEnded);
    for (const auto& it : calls) {
        auto response = it.connection->readResponse();
        CAPTURE(it.id, response.substr(0, shownBytes));
        CHECK(statusOf(response) == 502);
    }
    checkNone(*oddRequests);
}
