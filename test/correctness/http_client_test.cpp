#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/http_upstream_client.h"

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

// Guards against processes that end because an engine's count of tokens is not a number.
TEST_CASE("an answer whose token counts are not numbers is passed on, and they count as zero")
{
    const std::string answer = R"({"usage":{"prompt_tokens":null,"completion_tokens":"many"}})";
    HttpServer server({ .listen = "127.0.0.1:0" }, [&](const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
        reply->respond(200, {}, request.path == "/stream" ? "data: " + answer + "\n\ndata: [DONE]\n\n" : answer);
    });
    HttpClient client;
    std::promise<AttemptFinished> finished;
    HttpUpstreamClient upstreams(client, [&](Event event) {
        if (auto* it = std::get_if<AttemptFinished>(&event))
            finished.set_value(*it);
    });
    SendAttempt attempt { .address = "127.0.0.1:" + std::to_string(server.port()), .method = "POST", .body = std::make_shared<const std::string>("{}"), .timeout = Milliseconds(2000) };
    auto checkFinished = [&] {
        upstreams.send(attempt);
        auto result = finished.get_future().get();
        CHECK(result.end == AttemptEnd::Completed);
        CHECK(result.usage.inputTokens == 0);
    };
    SECTION("in one piece")
    {
        attempt.path = "/whole";
        checkFinished();
    }
    SECTION("as a stream")
    {
        attempt.path = "/stream";
        attempt.streamed = true;
        checkFinished();
    }
}
