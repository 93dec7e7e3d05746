#include "adapters/http_client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>

using namespace skylarkhitch;

namespace {

HttpResult send(HttpClient& client, HttpCall call)
{
    std::promise<HttpResult> result;
    client.start(std::move(call), { .onEnd = [&](HttpResult it) { result.set_value(std::move(it)); } });
    return result.get_future().get();
}

}

TEST_CASE("the client reports whether a request was sent")
{
    std::atomic<int> requestCount = 0;
    std::atomic<bool> abortRequests = false;
    auto server = std::make_unique<HttpServer>(HttpServerSettings { .listen = "127.0.0.1:0" }, [&](const HttpRequest&, const std::shared_ptr<HttpReply>& reply) {
        ++requestCount;
        if (abortRequests)
            reply->abort();
        else
            reply->respond(200, {}, "ok");
    });
    HttpClient client;
    HttpCall call { .method = "POST", .address = "127.0.0.1:" + std::to_string(server->port()), .path = "/", .body = std::make_shared<const std::string>("x") };
    call.mayResend = false;
    REQUIRE(send(client, call).end == HttpEnd::Complete);

    SECTION("a request that reached the server on a reused connection is not resent and not reported as unsent when the connection breaks")
    {
        abortRequests = true;
        CHECK(send(client, call).end == HttpEnd::Cut);
        CHECK(requestCount == 2);
    }
    SECTION("the same holds if the server stops listening afterwards")
    {
        abortRequests = true;
        auto port = server->port();
        server.reset();
        // A server on the same port that reads one request, then closes the connection and stops listening.
        HttpServerSettings settings { .listen = "127.0.0.1:" + std::to_string(port) };
        server = std::make_unique<HttpServer>(settings, [&](const HttpRequest&, const std::shared_ptr<HttpReply>& reply) {
            ++requestCount;
            server->stopListening();
            reply->abort();
        });
        CHECK(send(client, call).end == HttpEnd::Cut);
        CHECK(requestCount == 2);
    }
    SECTION("a request to a server that does not listen is reported as not sent")
    {
        server.reset();
        call.freshConnection = true;
        CHECK(send(client, call).end == HttpEnd::NotSent);
    }
}
