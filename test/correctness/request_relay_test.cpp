// Tests requests that go by way of a peer, with a scripted peer.

#include "edge/request_relay.h"
#include "fakes/loopback_server.h"
#include "processes/edge_instance.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <thread>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

constexpr int endStatus = 590;

// Serves each request by way of the peer; if its response did not reach the caller, responds with endStatus plus the end.
class Relaying {
public:
    Relaying(std::string peer, RelayTerms terms)
        : m_peer(std::move(peer))
        , m_terms(std::move(terms))
        , m_traffic(m_loop, TrafficSettings { .instance = { "edge-1" } }, m_metrics)
    {
        auto state = std::make_shared<ServerState>();
        state->limits = [] { return CallerLimits { .maxBodyBytes = std::size_t { 64 } << 20 }; };
        state->handler = [this](std::shared_ptr<CallerConnection> caller, ReceivedRequest request) { return serve(std::move(caller), std::move(request)); };
        EventLoop probe;
        m_port = asio::ip::tcp::acceptor(probe, tcpEndpoint("127.0.0.1:0")).local_endpoint().port();
        m_listener = std::make_unique<HttpListener>(m_loop, absl::StrCat("127.0.0.1:", m_port), state);
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~Relaying()
    {
        m_loop.stop();
        m_thread.join();
    }

    std::string send(const std::string& fields = {}, const std::string& body = {}) const
    {
        auto connection = RawConnection::connect(m_port);
        REQUIRE(connection);
        connection->write(absl::StrCat(body.empty() ? "GET" : "POST", " /a?b HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: id-1\r\nX-Deadline-Ms: 9000\r\n", fields, body.empty() ? "" : absl::StrCat("Content-Length: ", body.size(), "\r\n"), "\r\n", body));
        return connection->readResponse(3s);
    }

private:
    Awaitable<void> serve(std::shared_ptr<CallerConnection> caller, ReceivedRequest request)
    {
        EventStreamParser events(m_terms.lastEvent);
        RequestRelay relay(m_traffic, caller, request, events);
        // Built before the call: g++ 12 destroys an aggregate inside a co_await expression twice.
        RelayCandidate peer { { "edge-2" }, {}, m_peer };
        auto end = co_await relay.sendTo(peer, m_terms);
        if (end == RequestRelay::End::Answered)
            co_return;
        if (caller->hasStartedResponse()) {
            caller->abort();
            co_return;
        }
        EdgeResponse response { .status = endStatus + static_cast<int>(end) };
        co_await caller->respond(std::move(response));
    }

    std::string m_peer;
    RelayTerms m_terms;
    EventLoop m_loop { 1 };
    EdgeMetrics m_metrics;
    TrafficState m_traffic;
    int m_port = 0;
    std::unique_ptr<HttpListener> m_listener;
    std::thread m_thread;
};

int statusFor(RequestRelay::End end) { return endStatus + static_cast<int>(end); }

}

// Guards against a caller who is told that a request has not run, because a peer did not run it, although an attempt before may
// have.
TEST_CASE("a peer's refusal is passed on only if it is true of the whole request")
{
    auto status = GENERATE(408, 421, 429);
    LoopbackServer peer([&](const RawRequest&, RawConnection& connection) { return connection.write(responseBytes(status, "busy", { { "Retry-After", "0.5" } })); });
    SECTION("as it is, if nothing was sent before")
    {
        Relaying relaying(peer.address(), { .timeLeft = 2000ms });
        auto response = relaying.send();
        CHECK(statusOf(response) == status);
        CHECK(absl::StrContains(response, "Retry-After: 0.5"));
    }
    SECTION("not at all, if an attempt before may have run")
    {
        Relaying relaying(peer.address(), { .timeLeft = 2000ms, .mayHaveRun = true });
        CHECK(statusOf(relaying.send()) == statusFor(RequestRelay::End::Refused));
    }
}

// Guards against a request that is given up at a peer which has just lost its links as well, or is about to stop.
TEST_CASE("a peer that cannot serve leaves the request to another one")
{
    LoopbackServer peer([](const RawRequest&, RawConnection& connection) { return connection.write(responseBytes(503, "", { { "Retry-After", "2" } })); });
    Relaying relaying(peer.address(), { .timeLeft = 2000ms });
    CHECK(statusOf(relaying.send()) == statusFor(RequestRelay::End::Refused));
}

// Guards against a booking that is sent to a second peer, or answered as not run, after an upstream has run it: during an upgrade the peer
// may be a build that passes any failure of an upstream on.
TEST_CASE("a failure of an upstream that a peer passes on is told from a refusal of the peer")
{
    auto status = GENERATE(503, 429, 408);
    CAPTURE(status);
    auto mark = GENERATE("X-Server-Seal", "X-Attempt-Id");
    LoopbackServer peer([&](const RawRequest&, RawConnection& connection) { return connection.write(responseBytes(status, "failed", { { mark, "id-1" }, { "Retry-After", "0.5" } })); });
    SECTION("a request that may run once ends with it, and the response is not passed on")
    {
        Relaying relaying(peer.address(), { .timeLeft = 2000ms });
        CHECK(statusOf(relaying.send()) == statusFor(RequestRelay::End::Failed));
    }
    SECTION("a request that may run again gets the response unchanged")
    {
        Relaying relaying(peer.address(), { .timeLeft = 2000ms, .mayRunAgain = true });
        auto response = relaying.send();
        CHECK(statusOf(response) == status);
        CHECK(absl::EndsWith(response, "failed"));
    }
}

// Guards against a request that is sent again after it may have run, and against one that is given up although it was not sent.
TEST_CASE("the end of a relay tells whether the request may have run")
{
    SECTION("nobody listens")
    {
        Relaying relaying("127.0.0.1:1", { .timeLeft = 2000ms });
        CHECK(statusOf(relaying.send()) == statusFor(RequestRelay::End::NotSent));
    }
    SECTION("the peer is lost after it has read the request")
    {
        LoopbackServer peer([](const RawRequest&, RawConnection&) { return false; });
        Relaying relaying(peer.address(), { .timeLeft = 2000ms });
        CHECK(statusOf(relaying.send()) == statusFor(RequestRelay::End::Lost));
    }
    SECTION("the peer is lost in the middle of its response")
    {
        LoopbackServer peer([](const RawRequest&, RawConnection& connection) { return connection.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf") && false; });
        Relaying relaying(peer.address(), { .timeLeft = 2000ms });
        CHECK(statusOf(relaying.send()) == statusFor(RequestRelay::End::Lost));
    }
    SECTION("the peer says nothing")
    {
        LoopbackServer peer([](const RawRequest&, RawConnection& connection) { return !connection.isClosedWithin(3s); });
        Relaying relaying(peer.address(), { .timeLeft = 300ms });
        CHECK(statusOf(relaying.send()) == statusFor(RequestRelay::End::TimedOut));
    }
}

// Guards against a stream whose rest comes from another model than its beginning.
TEST_CASE("a stream that goes on by way of a peer names its last event and its model")
{
    RawRequest received;
    LoopbackServer peer([&](const RawRequest& request, RawConnection& connection) {
        received = request;
        return connection.write(responseBytes(200, "hello"));
    });
    Relaying relaying(peer.address(), { .timeLeft = 2000ms, .lastEvent = 7, .model = ModelId { "large" } });
    CHECK(statusOf(relaying.send("X-Model-Name: *\r\nLast-Event-Id: 3\r\n")) == 200);
    CHECK(received.field("Last-Event-Id") == "7");
    CHECK(received.field("X-Model-Name") == "large");
    CHECK(received.field("X-Attempt-Id") == "id-1");
    CHECK(std::stoi(received.field("X-Deadline-Ms")) <= 2000);
    CHECK(std::count_if(received.fields.begin(), received.fields.end(), [](const auto& it) { return it.name == "X-Model-Name" || it.name == "Last-Event-Id"; }) == 2);
}

// Guards against half a response that a caller gets as a whole one: the peer is lost while the request is still being sent to it.
TEST_CASE("a peer that is lost while a long request is sent to it has not answered")
{
    // More than sockets buffer.
    const std::string body(std::size_t { 32 } << 20, 'x');
    std::string response;
    LoopbackListener peer([&](int fd) {
        RawConnection connection(fd);
        connection.readUntil([](const std::string& in) { return absl::StrContains(in, "\r\n\r\n"); });
        connection.write(response);
        std::this_thread::sleep_for(200ms);
        connection.reset();
    });
    Relaying relaying(absl::StrCat("127.0.0.1:", peer.port()), { .timeLeft = 3000ms });
    SECTION("before the end of its response")
    {
        response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";
        CHECK(statusOf(relaying.send({}, body)) == statusFor(RequestRelay::End::Lost));
    }
    SECTION("between two events of its response")
    {
        response = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n";
        auto received = relaying.send({}, body);
        CHECK(absl::StrContains(received, "data: a"));
        CHECK_FALSE(absl::EndsWith(received, "0\r\n\r\n"));
    }
}
