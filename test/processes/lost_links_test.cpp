// Tests entry instances as real processes of which some have lost their links to all upstreams, but not to callers, store and
// peers.

#include "core/membership/fleet_heartbeat.h"
#include "fakes/loopback_listener.h"
#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

enum class Cut {
    // Connections are refused.
    Refused,
    // Connections are neither accepted nor refused.
    Silent
};

// A port at which nobody is reached.
class LostLink {
public:
    explicit LostLink(Cut cut)
    {
        auto any = loopbackAddress(0);
        socklen_t size = sizeof(any);
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&any), size) == 0);
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&any), &size);
        m_port = ntohs(any.sin_port);
        if (cut == Cut::Refused)
            return;
        // Once the queue of connections that nobody accepts is full, the kernel drops the packets that open further ones.
        REQUIRE(::listen(m_listener, 0) == 0);
        for (auto& it : m_fillers) {
            it = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            ::connect(it, reinterpret_cast<sockaddr*>(&any), size);
        }
    }
    ~LostLink()
    {
        for (auto it : m_fillers)
            ::close(it);
        ::close(m_listener);
    }
    LostLink(const LostLink&) = delete;
    LostLink& operator=(const LostLink&) = delete;

    std::string address() const { return absl::StrCat("127.0.0.1:", m_port); }

private:
    int m_listener = -1;
    int m_port = 0;
    int m_fillers[4] = { -1, -1, -1, -1 };
};

// A site, and a second store that lists the same upstreams at addresses at which they cannot be reached. Instances that use it
// have lost their links.
struct CutSite : Site {
    FleetStore cutStore;
    std::vector<std::unique_ptr<LostLink>> links;

    explicit CutSite(Cut cut)
    {
        cutStore.put("op/config", sampleConfiguration(3));
        for (std::size_t n = 0; n < upstreams().size(); ++n)
            links.push_back(std::make_unique<LostLink>(cut));
        cutLinks();
    }
    ~CutSite() { cutStore.cutWatches(); }

    std::vector<std::pair<ScriptedUpstream*, const char*>> upstreams() { return { { &first, "orders" }, { &second, "orders" }, { &engine, "assist" }, { &otherEngine, "assist" } }; }
    // New connections of instances that use the store reach no upstream, while those that are open stay so.
    void cutLinks()
    {
        std::size_t n = 0;
        for (auto [upstream, service] : upstreams()) {
            auto registration = nlohmann::json::parse(upstream->registration(service));
            registration["address"] = links[n++]->address();
            cutStore.put("servers/" + upstream->id(), registration.dump());
        }
    }
    void restoreLinks()
    {
        for (auto [upstream, service] : upstreams())
            cutStore.put("servers/" + upstream->id(), upstream->registration(service));
    }
};

// Heartbeats of a peer that reaches the upstreams, and that nobody reaches: the way to it is lost, too.
class UnreachablePeer {
public:
    explicit UnreachablePeer(const EdgeInstance& receiver)
        : m_thread([this, port = std::stoi(receiver.peerAddress().substr(receiver.peerAddress().find(':') + 1))] { run(port); })
    {
    }
    ~UnreachablePeer()
    {
        m_isOver = true;
        m_thread.join();
    }
    UnreachablePeer(const UnreachablePeer&) = delete;
    UnreachablePeer& operator=(const UnreachablePeer&) = delete;

private:
    void run(int port)
    {
        auto receiver = loopbackAddress(port);
        int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        FleetHeartbeat heartbeat;
        heartbeat.from = { { "edge-9" }, 1 };
        heartbeat.domain = { "halle-a" };
        heartbeat.addresses = { m_link.address(), m_link.address() };
        heartbeat.ready = true;
        while (!m_isOver) {
            ++heartbeat.sequence;
            auto bytes = encodeHeartbeat(heartbeat);
            ::sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&receiver), sizeof(receiver));
            std::this_thread::sleep_for(100ms);
        }
        ::close(socket);
    }

    LostLink m_link { Cut::Silent };
    std::atomic<bool> m_isOver = false;
    std::thread m_thread;
};

std::string entryAddress(const EdgeInstance& instance) { return absl::StrCat("127.0.0.1:", instance.port()); }

// Contact is lost for less than this before callers must be served again.
constexpr auto contactTime = 3s;

}

// Guards against callers who are refused at an instance that has lost its links to all upstreams while its peers reach them.
TEST_CASE("callers of an instance that lost its links are served by way of a peer")
{
    auto cut = GENERATE(Cut::Refused, Cut::Silent);
    CutSite site(cut);
    EdgeInstance whole("edge-1", site.store.address());
    EdgeInstance lost("edge-2", site.cutStore.address(), whole.peerAddress());
    REQUIRE(waitUntil(5s, [&] { return whole.isReady() && lost.isReady(); }));
    std::this_thread::sleep_for(contactTime);

    SECTION("requests, bookings and streams are answered by upstreams, once each, unchanged and in time")
    {
        for (int n = 0; n < 10; ++n) {
            auto startedAt = std::chrono::steady_clock::now();
            auto response = sendRequest(lost, requestBytes("POST", "/booking/a%2Fb/../c?x=1&x=2", absl::StrCat("b-", n), "X-Other: one\r\nX-Other: two\r\nX-Tenant-Name: forged\r\n", "the body"));
            CHECK(statusOf(response) == 200);
            CHECK(absl::StrContains(response, "X-Server-Seal: seal-of-i-"));
            CHECK(absl::EndsWith(response, "hello"));
            CHECK(std::chrono::steady_clock::now() - startedAt < 150ms);
            CHECK(site.receivedWithId(absl::StrCat("b-", n)) == 1);
        }
        REQUIRE_FALSE(site.allRequests().empty());
        auto request = site.allRequests().front();
        CHECK(request.target == "/booking/a%2Fb/../c?x=1&x=2");
        CHECK(request.body == "the body");
        CHECK(request.field("X-Tenant-Name") == "design");
        CHECK(request.field("Api-Key").empty());
        CHECK(std::stoi(request.field("X-Deadline-Ms")) <= 2500);
        CHECK(std::count_if(request.fields.begin(), request.fields.end(), [](const auto& it) { return it.name == "X-Other"; }) == 2);
        auto stream = sendRequest(lost, requestBytes("POST", "/draft/x", "s-1", "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n", "p"));
        CHECK(statusOf(stream) == 200);
        CHECK(absl::StrContains(stream, "id: 3"));
    }
    SECTION("answers name the instances that reach the upstreams, and others only if none does")
    {
        for (auto* it : { &whole, &lost }) {
            CHECK(absl::StrContains(it->directoryResponse(), entryAddress(whole)));
            CHECK_FALSE(absl::StrContains(it->directoryResponse(), entryAddress(lost)));
        }
        whole.kill();
        CHECK(waitUntil(3s, [&] { return absl::StrContains(lost.directoryResponse(), entryAddress(lost)); }));
    }
    SECTION("the upstreams are not blamed, and a line and a metric say what was lost")
    {
        for (int n = 0; n < 10; ++n)
            sendRequest(lost, requestBytes("GET", "/status/x", absl::StrCat("id-", n)));
        CHECK(lost.linesContaining("what=upstream_ejected").empty());
        CHECK(lost.linesContaining("what=links_lost").size() == 1);
        CHECK(lost.linesContaining("what=request_relayed").size() == 10);
        CHECK(absl::StrContains(lost.metrics(), "{name=\"links_lost\"} 1"));
    }
    SECTION("when it reaches them again, it serves its callers itself")
    {
        site.restoreLinks();
        CHECK(waitUntil(3s, [&] { return !lost.linesContaining("what=links_regained").empty(); }));
        CHECK(statusOf(sendRequest(lost, requestBytes("GET", "/status/x", "id-own"))) == 200);
        CHECK(lost.linesContaining("what=request_relayed").empty());
        CHECK(waitUntil(2s, [&] { return absl::StrContains(whole.directoryResponse(), entryAddress(lost)); }));
    }
}

// Guards against a booking that runs twice, or is said not to have run, when the peer that it went by is lost.
TEST_CASE("a request that went by way of a peer ends truthfully when that peer or its caller is lost")
{
    CutSite site(Cut::Refused);
    EdgeInstance whole("edge-1", site.store.address());
    EdgeInstance other("edge-3", site.store.address(), whole.peerAddress());
    EdgeInstance lost("edge-2", site.cutStore.address(), whole.peerAddress());
    REQUIRE(waitUntil(5s, [&] { return whole.isReady() && other.isReady() && lost.isReady(); }));
    std::this_thread::sleep_for(contactTime);
    std::atomic<int> left = 0;
    site.setScripts([&](const RawRequest& request, RawConnection& connection) {
        if (connection.isClosedWithin(1500ms)) {
            ++left;
            return false;
        }
        return respondWith("hello")(request, connection);
    });
    auto caller = RawConnection::connect(lost.port());
    REQUIRE(caller);

    SECTION("a booking is not run again, and its answer does not say that it has not run")
    {
        caller->write(requestBytes("POST", "/booking/x", "b-1", {}, "body"));
        REQUIRE(waitUntil(2s, [&] { return site.receivedWithId("b-1") == 1; }));
        whole.kill();
        other.kill();
        auto status = statusOf(caller->readResponse());
        CHECK((status == 502 || status == 504));
        std::this_thread::sleep_for(500ms);
        CHECK(site.receivedWithId("b-1") == 1);
    }
    SECTION("if its caller leaves, the upstream sees that soon")
    {
        caller->write(requestBytes("GET", "/status/x", "g-1"));
        REQUIRE(waitUntil(2s, [&] { return site.receivedWithId("g-1") == 1; }));
        caller.reset();
        CHECK(waitUntil(500ms, [&] { return left.load() > 0; }));
    }
    SECTION("if the peer is gone before it is asked, another one is")
    {
        site.setScripts(respondWith("hello"));
        whole.kill();
        for (int n = 0; n < 10; ++n) {
            auto id = absl::StrCat("b-", n);
            CHECK(statusOf(sendRequest(lost, requestBytes("POST", "/booking/x", id, {}, "body"))) == 200);
            CHECK(site.receivedWithId(id) == 1);
        }
    }
}

// Guards against a booking that runs at a second upstream, or is said not to have run, since a failure of its upstream is taken for a
// refusal of the peer that passes it on.
TEST_CASE("a failure of an upstream by way of a peer is no refusal of the peer")
{
    CutSite site(Cut::Refused);
    EdgeInstance whole("edge-1", site.store.address());
    EdgeInstance other("edge-3", site.store.address(), whole.peerAddress());
    EdgeInstance lost("edge-2", site.cutStore.address(), whole.peerAddress());
    REQUIRE(waitUntil(5s, [&] { return whole.isReady() && other.isReady() && lost.isReady(); }));
    std::this_thread::sleep_for(contactTime);
    auto status = GENERATE(503, 429, 408);
    CAPTURE(status);
    site.setScripts([status](const RawRequest& request, RawConnection& connection) {
        return connection.write(responseBytes(status, "failed", { { "X-Attempt-Id", request.field("X-Attempt-Id") }, { "X-Server-Seal", "seal" } }));
    });
    for (int n = 0; n < 10; ++n) {
        auto id = absl::StrCat("b-", n);
        auto response = sendRequest(lost, requestBytes("POST", "/booking/x", id, {}, "body"));
        CHECK(statusOf(response) == 502);
        CHECK_FALSE(absl::StrContains(response, "Retry-After"));
        CHECK(site.receivedWithId(id) == 1);
    }
}

// Guards against responses that are given up although their upstream goes on, since nothing else is reached.
TEST_CASE("a response that an upstream has begun outlives lost links")
{
    CutSite site(Cut::Silent);
    site.restoreLinks();
    std::atomic<bool> mayGoOn = false;
    EdgeInstance lost("edge-1", site.cutStore.address());
    UnreachablePeer peer(lost);
    REQUIRE(waitUntil(5s, [&] { return lost.isReady(); }));
    auto caller = RawConnection::connect(lost.port());
    auto send = [&] {
        caller->write(requestBytes("POST", "/draft/x", "s-1", "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n", "p", 20s));
        REQUIRE(waitUntil(2s, [&] { return site.receivedWithId("s-1") == 1; }));
    };
    auto configuration = nlohmann::json::parse(sampleConfiguration(4));
    for (auto& it : configuration["routes"])
        it["timeoutMs"] = 20000;
    site.cutStore.put("op/config", configuration.dump());
    REQUIRE(waitUntil(5s, [&] { return !lost.linesContaining("what=configuration version=4").empty(); }));
    auto cutLinks = [&] {
        site.cutLinks();
        REQUIRE(waitUntil(5s, [&] { return !lost.linesContaining("what=links_lost").empty(); }));
    };

    SECTION("the small model's answer is uncertain, and no larger one can be asked")
    {
        site.setEngineScripts([&](const RawRequest& request, RawConnection& connection) {
            waitUntil(10s, [&] { return mayGoOn.load(); });
            return streamEvents(10, 100ms, { .confidence = 5 })(request, connection);
        });
        send();
        cutLinks();
        mayGoOn = true;
        auto response = caller->readResponse();
        CHECK(statusOf(response) == 200);
        CHECK(absl::EndsWith(response, "0\r\n\r\n"));
        CHECK(site.receivedWithId("s-1") == 1);
    }
    SECTION("its upstream falls silent, no peer is reached, and the links come back")
    {
        site.setEngineScripts([&](const RawRequest& request, RawConnection& connection) {
            if (mayGoOn)
                return streamEvents(6, 10ms)(request, connection);
            streamEvents(3, 10ms, { .isRunning = [n = std::make_shared<int>(0), &connection] {
                if (++*n == 3)
                    connection.isClosedWithin(10s);
                return *n < 3;
            } })(request, connection);
            return false;
        });
        send();
        REQUIRE(caller->readUntil([](const std::string& in) { return absl::StrContains(in, "id: 2"); }));
        cutLinks();
        REQUIRE(waitUntil(8s, [&] { return !lost.linesContaining("what=request_relayed").empty(); }));
        std::this_thread::sleep_for(1s);
        mayGoOn = true;
        site.restoreLinks();
        auto response = caller->readResponse(8s);
        CHECK(absl::StrContains(response, "id: 6"));
        CHECK(absl::EndsWith(response, "0\r\n\r\n"));
        CHECK(site.receivedWithId("s-1") == 2);
    }
}

// Guards against callers who wait for upstreams that nobody reaches, and against requests that go round between instances.
TEST_CASE("if no instance reaches the upstreams, requests are refused at once and have not run")
{
    CutSite site(GENERATE(Cut::Refused, Cut::Silent));
    EdgeInstance lost("edge-1", site.cutStore.address());
    EdgeInstance other("edge-2", site.cutStore.address(), lost.peerAddress());
    REQUIRE(waitUntil(5s, [&] { return lost.isReady() && other.isReady(); }));
    std::this_thread::sleep_for(contactTime);
    for (int n = 0; n < 5; ++n) {
        auto startedAt = std::chrono::steady_clock::now();
        auto response = sendRequest(lost, requestBytes("POST", "/booking/x", absl::StrCat("b-", n), {}, "body"));
        CHECK(statusOf(response) == 503);
        CHECK(absl::StrContains(response, "Retry-After: "));
        CHECK(std::chrono::steady_clock::now() - startedAt < 50ms);
    }
    CHECK(absl::StrContains(lost.directoryResponse(), entryAddress(lost)));
}

// Guards against a request that two instances without links send to each other.
TEST_CASE("a request that came from a peer is not sent on to another one")
{
    CutSite site(Cut::Refused);
    EdgeInstance whole("edge-1", site.store.address());
    EdgeInstance lost("edge-2", site.cutStore.address(), whole.peerAddress());
    REQUIRE(waitUntil(5s, [&] { return whole.isReady() && lost.isReady(); }));
    std::this_thread::sleep_for(contactTime);
    auto response = sendRequest(lost, requestBytes("POST", "/booking/x", "b-1", "Skylarkhitch-Relayed-By: edge-9\r\n", "body"));
    CHECK(statusOf(response) == 503);
    CHECK(site.receivedWithId("b-1") == 0);
    CHECK(lost.linesContaining("what=request_relayed").empty());

    SECTION("an upstream never sees the field")
    {
        CHECK(statusOf(sendRequest(whole, requestBytes("POST", "/booking/x", "b-2", "Skylarkhitch-Relayed-By: edge-9\r\n", "body"))) == 200);
        REQUIRE(site.receivedWithId("b-2") == 1);
        CHECK(site.allRequests().back().field("Skylarkhitch-Relayed-By").empty());
    }
}
