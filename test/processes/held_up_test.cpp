// Tests an entry instance whose process is held up (SIGSTOP) until both a deadline has passed and the bytes that it waits for
// have arrived. What matters is what callers and upstreams see: a request is answered, or it was not passed on.

#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <csignal>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

// An instance adds this to the times that callers are told for an idle connection and for a request head.
constexpr std::chrono::milliseconds deadlineMargin { 2000 };
// How much of a response is shown for a failed check.
constexpr std::size_t shownBytes = 200;
// Time that a stopped process needs to come to rest.
constexpr std::chrono::milliseconds stopTime { 50 };
// Time in which a request that was passed on has surely reached its upstream.
constexpr std::chrono::milliseconds arrivalTime { 100 };
// More connections than the event loop (Boost.Asio) takes from the kernel in one turn, which is 128.
constexpr int manyConnections = 150;

enum class Kind {
    Status,
    Booking,
    Draft,
};

constexpr Kind allKinds[] = { Kind::Status, Kind::Booking, Kind::Draft };

std::string bytesOf(Kind kind, const std::string& id, std::chrono::milliseconds timeout = 2500ms)
{
    if (kind == Kind::Status)
        return requestBytes("GET", "/status/x", id, "", "", timeout);
    if (kind == Kind::Booking)
        return requestBytes("POST", "/booking/x", id, "", "slot 7", timeout);
    return requestBytes("POST", "/draft/x", id, "X-Model-Name: *\r\nX-Token-Count: 900,50\r\n", "prompt", timeout);
}

bool isWhole(const std::string& response)
{
    bool isChunked = absl::StrContains(response, "Transfer-Encoding: chunked");
    return statusOf(response) == 200 && absl::EndsWith(response, isChunked ? "0\r\n\r\n" : "hello");
}

// Whether an instance may send further requests over an upstream's connection.
enum class Reuse {
    Allowed,
    Refused,
};

std::string responseHead(const RawRequest& request, Reuse reuse, const std::string& framing)
{
    auto connection = reuse == Reuse::Allowed ? "Keep-Alive: timeout=20\r\n" : "Connection: close\r\n";
    return absl::StrCat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", request.field("X-Attempt-Id"), "\r\nX-Server-Seal: s\r\n", connection, framing, "\r\n");
}

std::string plainHead(const RawRequest& request, Reuse reuse, std::size_t bodyBytes = 5) { return responseHead(request, reuse, absl::StrCat("Content-Length: ", bodyBytes, "\r\n")); }

std::string streamHead(const RawRequest& request, Reuse reuse)
{
    return responseHead(request, reuse, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
}

std::string event(int n) { return chunk(absl::StrCat("id: ", n, "\ndata: piece ", n, "\n\n")); }

void setReuse(Site& site, Reuse reuse)
{
    site.setScripts([reuse](const RawRequest& request, RawConnection& connection) { return connection.write(plainHead(request, reuse) + "hello"); });
    site.setEngineScripts([reuse](const RawRequest& request, RawConnection& connection) { return connection.write(streamHead(request, reuse) + event(1) + "0\r\n\r\n"); });
}

// Leaves one upstream for each service, so that all requests of a service go to the same one.
void keepOneUpstream(Site& site)
{
    site.store.remove("servers/i-2");
    site.store.remove("servers/i-4");
}

void holdUp(const EdgeInstance& instance)
{
    instance.signal(SIGSTOP);
    std::this_thread::sleep_for(stopTime);
}

// A caller with a kept connection, and the request that it sends while the instance is held up.
struct KeptCaller {
    Kind kind;
    std::string id;
    std::unique_ptr<RawConnection> connection;
};

std::vector<KeptCaller> connectCallers(const EdgeInstance& instance, int count)
{
    std::vector<KeptCaller> callers;
    for (int n = 0; n < count; ++n) {
        auto kind = allKinds[n % std::size(allKinds)];
        callers.push_back({ kind, absl::StrCat("id-", n), RawConnection::connect(instance.port()) });
        REQUIRE(callers.back().connection);
        callers.back().connection->write(bytesOf(kind, absl::StrCat("id-first-", n)));
        REQUIRE(isWhole(callers.back().connection->readResponse()));
    }
    return callers;
}

void sendAll(const std::vector<KeptCaller>& callers)
{
    for (const auto& it : callers)
        it.connection->write(bytesOf(it.kind, it.id));
}

// The log lines of the request, once there are any or the time is over.
std::vector<std::string> requestLines(const EdgeInstance& instance, const std::string& id)
{
    auto find = [&] { return instance.linesContaining(absl::StrCat("what=request id=", id, " ")); };
    waitUntil(500ms, [&] { return !find().empty(); });
    return find();
}

// Checks a request whose caller stayed: it was answered or not passed on, and the log does not say that the caller left.
void checkAnsweredOrNotPassedOn(Site& site, const EdgeInstance& instance, const std::string& id, const std::string& response)
{
    CAPTURE(id, response.substr(0, shownBytes));
    auto isAnswered = isWhole(response);
    auto lines = requestLines(instance, id);
    if (!isAnswered)
        std::this_thread::sleep_for(arrivalTime);
    CHECK(site.receivedWithId(id) == (isAnswered ? 1 : 0));
    CHECK((!isAnswered || lines.size() == 1));
    for (const auto& it : lines) {
        INFO(it);
        CHECK_FALSE(absl::StrContains(it, "error=caller_left"));
        CHECK_FALSE(absl::StrContains(it, "connection=closed_by_caller"));
        CHECK((!isAnswered || absl::StrContains(it, "error=none")));
        CHECK((!isAnswered || absl::StrContains(it, "connection=open")));
    }
}

void checkAnswered(Site& site, const EdgeInstance& instance, const std::string& id, const std::string& response)
{
    CAPTURE(id, response.substr(0, shownBytes));
    CHECK(isWhole(response));
    checkAnsweredOrNotPassedOn(site, instance, id, response);
}

}

TEST_CASE("a request that is due together with the idle deadline of its connection is answered or not passed on")
{
    Site site({ .idle = 100ms });
    keepOneUpstream(site);
    constexpr auto limit = 100ms + deadlineMargin;
    auto holdUpUntilDue = [&](const EdgeInstance& instance, const std::vector<KeptCaller>& callers, std::chrono::milliseconds rest) {
        std::this_thread::sleep_for(rest);
        holdUp(instance);
        sendAll(callers);
        std::this_thread::sleep_for(limit + 200ms - rest);
        instance.signal(SIGCONT);
    };
    auto checkAll = [&](const EdgeInstance& instance, const std::vector<KeptCaller>& callers) {
        for (const auto& it : callers)
            checkAnsweredOrNotPassedOn(site, instance, it.id, it.connection->readResponse());
    };

    // Guards against a request that reaches an idle upstream connection at once and whose caller is then cut off.
    SECTION("with idle connections to the upstreams")
    {
        setReuse(site, Reuse::Allowed);
        EdgeInstance instance("edge-1", site.store.address());
        REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
        auto callers = connectCallers(instance, std::size(allKinds));
        holdUpUntilDue(instance, callers, 1200ms);
        checkAll(instance, callers);
    }
    // Guards against a request that was read, and is dropped and logged as one whose caller left.
    SECTION("with no idle connection to an upstream")
    {
        setReuse(site, Reuse::Refused);
        EdgeInstance instance("edge-1", site.store.address());
        REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
        auto callers = connectCallers(instance, std::size(allKinds));
        holdUpUntilDue(instance, callers, 1200ms);
        checkAll(instance, callers);
    }
    // Guards against a request that is lost because others of the same instance are due in the same turn of its loop.
    SECTION("on 20 connections of one instance")
    {
        setReuse(site, Reuse::Allowed);
        EdgeInstance instance("edge-1", site.store.address());
        REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
        constexpr int count = 20;
        auto callers = connectCallers(instance, count);
        holdUpUntilDue(instance, callers, 1200ms);
        checkAll(instance, callers);
    }
    // Guards against the loss of a request that its caller sent within the idle time that callers are told.
    SECTION("sent within the idle time that callers are told, which is always answered")
    {
        setReuse(site, Reuse::Allowed);
        EdgeInstance instance("edge-1", site.store.address());
        REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
        auto callers = connectCallers(instance, std::size(allKinds));
        holdUpUntilDue(instance, callers, 0ms);
        for (const auto& it : callers)
            checkAnswered(site, instance, it.id, it.connection->readResponse());
    }
}

TEST_CASE("a request whose rest is due together with its deadline is served")
{
    Site site({ .header = 100ms, .idle = 1000ms });
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto bytes = [](int n) { return bytesOf(Kind::Status, absl::StrCat("id-", n)); };
    auto bytesWithBody = [](int n) { return bytesOf(Kind::Booking, absl::StrCat("id-", n)); };
    // Sends requests in two parts, the second one within the limit, while the instance is held up until the limit has passed.
    auto checkServed = [&](int count, auto bytesOfRequest, std::size_t firstBytes, std::chrono::milliseconds limit) {
        std::vector<std::unique_ptr<RawConnection>> callers;
        for (int n = 0; n < count; ++n) {
            callers.push_back(RawConnection::connect(instance.port()));
            REQUIRE(callers.back());
            callers.back()->write(bytesOfRequest(n).substr(0, firstBytes));
        }
        std::this_thread::sleep_for(100ms);
        holdUp(instance);
        std::this_thread::sleep_for(limit / 2);
        for (int n = 0; n < count; ++n)
            callers[n]->write(bytesOfRequest(n).substr(firstBytes));
        std::this_thread::sleep_for(limit / 2);
        instance.signal(SIGCONT);
        for (int n = 0; n < count; ++n)
            checkAnswered(site, instance, absl::StrCat("id-", n), callers[n]->readResponse());
    };
    const std::size_t partOfHead = 20;
    auto allButEnd = bytesWithBody(0).size() - 3;

    // Guards against the loss of a request whose head came in two parts.
    SECTION("the rest of the head") { checkServed(1, bytes, partOfHead, 100ms + deadlineMargin); }
    // Guards against the loss of a request whose body came in two parts.
    SECTION("the rest of the body") { checkServed(1, bytesWithBody, allButEnd, 1000ms); }
    // Guards against the loss of requests whose bytes the event loop sees only in the turn after that of their deadline.
    SECTION("the rest of the heads on many connections") { checkServed(manyConnections, bytes, partOfHead, 100ms + deadlineMargin); }
}

TEST_CASE("callers that send nothing, or too slowly, are still closed")
{
    Site site({ .header = 100ms, .idle = 100ms });
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    constexpr auto limit = 100ms + deadlineMargin;
    auto silent = RawConnection::connect(instance.port());
    auto trickling = RawConnection::connect(instance.port());
    REQUIRE((silent && trickling));
    auto startedAt = Clock::now();
    auto bytes = bytesOf(Kind::Status, "id-1");
    std::size_t sent = 0;
    // Sends the head byte by byte until the connection closes.
    auto trickleUntil = [&](Clock::time_point end) {
        while (Clock::now() < end && sent < bytes.size() && trickling->isOpen()) {
            trickling->write(bytes.substr(sent++, 1));
            static_cast<void>(trickling->isClosedWithin(30ms));
        }
    };

    // Guards against connections that are kept for ever.
    SECTION("by an instance that runs")
    {
        trickleUntil(startedAt + limit + 1s);
        CHECK_FALSE(trickling->isOpen());
        CHECK(silent->isClosedWithin(200ms));
        CHECK(Clock::now() - startedAt >= limit);
    }
    // Guards against a caller that keeps its connection because bytes wait whenever the deadline is due.
    SECTION("by an instance that was held up past their deadlines")
    {
        trickleUntil(startedAt + 500ms);
        holdUp(instance);
        trickleUntil(startedAt + limit + 200ms);
        instance.signal(SIGCONT);
        trickleUntil(Clock::now() + 1s);
        CHECK_FALSE(trickling->isOpen());
        CHECK(silent->isClosedWithin(200ms));
    }
    CHECK(sent < bytes.size());
    CHECK(site.received() == 0);
}
