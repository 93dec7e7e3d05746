// Tests an entry instance whose process is held up (SIGSTOP) until both a deadline has passed and the bytes that it waits for
// have arrived. What matters is what callers and upstreams see: a request is answered, or it was not passed on.

#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

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

void holdUp(EdgeInstance& instance)
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
    auto holdUpUntilDue = [&](EdgeInstance& instance, const std::vector<KeptCaller>& callers, std::chrono::milliseconds rest) {
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

TEST_CASE("an upstream's answer that is ready is delivered, although its deadline passed meanwhile")
{
    std::atomic<bool> mayAnswer = false;
    auto awaitPermission = [&] { waitUntil(10s, [&] { return mayAnswer.load(); }); };
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto caller = RawConnection::connect(instance.port());
    REQUIRE(caller);
    // Holds up the instance for the given time, and has the upstreams answer within that.
    auto answerHeldUp = [&](std::chrono::milliseconds time) {
        holdUp(instance);
        std::this_thread::sleep_for(time / 2);
        mayAnswer = true;
        std::this_thread::sleep_for(time / 2);
        instance.signal(SIGCONT);
    };
    auto isReceived = [&](const std::string& id) { return waitUntil(2s, [&] { return site.receivedWithId(id) == 1; }); };

    // Guards against a second run of a request that was answered, and against the loss of the answer.
    SECTION("a plain answer")
    {
        site.setScripts([&](const RawRequest& request, RawConnection& connection) {
            awaitPermission();
            return connection.write(plainHead(request, Reuse::Allowed) + "hello");
        });
        caller->write(bytesOf(Kind::Status, "id-1"));
        REQUIRE(isReceived("id-1"));
        answerHeldUp(600ms);
        checkAnswered(site, instance, "id-1", caller->readResponse());
    }
    // Guards against an answer that is given up between its parts.
    SECTION("the rest of a body")
    {
        site.setScripts([&](const RawRequest& request, RawConnection& connection) {
            connection.write(plainHead(request, Reuse::Allowed) + "he");
            awaitPermission();
            return connection.write("llo");
        });
        caller->write(bytesOf(Kind::Status, "id-1"));
        REQUIRE(isReceived("id-1"));
        std::this_thread::sleep_for(100ms);
        answerHeldUp(600ms);
        checkAnswered(site, instance, "id-1", caller->readResponse());
    }
    // Guards against the loss of an answer that takes several reads.
    SECTION("a long plain answer")
    {
        constexpr std::size_t longBody = 40000;
        site.setScripts([&](const RawRequest& request, RawConnection& connection) {
            awaitPermission();
            return connection.write(plainHead(request, Reuse::Allowed, longBody + 5) + std::string(longBody, 'x') + "hello");
        });
        caller->write(bytesOf(Kind::Status, "id-1"));
        REQUIRE(isReceived("id-1"));
        answerHeldUp(600ms);
        checkAnswered(site, instance, "id-1", caller->readResponse());
    }
    // Guards against a second run of a stream whose first event is there.
    SECTION("the first event of a stream")
    {
        site.setEngineScripts([&](const RawRequest& request, RawConnection& connection) {
            awaitPermission();
            return connection.write(streamHead(request, Reuse::Allowed) + event(1) + event(2) + "0\r\n\r\n");
        });
        caller->write(bytesOf(Kind::Draft, "id-1", 3000ms));
        REQUIRE(isReceived("id-1"));
        answerHeldUp(2100ms);
        checkAnswered(site, instance, "id-1", caller->readResponse());
    }
    // Guards against second runs of streams whose first events the event loop sees only in the turn after their deadline.
    SECTION("the first events of many streams")
    {
        site.setEngineScripts([&](const RawRequest& request, RawConnection& connection) {
            awaitPermission();
            return connection.write(streamHead(request, Reuse::Allowed) + event(1) + "0\r\n\r\n");
        });
        std::vector<std::unique_ptr<RawConnection>> callers;
        for (int n = 0; n < manyConnections; ++n) {
            callers.push_back(RawConnection::connect(instance.port()));
            REQUIRE(callers.back());
            callers.back()->write(bytesOf(Kind::Draft, absl::StrCat("id-", n), 3000ms));
        }
        REQUIRE(waitUntil(1500ms, [&] { return site.engine.count() + site.otherEngine.count() == manyConnections; }));
        answerHeldUp(2100ms);
        for (int n = 0; n < manyConnections; ++n)
            checkAnswered(site, instance, absl::StrCat("id-", n), callers[n]->readResponse());
    }
    // Guards against a stream that is resumed elsewhere, or broken off, although its next event is there.
    SECTION("the next event of a stream")
    {
        site.setEngineScripts([&](const RawRequest& request, RawConnection& connection) {
            connection.write(streamHead(request, Reuse::Allowed) + event(1));
            awaitPermission();
            return connection.write(event(2) + "0\r\n\r\n");
        });
        caller->write(bytesOf(Kind::Draft, "id-1", 3000ms));
        REQUIRE(caller->readUntil([](const std::string& in) { return absl::StrContains(in, "id: 1"); }));
        answerHeldUp(1700ms);
        auto response = caller->readResponse();
        CHECK(absl::StrContains(response, "id: 2"));
        checkAnswered(site, instance, "id-1", response);
    }
    // Guards against a 504 in place of an answer that is there, of a request that ran.
    SECTION("a plain answer after the time of the request is over")
    {
        site.setScripts([&](const RawRequest& request, RawConnection& connection) {
            awaitPermission();
            return connection.write(plainHead(request, Reuse::Allowed) + "hello");
        });
        auto other = RawConnection::connect(instance.port());
        REQUIRE(other);
        caller->write(bytesOf(Kind::Status, "id-1", 400ms));
        other->write(bytesOf(Kind::Booking, "id-2", 400ms));
        REQUIRE((isReceived("id-1") && isReceived("id-2")));
        answerHeldUp(500ms);
        checkAnswered(site, instance, "id-1", caller->readResponse());
        checkAnswered(site, instance, "id-2", other->readResponse());
    }
}

TEST_CASE("an upstream that does not answer in time is still given up by an instance that was held up")
{
    std::atomic<int> sends = 0;
    Site site;
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto checkOtherAnswers = [&] {
        auto caller = RawConnection::connect(instance.port());
        REQUIRE(caller);
        caller->write(bytesOf(Kind::Status, "id-1"));
        REQUIRE(waitUntil(2s, [&] { return sends == 1; }));
        holdUp(instance);
        std::this_thread::sleep_for(600ms);
        instance.signal(SIGCONT);
        CHECK(isWhole(caller->readResponse(1500ms)));
        CHECK(sends == 2);
    };
    // Guards against a request that waits for ever for a silent upstream.
    SECTION("one that is silent")
    {
        site.setScripts([&](const RawRequest& request, RawConnection& connection) {
            if (++sends == 1)
                return !connection.isClosedWithin(4s);
            return connection.write(plainHead(request, Reuse::Allowed) + "hello");
        });
        checkOtherAnswers();
    }
    // Guards against an upstream that keeps a request because bytes wait whenever the deadline is due.
    SECTION("one that sends its head byte by byte")
    {
        site.setScripts([&](const RawRequest& request, RawConnection& connection) {
            auto head = plainHead(request, Reuse::Allowed);
            if (++sends > 1)
                return connection.write(head + "hello");
            for (std::size_t n = 0; n < head.size(); ++n) {
                if (!connection.write(head.substr(n, 1)) || connection.isClosedWithin(30ms))
                    break;
            }
            return false;
        });
        checkOtherAnswers();
    }
}

namespace {

// An upstream whose queue of new connections is full, so that the kernel drops the first packet of the next connection and
// completes it about a second later if there is room by then.
class FullUpstream {
public:
    FullUpstream()
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        auto address = loopbackAddress(0);
        socklen_t size = sizeof address;
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(m_listener, 0) == 0);
        REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        m_port = ntohs(address.sin_port);
        m_filler = RawConnection::connect(m_port);
        REQUIRE(m_filler);
    }
    ~FullUpstream() { ::close(m_listener); }
    FullUpstream(const FullUpstream&) = delete;
    FullUpstream& operator=(const FullUpstream&) = delete;

    std::string registration() const
    {
        return absl::StrCat(R"({"backend":"orders","address":"127.0.0.1:)", m_port, R"(","zone":"halle-a","version":"v1","capacity":8,"state":"ready","coldRemainingMs":0,"seq":1,"born":1})");
    }
    // Takes the connection that filled the queue, and then the next one.
    std::unique_ptr<RawConnection> acceptNext() const
    {
        static_cast<void>(accept());
        return accept();
    }

private:
    std::unique_ptr<RawConnection> accept() const
    {
        constexpr int acceptTimeoutMs = 4000;
        pollfd it { m_listener, POLLIN, 0 };
        if (::poll(&it, 1, acceptTimeoutMs) <= 0)
            return nullptr;
        return std::make_unique<RawConnection>(::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC));
    }

    int m_listener;
    int m_port = 0;
    std::unique_ptr<RawConnection> m_filler;
};

}

TEST_CASE("a connection to an upstream that is established is used, although its deadline passed meanwhile")
{
    Site site;
    FullUpstream upstream;
    site.store.remove("servers/i-1");
    site.store.remove("servers/i-2");
    site.store.put("servers/i-5", upstream.registration());
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto caller = RawConnection::connect(instance.port());
    REQUIRE(caller);
    caller->write(bytesOf(Kind::Status, "id-1"));
    std::this_thread::sleep_for(100ms);
    holdUp(instance);

    // Guards against an upstream that counts as unreachable because the instance was held up.
    SECTION("a connection that was established while the instance was held up")
    {
        auto connection = upstream.acceptNext();
        REQUIRE(connection);
        instance.signal(SIGCONT);
        connection->readUntil([](const std::string& in) { return absl::EndsWith(in, "\r\n\r\n"); }, 1s);
        if (connection->isOpen()) {
            if (auto request = connection->readRequest())
                connection->write(plainHead(*request, Reuse::Allowed) + "hello");
        }
        auto response = caller->readResponse();
        CAPTURE(response);
        CHECK(isWhole(response));
    }
    // Guards against a request that waits for ever for an upstream that does not accept its connection.
    SECTION("one that is not established is still given up")
    {
        std::this_thread::sleep_for(300ms);
        instance.signal(SIGCONT);
        CHECK(statusOf(caller->readResponse(1s)) == 503);
    }
}

TEST_CASE("a request whose caller left while the instance was held up is not passed on")
{
    Site site;
    setReuse(site, Reuse::Allowed);
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    constexpr int count = 12;
    auto callers = connectCallers(instance, count);
    holdUp(instance);
    sendAll(callers);
    auto checkNonePassedOn = [&] {
        std::this_thread::sleep_for(100ms);
        instance.signal(SIGCONT);
        std::this_thread::sleep_for(500ms);
        for (const auto& it : callers) {
            CAPTURE(it.id);
            CHECK(site.receivedWithId(it.id) == 0);
        }
    };

    // Guards against work for callers that are gone, where the end of the connection was there before the request was read.
    SECTION("a caller that closed its connection")
    {
        for (auto& it : callers)
            it.connection = nullptr;
        checkNonePassedOn();
    }
    // Guards against the same after a reset.
    SECTION("a caller that reset its connection")
    {
        for (const auto& it : callers)
            it.connection->reset();
        checkNonePassedOn();
    }
}

namespace {

// What a caller saw of one request.
struct SeenRequest {
    std::string id;
    std::string response;
};

// Sends requests, 20 ms after each response, on one connection as long as it is kept and then on new ones, until no
// connection can be made.
std::vector<SeenRequest> sendUntilRefused(int port, std::unique_ptr<RawConnection> connection, const std::string& idPrefix)
{
    std::vector<SeenRequest> seen;
    while (connection) {
        auto id = absl::StrCat(idPrefix, "-", seen.size());
        connection->write(bytesOf(Kind::Status, id));
        seen.push_back({ id, connection->readResponse() });
        bool isKept = connection->isOpen() && isWhole(seen.back().response) && !absl::StrContains(seen.back().response, "Connection: close");
        std::this_thread::sleep_for(20ms);
        if (!isKept)
            connection = RawConnection::connect(port);
    }
    return seen;
}

}

TEST_CASE("an instance that stops answers what it passed on")
{
    Site site;
    site.setScripts([](const RawRequest& request, RawConnection& connection) {
        std::this_thread::sleep_for(5ms);
        return connection.write(plainHead(request, Reuse::Allowed) + "hello");
    });
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));

    constexpr int count = 30;
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int n = 0; n < count; ++n) {
        connections.push_back(RawConnection::connect(instance.port()));
        REQUIRE(connections.back());
        // All kinds are fast before the signal, so the instance expects to answer them in time.
        connections.back()->write(bytesOf(allKinds[n % std::size(allKinds)], absl::StrCat("id-first-", n)));
        REQUIRE(isWhole(connections.back()->readResponse()));
    }
    auto startedAt = Clock::now();
    instance.signal(SIGTERM);
    auto checkNoneUnanswered = [&](const std::vector<SeenRequest>& seen) {
        std::set<std::string> received;
        for (const auto& it : site.allRequests())
            received.insert(it.field("X-Attempt-Id"));
        for (const auto& it : seen) {
            CAPTURE(it.id, it.response);
            CHECK((!received.contains(it.id) || isWhole(it.response)));
        }
    };

    // Guards against requests that come in the last moments before the exit, on connections that were kept till then.
    SECTION("30 callers that send until it is gone, half of them first shortly before that")
    {
        // An instance stops taking connections 3.4 s after SIGTERM if the entry addresses may be cached for 1 s.
        constexpr auto firstLateSend = 3300ms, stepOfLateSends = 20ms;
        std::vector<std::vector<SeenRequest>> seen(count);
        std::vector<std::thread> threads;
        for (int n = 0; n < count; ++n) {
            threads.emplace_back([&, n] {
                if (n % 2 == 1)
                    std::this_thread::sleep_until(startedAt + firstLateSend + n / 2 * stepOfLateSends);
                seen[n] = sendUntilRefused(instance.port(), std::move(connections[n]), absl::StrCat("id-", n));
            });
        }
        auto status = instance.process().waitForExit(Seconds(6));
        for (auto& it : threads)
            it.join();
        CHECK(status == 0);
        std::vector<SeenRequest> all;
        for (const auto& it : seen)
            all.insert(all.end(), it.begin(), it.end());
        CHECK(all.size() > 10 * count);
        checkNoneUnanswered(all);
    }
    // Guards against requests that end without an answer because they are still at work when the time for stopping is over.
    SECTION("callers whose upstreams are still at work then")
    {
        auto neverAnswer = [](const RawRequest&, RawConnection& connection) { return !connection.isClosedWithin(6s); };
        site.setScripts(neverAnswer);
        site.setEngineScripts([](const RawRequest& request, RawConnection& connection) {
            connection.write(streamHead(request, Reuse::Allowed) + event(1));
            return !connection.isClosedWithin(6s);
        });
        std::this_thread::sleep_until(startedAt + 2600ms);
        connections[0]->write(bytesOf(Kind::Booking, "id-1", 5000ms));
        connections[1]->write(bytesOf(Kind::Draft, "id-2", 5000ms));
        CHECK(statusOf(connections[0]->readResponse()) == 502);
        auto stream = connections[1]->readResponse();
        CHECK(absl::StrContains(stream, "id: 1"));
        CHECK_FALSE(absl::EndsWith(stream, "0\r\n\r\n"));
        CHECK(instance.process().waitForExit(Seconds(2)) == 0);
        CHECK(site.receivedWithId("id-1") == 1);
        CHECK(instance.linesContaining("error=instance_draining").size() == 2);
    }
    // Guards against requests that are passed on in the same turn of the event loop in which the process ends.
    SECTION("30 callers that send while it is held up past the end of its time for stopping")
    {
        // Half of the connections have had no request yet.
        for (int n = 1; n < count; n += 2) {
            connections[n] = RawConnection::connect(instance.port());
            REQUIRE(connections[n]);
        }
        // The instance ends 400 ms before the platform kills it, which is 4 s after SIGTERM.
        std::this_thread::sleep_until(startedAt + 3200ms);
        holdUp(instance);
        std::vector<SeenRequest> seen;
        for (int n = 0; n < count; ++n) {
            seen.push_back({ absl::StrCat("id-", n), {} });
            connections[n]->write(bytesOf(Kind::Status, seen.back().id));
        }
        std::this_thread::sleep_until(startedAt + 3650ms);
        instance.signal(SIGCONT);
        for (int n = 0; n < count; ++n)
            seen[n].response = connections[n]->readResponse();
        CHECK(instance.process().waitForExit(Seconds(2)) == 0);
        checkNoneUnanswered(seen);
    }
}
