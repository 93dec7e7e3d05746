// Tests the server side of HTTP/1.1 connections in this process, with handlers of the test.

#include "adapters/log.h"
#include "edge/caller_connection.h"
#include "edge/request_forwarder.h"
#include "processes/edge_instance.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <iostream>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>
#include <thread>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

// A server on a loopback port with its own thread.
class Server {
public:
    // `memory` and `descriptors` bound what the connections may take together; 0 sets no bound.
    explicit Server(RequestHandler handler, CallerLimits limits = {}, std::size_t memory = 0, std::int64_t descriptors = 0)
        : m_limits(limits)
        , m_state(std::make_shared<ServerState>())
        , m_port(freePort())
    {
        m_state->handler = std::move(handler);
        m_state->limits = [this] { return m_limits; };
        m_state->memory = std::make_shared<InstanceMemory>(memory);
        m_state->descriptors = DescriptorBudget(descriptors);
        m_listener = std::make_unique<HttpListener>(m_loop, absl::StrCat("127.0.0.1:", m_port), m_state);
        m_thread = std::thread([this] { runLoop(m_loop, "server"); });
    }
    ~Server() { stop(); }

    // Ends the thread. No event of the loop is handled afterwards.
    void stop()
    {
        m_loop.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    std::unique_ptr<RawConnection> connect(int receiveBytes = 0) const
    {
        auto connection = RawConnection::connect(m_port, receiveBytes);
        REQUIRE(connection);
        return connection;
    }
    std::string request(const std::string& target) const
    {
        auto connection = connect();
        connection->write(absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: x\r\n\r\n"));
        return connection->readResponse(2s);
    }
    EventLoop& loop() { return m_loop; }
    // Requests that a handler is serving.
    std::int64_t requests()
    {
        return read([](const ServerState& state) { return state.requests; });
    }
    std::int64_t connections()
    {
        return read([](const ServerState& state) { return state.connections; });
    }
    std::size_t heldMemory()
    {
        return read([](const ServerState& state) { return state.memory->held(); });
    }
    // Replaces the limits, as a new version of the configuration does.
    void setLimits(const CallerLimits& limits)
    {
        read([&](ServerState& state) {
            m_limits = limits;
            state.applyLimits();
            return true;
        });
    }

private:
    // Calls the function on the thread of the server.
    template <typename Function>
    std::invoke_result_t<Function, ServerState&> read(Function function)
    {
        std::promise<std::invoke_result_t<Function, ServerState&>> result;
        asio::post(m_loop, [&] { result.set_value(function(*m_state)); });
        return result.get_future().get();
    }
    static int freePort()
    {
        EventLoop loop;
        return asio::ip::tcp::acceptor(loop, tcpEndpoint("127.0.0.1:0")).local_endpoint().port();
    }

    EventLoop m_loop { 1 };
    CallerLimits m_limits;
    std::shared_ptr<ServerState> m_state;
    int m_port;
    std::unique_ptr<HttpListener> m_listener;
    std::thread m_thread;
};

// Collects the lines of the log while it exists.
class CollectedLog {
public:
    CollectedLog()
        : m_previous(std::cerr.rdbuf(m_text.rdbuf()))
    {
        startLog("info", "test");
    }
    ~CollectedLog() { stop(); }
    CollectedLog(const CollectedLog&) = delete;
    CollectedLog& operator=(const CollectedLog&) = delete;

    // Returns all lines. Nothing is collected afterwards.
    std::string stop()
    {
        if (m_previous) {
            stopLog();
            std::cerr.rdbuf(std::exchange(m_previous, nullptr));
        }
        return m_text.str();
    }

private:
    std::ostringstream m_text;
    std::streambuf* m_previous;
};

}

// Guards against callers that wait for a response until their own time limit, because a handler has returned without one.
TEST_CASE("a handler that returns without a response ends its request with an error")
{
    Server server([](std::shared_ptr<CallerConnection> connection, ReceivedRequest request) -> Awaitable<void> {
        EdgeResponse response { .status = 200 };
        if (request.target == "/begun") {
            co_await connection->beginBody(response);
            co_await connection->writeBody("part");
        }
        if (request.target == "/served")
            co_await connection->respond(response);
    });
    SECTION("before the response has started, the caller gets status 500")
    {
        auto response = server.request("/silent");
        CHECK(absl::StartsWith(response, "HTTP/1.1 500"));
        CHECK(absl::StrContains(response, "Connection: close"));
    }
    SECTION("after the response has started, the connection is closed before its last chunk")
    {
        auto connection = server.connect();
        connection->write("GET /begun HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(connection->isClosedWithin(2s));
    }
    SECTION("after a response, the connection serves the next request")
    {
        auto connection = server.connect();
        for (int n = 0; n < 2; ++n) {
            connection->write("GET /served HTTP/1.1\r\nHost: x\r\n\r\n");
            CHECK(absl::StartsWith(connection->readResponse(2s), "HTTP/1.1 200"));
        }
    }
}

// Guards against a caller that waits or reads slowly and is taken for one that has left, so that its request is dropped.
TEST_CASE("a caller that is silent for some seconds keeps its connection")
{
    SECTION("a caller that does not read for four seconds gets its whole response")
    {
        constexpr int receiveBytes = 16 * 1024;
        constexpr std::size_t bodyBytes = std::size_t { 7 } << 20;
        std::atomic<bool> isWritten = false;
        Server server([&](std::shared_ptr<CallerConnection> connection, ReceivedRequest) -> Awaitable<void> {
            EdgeResponse response { .status = 200, .body = std::string(bodyBytes, 'x') };
            isWritten = co_await connection->respond(std::move(response));
        });
        auto connection = server.connect(receiveBytes);
        connection->write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
        std::this_thread::sleep_for(4s);
        CHECK(connection->readResponse(10s).size() > bodyBytes);
        CHECK(waitUntil(2s, [&] { return isWritten.load(); }));
    }
    SECTION("its limits for lost probes and unread data are ten seconds at least")
    {
        EventLoop loop;
        TcpSocket socket(loop, asio::ip::tcp::v4());
        setCallerConnectionOptions(socket);
        auto optionOf = [&](int name) {
            int n = 0;
            socklen_t size = sizeof n;
            getsockopt(socket.native_handle(), IPPROTO_TCP, name, &n, &size);
            return n;
        };
        // The connection fails at the first probe that is due after the user timeout, if an earlier one was lost.
        int idle = optionOf(TCP_KEEPIDLE), interval = optionOf(TCP_KEEPINTVL);
        CHECK(idle + interval * (optionOf(TCP_KEEPCNT) - 1) >= 10);
        CHECK(optionOf(TCP_USER_TIMEOUT) >= 1000 * (idle + interval));
        CHECK(optionOf(TCP_USER_TIMEOUT) >= 10'000);
    }
}

// Guards against sound upstreams that are ejected, for all callers, because some caller does not read its long response.
TEST_CASE("an upstream is not blamed if this instance has no memory left for its response")
{
    constexpr int receiveBytes = 16 * 1024;
    constexpr std::size_t slowBytes = std::size_t { 7 } << 20, otherBytes = std::size_t { 2 } << 20;
    const ServiceId service { "files" };
    LoopbackServer upstream([&](const RawRequest& request, RawConnection& connection) {
        auto id = request.field("X-Attempt-Id");
        return connection.write(responseBytes(200, std::string(id == "id-slow" ? slowBytes : otherBytes, 'x'), { { "X-Attempt-Id", id } }));
    });
    auto configuration = std::make_shared<RoutingConfiguration>();
    configuration->services[service] = { service, "/", 0, {} };
    configuration->routes.push_back({ .name = "files", .host = "x", .prefix = "/", .kind = RouteKind::Idempotent, .timeout = 10s, .split = { { service, 1 } } });
    FleetView view;
    view.configuration = configuration;
    view.upstreams[service] = { { { "i-1" }, service, upstream.address(), { "a" }, "v1", 8, true, 1, {} } };

    TrafficState* traffic = nullptr;
    Server server([&](std::shared_ptr<CallerConnection> connection, ReceivedRequest request) -> Awaitable<void> {
        auto forwarder = std::make_shared<RequestForwarder>(*traffic, std::move(connection), std::move(request));
        co_await forwarder->run();
    });
    EdgeMetrics metrics;
    TrafficState state(server.loop(), TrafficSettings {}, metrics);
    state.setView(std::make_shared<const FleetView>(view));
    traffic = &state;
    auto requestOf = [](const std::string& id) { return absl::StrCat("GET /x HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: ", id, "\r\n\r\n"); };

    auto slow = server.connect(receiveBytes);
    slow->write(requestOf("id-slow"));
    REQUIRE(slow->readUntil([](const std::string& in) { return !in.empty(); }));
    for (int n = 0; n < 3; ++n) {
        auto other = server.connect();
        other->write(requestOf(absl::StrCat("id-", n)));
        auto response = other->readResponse();
        UNSCOPED_INFO(response.substr(0, response.find("\r\n")));
    }
    // The slow caller still has its response before it.
    REQUIRE(waitUntil(2s, [&] { return server.requests() == 1; }));
    slow->reset();
    REQUIRE(waitUntil(2s, [&] { return server.requests() == 0; }));
    server.stop();
    CHECK_FALSE(state.balancer().isEjected({ "i-1" }, bootNow()));
}

// Guards against a line that names an orderly close as the error of a connection that was reset.
TEST_CASE("the line for a response that breaks off names the error that ended it")
{
    constexpr int receiveBytes = 16 * 1024;
    constexpr std::size_t pieceBytes = std::size_t { 7 } << 20;
    std::atomic<bool> isWriting = false;
    EventLoop* loop = nullptr;
    CollectedLog log;
    {
        Server server([&](std::shared_ptr<CallerConnection> connection, ReceivedRequest) -> Awaitable<void> {
            connection->setRequestId("id-1");
            EdgeResponse response { .status = 200 };
            co_await connection->beginBody(std::move(response));
            isWriting = true;
            co_await connection->writeBody(std::string(pieceBytes, 'x'));
            // As a stream whose upstream is still read.
            co_await sleepFor(*loop, Milliseconds(50));
        });
        loop = &server.loop();
        auto connection = server.connect(receiveBytes);
        connection->write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(waitUntil(2s, [&] { return isWriting.load(); }));
        std::this_thread::sleep_for(200ms);
        connection->reset();
        REQUIRE(waitUntil(2s, [&] { return server.requests() == 0; }));
    }
    auto lines = log.stop();
    CAPTURE(lines);
    CHECK(absl::StrContains(lines, "what=connection_closed_unanswered id=id-1 end=socket_error response=begun"));
    CHECK(absl::StrContains(lines, "error=\"Connection reset by peer\""));
}

// Guards against connections that close without a response because an exception left the request's handler.
TEST_CASE("an exception in a handler ends its request with an error")
{
    Server server([](std::shared_ptr<CallerConnection> connection, ReceivedRequest request) -> Awaitable<void> {
        // Built before the calls: g++ 12 destroys an aggregate inside a co_await expression twice.
        EdgeResponse response { .status = 200 };
        if (request.target == "/begun") {
            co_await connection->beginBody(response);
            co_await connection->writeBody("part");
        }
        if (request.target == "/complete") {
            EdgeResponse whole { .status = 200, .body = "whole" };
            co_await connection->respond(std::move(whole));
        }
        if (request.target != "/served")
            throw std::runtime_error("handler failed");
        co_await connection->respond(response);
    });
    SECTION("before the response has started, the caller gets status 500")
    {
        auto response = server.request("/failing");
        CHECK(absl::StartsWith(response, "HTTP/1.1 500"));
        CHECK(absl::StrContains(response, "Connection: close"));
    }
    SECTION("after the response has started, it ends without its last chunk")
    {
        auto response = server.request("/begun");
        CHECK_FALSE(absl::EndsWith(response, "0\r\n\r\n"));
    }
    SECTION("after the response, the caller has it whole")
    {
        CHECK(absl::EndsWith(server.request("/complete"), "whole"));
    }
    SECTION("the request no longer counts as being served, and others are served")
    {
        server.request("/failing");
        // The response is written before the request is counted as ended.
        CHECK(waitUntil(2s, [&] { return server.requests() == 0; }));
        CHECK(absl::StartsWith(server.request("/served"), "HTTP/1.1 200"));
    }
}

TEST_CASE("a caller that does not finish its request is closed after the limit")
{
    auto handler = [](std::shared_ptr<CallerConnection> connection, ReceivedRequest) -> Awaitable<void> {
        EdgeResponse response { .status = 200 };
        co_await connection->respond(std::move(response));
    };
    Server server(handler, { .headerTimeout = 200ms, .idleTimeout = 200ms });
    auto connection = server.connect();
    // Guards against connections without a deadline.
    SECTION("also if it waits for 100 Continue first and then sends no body")
    {
        connection->write("POST /x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        REQUIRE(connection->readUntil([](const std::string& in) { return absl::StartsWith(in, "HTTP/1.1 100 Continue\r\n\r\n"); }));
        CHECK(connection->isClosedWithin(3s));
    }
}

TEST_CASE("a caller that sends many requests at once is read only as far as its requests are served")
{
    constexpr std::int64_t servedRequests = 2000;
    // More than a socket buffers, and less than the server would read if it took a block with each request.
    constexpr std::size_t limitBytes = std::size_t { 16 } << 20;
    std::atomic<std::int64_t> served = 0;
    auto handler = [&](std::shared_ptr<CallerConnection> connection, ReceivedRequest) -> Awaitable<void> {
        EdgeResponse response { .status = 200 };
        if (++served > servedRequests) {
            connection->abort();
            co_return;
        }
        co_await connection->respond(std::move(response));
    };
    Server server(handler);
    auto connection = server.connect();
    // Guards against memory that grows with each request of a caller that does not wait for responses.
    SECTION("its other requests stay in the socket")
    {
        std::string block;
        while (block.size() < 64 * 1024)
            block += "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
        std::size_t sent = 0;
        std::thread reader([&] { connection->readUntil([](const std::string&) { return false; }, 20s); });
        while (sent < 4 * limitBytes && connection->write(block))
            sent += block.size();
        reader.join();
        CHECK(served > servedRequests);
        CHECK(sent < limitBytes);
    }
}

// Guards against a callback that runs when what it refers to has ended with its handler.
TEST_CASE("the callback for a caller's disconnect does not run after an exception has ended the handler")
{
    std::atomic<bool> hasFailed = false, hasRunLate = false;
    std::promise<void> started, mayFail;
    auto handler = [&](std::shared_ptr<CallerConnection> connection, ReceivedRequest) -> Awaitable<void> {
        connection->onDisconnect([&] { hasRunLate = hasFailed.load(); });
        started.set_value();
        // Blocks the event loop, so that it does not see the reset before the exception.
        mayFail.get_future().wait();
        hasFailed = true;
        throw std::runtime_error("handler failed");
        co_return;
    };
    Server server(handler);
    auto connection = server.connect();
    connection->write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    started.get_future().wait();
    connection->reset();
    std::this_thread::sleep_for(50ms);
    mayFail.set_value();
    REQUIRE(waitUntil(2s, [&] { return server.requests() == 0; }));
    CHECK_FALSE(hasRunLate);
}

// Guards against requests of all callers that end without a response at the same moment, because an event of one connection could
// not be handled.
TEST_CASE("an exception in an event of one connection leaves the requests of the others alone")
{
    constexpr int others = 7;
    std::atomic<int> waiting = 0;
    EventLoop* loop = nullptr;
    auto handler = [&](std::shared_ptr<CallerConnection> connection, ReceivedRequest request) -> Awaitable<void> {
        EdgeResponse response { .status = 200 };
        if (request.target == "/left")
            connection->onDisconnect([] { throw std::runtime_error("event failed"); });
        ++waiting;
        co_await sleepFor(*loop, Milliseconds(500));
        co_await connection->respond(std::move(response));
    };
    Server server(handler);
    loop = &server.loop();
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (int n = 0; n < others; ++n) {
        callers.push_back(server.connect());
        callers.back()->write("GET /kept HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    auto leaving = server.connect();
    leaving->write("GET /left HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(waitUntil(2s, [&] { return waiting == others + 1; }));
    leaving->reset();
    for (auto& it : callers)
        CHECK(absl::StartsWith(it->readResponse(2s), "HTTP/1.1 200"));
}

// Guards against a limit that the configuration allows, but that refuses every request of all callers.
TEST_CASE("the largest limits that a configuration may state refuse no request")
{
    auto handler = [](std::shared_ptr<CallerConnection> connection, ReceivedRequest) -> Awaitable<void> {
        EdgeResponse response { .status = 200 };
        co_await connection->respond(std::move(response));
    };
    auto bytes = GENERATE(std::size_t { 1 } << 32, std::size_t { 1 } << 40);
    Server server(handler, { .maxHeaderBytes = bytes, .maxBodyBytes = bytes });
    CHECK(absl::StartsWith(server.request("/x"), "HTTP/1.1 200"));
}

namespace {

Awaitable<void> respondOk(std::shared_ptr<CallerConnection> connection, ReceivedRequest)
{
    EdgeResponse response { .status = 200 };
    co_await connection->respond(std::move(response));
}

std::string postBytes(std::size_t bodyBytes, std::size_t sentBytes)
{
    return absl::StrCat("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: ", bodyBytes, "\r\n\r\n", std::string(sentBytes, 'x'));
}
std::string postBytes(std::size_t bodyBytes) { return postBytes(bodyBytes, bodyBytes); }

bool isRefused(const std::string& response) { return absl::StartsWith(response, "HTTP/1.1 503") && absl::StrContains(response, "Retry-After: 0.2\r\n") && absl::StrContains(response, "Connection: close"); }

}

// Guards against callers that are treated by limits which are no longer in force, because their connections were open before.
TEST_CASE("new limits hold for connections that wait")
{
    constexpr std::size_t callers = 20;
    constexpr CallerLimits earlier { .maxHeaderBytes = 400, .maxBodyBytes = 400, .idleTimeout = 500ms };
    Server server(respondOk, earlier);
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (std::size_t n = 0; n < callers; ++n) {
        connections.push_back(server.connect());
        connections.back()->write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(absl::StartsWith(connections.back()->readResponse(2s), "HTTP/1.1 200"));
    }
    auto limits = earlier;
    auto countStatus = [&](const std::string& status, const std::string& request) {
        std::size_t count = 0;
        for (auto& it : connections) {
            it->write(request);
            count += absl::StartsWith(it->readResponse(2s), "HTTP/1.1 " + status) ? 1 : 0;
        }
        return count;
    };
    auto longHead = absl::StrCat("GET /x HTTP/1.1\r\nHost: x\r\nX-Filler: ", std::string(500, 'x'), "\r\n\r\n");
    SECTION("a longer body is accepted")
    {
        limits.maxBodyBytes = 4000;
        server.setLimits(limits);
        CHECK(countStatus("200", postBytes(3000)) == callers);
    }
    SECTION("a body that is too long now is refused")
    {
        limits.maxBodyBytes = 100;
        server.setLimits(limits);
        CHECK(countStatus("413", postBytes(300)) == callers);
    }
    SECTION("a longer head is accepted")
    {
        limits.maxHeaderBytes = 4000;
        server.setLimits(limits);
        CHECK(countStatus("200", longHead) == callers);
    }
    SECTION("a head that is too long now is refused")
    {
        limits.maxHeaderBytes = 100;
        server.setLimits(limits);
        CHECK(countStatus("431", "GET /x HTTP/1.1\r\nHost: x\r\nX-Filler: " + std::string(100, 'x') + "\r\n\r\n") == callers);
    }
    // Of 20 connections that had waited across such a change, all were closed at the old limit.
    SECTION("connections that may be idle for longer are kept for longer")
    {
        limits.idleTimeout = 15s;
        server.setLimits(limits);
        std::this_thread::sleep_for(4s);
        CHECK(countStatus("200", "GET /x HTTP/1.1\r\nHost: x\r\n\r\n") == callers);
    }
    SECTION("connections that may be idle for less are closed earlier")
    {
        limits.idleTimeout = 15s;
        server.setLimits(limits);
        std::this_thread::sleep_for(100ms);
        server.setLimits(earlier);
        CHECK(waitUntil(5s, [&] { return server.connections() == 0; }));
    }
}

// Guards against a refusal that is lost, because the connection was reset while the caller still sent its body.
TEST_CASE("a refusal reaches a caller that still sends its body")
{
    constexpr std::size_t longBytes = std::size_t { 4 } << 20;
    constexpr int rounds = 20;
    constexpr std::size_t memory = std::size_t { 6 } << 20;
    Server server(respondOk, { .maxBodyBytes = longBytes }, memory);
    auto holder = server.connect();
    holder->write(postBytes(longBytes, 1));
    REQUIRE(waitUntil(2s, [&] { return server.heldMemory() > longBytes; }));

    SECTION("because the instance has no memory, also if the caller reads only after it has sent all")
    {
        int refused = 0;
        for (int n = 0; n < rounds; ++n) {
            auto connection = server.connect();
            connection->write(postBytes(longBytes));
            refused += isRefused(connection->readResponse(2s)) ? 1 : 0;
        }
        CHECK(refused == rounds);
        SECTION("and the body that was accepted first is served")
        {
            holder->write(std::string(longBytes - 1, 'x'));
            CHECK(absl::StartsWith(holder->readResponse(2s), "HTTP/1.1 200"));
        }
        SECTION("and after the first has left, another one is accepted")
        {
            holder->reset();
            REQUIRE(waitUntil(2s, [&] { return server.heldMemory() < longBytes; }));
            auto connection = server.connect();
            connection->write(postBytes(longBytes));
            CHECK(absl::StartsWith(connection->readResponse(2s), "HTTP/1.1 200"));
        }
    }
    SECTION("because the body is too long")
    {
        int refused = 0;
        for (int n = 0; n < rounds; ++n) {
            auto connection = server.connect();
            connection->write(postBytes(longBytes + 1));
            refused += absl::StartsWith(connection->readResponse(2s), "HTTP/1.1 413") ? 1 : 0;
        }
        CHECK(refused == rounds);
    }
    SECTION("before it has sent any of it")
    {
        auto connection = server.connect();
        connection->write(postBytes(longBytes, 0));
        CHECK(isRefused(connection->readResponse(2s)));
    }
    SECTION("and the connection of one that sends on is closed")
    {
        auto connection = server.connect();
        connection->write(postBytes(longBytes, 0));
        std::size_t sent = 0;
        auto block = std::string(64 * 1024, 'x');
        while (sent < 16 * longBytes && connection->write(block))
            sent += block.size();
        CHECK(sent < 16 * longBytes);
    }
    SECTION("and the connection of one that does nothing is closed")
    {
        auto connection = server.connect();
        connection->write(postBytes(longBytes, 0));
        CHECK(waitUntil(5s, [&] { return server.connections() == 1; }));
    }
}

// Guards against a crowd with requests that stay incomplete, which keeps all others out.
TEST_CASE("small requests are served although a crowd holds the memory")
{
    constexpr std::size_t memory = std::size_t { 2 } << 20;
    constexpr std::size_t crowd = 64;
    constexpr std::size_t bodyBytes = 60'000;
    Server server(respondOk, {}, memory);
    std::vector<std::unique_ptr<RawConnection>> connections;
    SECTION("with small bodies that do not end")
    {
        for (std::size_t n = 0; n < crowd; ++n) {
            connections.push_back(server.connect());
            connections.back()->write(postBytes(bodyBytes, bodyBytes - 1));
        }
        REQUIRE(waitUntil(2s, [&] { return server.heldMemory() > memory / 2; }));
        CHECK(waitUntil(10s, [&] { return absl::StartsWith(server.request("/x"), "HTTP/1.1 200"); }));
    }
    SECTION("with one long body that does not end")
    {
        auto holder = server.connect();
        holder->write(postBytes(2 * memory, 1));
        REQUIRE(waitUntil(2s, [&] { return server.heldMemory() > 2 * memory; }));
        CHECK(waitUntil(10s, [&] { return absl::StartsWith(server.request("/x"), "HTTP/1.1 200"); }));
    }
    CHECK(server.heldMemory() < 3 * memory);
}

// Guards against idle connections that take the descriptors which requests need.
TEST_CASE("connections beyond the descriptors take the place of those that have waited longest")
{
    constexpr std::int64_t descriptors = 12;
    Server server(respondOk, {}, 0, descriptors);
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int n = 0; n < 3 * descriptors; ++n) {
        connections.push_back(server.connect());
        // Each is served, and then waits.
        connections.back()->write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(absl::StartsWith(connections.back()->readResponse(2s), "HTTP/1.1 200"));
    }
    CHECK(server.connections() <= descriptors);
    CHECK(connections.front()->isClosedWithin(2s));
    connections.back()->write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(absl::StartsWith(connections.back()->readResponse(2s), "HTTP/1.1 200"));
}

TEST_CASE("chunk lines and trailers of a request are bounded")
{
    Server server(respondOk);
    auto statusAfter = [&](const std::string& body) {
        auto connection = server.connect();
        connection->write("POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
        return statusOf(connection->readResponse(2s));
    };
    auto filler = [](std::size_t bytes) { return std::string(bytes, 'x'); };
    CHECK(statusAfter("4;name=" + filler(8000) + "\r\nbody\r\n0\r\n\r\n") == 200);
    CHECK(statusAfter("4\r\nbody\r\n0\r\nX-Filler: " + filler(8000) + "\r\n\r\n") == 200);
    CHECK(statusAfter("4;name=" + filler(20000)) == 400);
    CHECK(statusAfter("4\r\nbody\r\n0\r\nX-Filler: " + filler(20000)) == 400);
    CHECK(statusAfter("4\r\nbody\r\n0\r\n" + absl::StrReplaceAll(filler(2000), { { "x", "X-A: 12345\r\n" } })) == 400);
}

// Guards against HEAD requests that wait for a body until their time limit, since the response states its length.
TEST_CASE("a HEAD request is answered without waiting for a body")
{
    const ServiceId service { "files" };
    LoopbackServer upstream([&](const RawRequest& request, RawConnection& connection) {
        return connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", request.field("X-Attempt-Id"), "\r\nContent-Length: 500\r\n\r\n"));
    });
    auto configuration = std::make_shared<RoutingConfiguration>();
    configuration->services[service] = { service, "/", 0, {} };
    configuration->routes.push_back({ .name = "files", .host = "x", .prefix = "/", .kind = RouteKind::Idempotent, .timeout = 10s, .split = { { service, 1 } } });
    FleetView view;
    view.configuration = configuration;
    view.upstreams[service] = { { { "i-1" }, service, upstream.address(), { "a" }, "v1", 8, true, 1, {} } };
    TrafficState* traffic = nullptr;
    Server server([&](std::shared_ptr<CallerConnection> connection, ReceivedRequest request) -> Awaitable<void> {
        auto forwarder = std::make_shared<RequestForwarder>(*traffic, std::move(connection), std::move(request));
        co_await forwarder->run();
    });
    EdgeMetrics metrics;
    TrafficState state(server.loop(), TrafficSettings {}, metrics);
    state.setView(std::make_shared<const FleetView>(view));
    traffic = &state;
    auto connection = server.connect();
    for (int n = 0; n < 2; ++n) {
        connection->write(absl::StrCat("HEAD /x HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: id-", n, "\r\n\r\n"));
        auto response = connection->readResponse(3s);
        CHECK(absl::StartsWith(response, "HTTP/1.1 200"));
        CHECK(absl::EndsWith(response, "\r\n\r\n"));
    }
    CHECK(waitUntil(2s, [&] { return server.requests() == 0; }));
    server.stop();
}
