// Tests that a port which an instance chooses stays its own until it listens there.

#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/peer_transport.h"
#include "adapters/port_reservation.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <future>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace skylarkhitch;

namespace {

// Whether a socket can be bound to the port, as a server or a client of another process would.
bool canBind(int port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    bool bound = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    return bound;
}

}

// Guards against an instance that does not start, or shares a port with another process, because the port that it had chosen was taken
// before it listened there.
TEST_CASE("a port that is reserved is not taken by others")
{
    SECTION("no socket can be bound to it, and none is reserved twice")
    {
        std::set<int> ports;
        for (int n = 0; n < 100; ++n)
            ports.insert(reservePort("127.0.0.1"));
        CHECK(ports.size() == 100);
        int bound = 0;
        for (int it : ports)
            bound += canBind(it) ? 1 : 0;
        CHECK(bound == 0);
    }
    SECTION("a server of callers or operators can listen there")
    {
        auto port = reservePort("127.0.0.1");
        auto address = "127.0.0.1:" + std::to_string(port);
        HttpServer server({ .listen = address }, [](const HttpRequest&, const std::shared_ptr<HttpReply>& reply) { reply->respond(200, {}, "ok"); });
        CHECK(server.port() == port);
        HttpClient client;
        std::promise<HttpResult> result;
        client.start({ .address = address, .path = "/" }, { .onEnd = [&](HttpResult it) { result.set_value(std::move(it)); } });
        CHECK(result.get_future().get().body == "ok");
    }
    SECTION("and so can the transport for peers")
    {
        auto port = reservePort("127.0.0.1");
        PeerTransport peers({ { { "a" }, 1 }, "127.0.0.1:" + std::to_string(port), "secret" }, [](const PeerEnvelope&) {});
        CHECK(peers.port() == port);
    }
}
