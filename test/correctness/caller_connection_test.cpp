// Tests the server side of HTTP/1.1 connections in this process, with handlers of the test.

#include "adapters/log.h"
#include "edge/caller_connection.h"
#include "edge/request_forwarder.h"
#include "processes/edge_instance.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
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
    explicit Server(RequestHandler handler, CallerLimits limits = {})
        : m_state(std::make_shared<ServerState>())
        , m_port(freePort())
    {
        m_state->handler = std::move(handler);
        m_state->limits = [limits] { return limits; };
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
        std::promise<std::int64_t> result;
        asio::post(m_loop, [&] { result.set_value(m_state->requests); });
        return result.get_future().get();
    }

private:
    static int freePort()
    {
        EventLoop loop;
        return asio::ip::tcp::acceptor(loop, tcpEndpoint("127.0.0.1:0")).local_endpoint().port();
    }

    EventLoop m_loop { 1 };
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
