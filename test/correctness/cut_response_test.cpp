// Tests how libcurl's ends of transfers are told apart: each response is sent as raw bytes and cut after every one of them.

#include "adapters/http_client.h"
#include "adapters/http_store.h"
#include "adapters/http_upstream_client.h"
#include "fakes/cut_responses.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace skylarkhitch;
using standin::Close;
using standin::CuttingServer;

namespace {

HttpResult send(HttpClient& client, HttpCall call)
{
    std::promise<HttpResult> result;
    client.start(std::move(call), { .onEnd = [&](HttpResult it) { result.set_value(std::move(it)); } });
    return result.get_future().get();
}

}

// Guards against the start of a response that counts as a whole one: a service stops while it writes the head of its response,
// and the caller gets an empty 200 for a call that may or may not have run.
TEST_CASE("a response that is cut after any byte is not a complete one")
{
    CuttingServer server;
    HttpClient client;
    for (const auto& it : standin::cutResponses()) {
        DYNAMIC_SECTION("with " << it.name)
        {
            HttpCall call { .method = it.method, .address = server.address(), .path = "/", .timeout = Milliseconds(5000), .freshConnection = true, .mayResend = false };
            if (call.method == "POST" || call.method == "PUT")
                call.body = std::make_shared<const std::string>("x");
            SECTION("the whole response is")
            {
                server.answerWith(it.bytes, Close::Orderly);
                auto result = send(client, call);
                CHECK(result.end == HttpEnd::Complete);
                CHECK(result.status == it.status);
                CHECK(result.body == it.body);
            }
            SECTION("and one whose connection is closed in order is cut")
            {
                auto head = standin::headLength(it.bytes);
                for (std::size_t n = 0; n < it.bytes.size(); ++n) {
                    bool isIndistinguishable = it.endsWithConnection && n >= head;
                    server.answerWith(it.bytes.substr(0, n), Close::Orderly);
                    auto result = send(client, call);
                    CAPTURE(n, it.bytes.substr(0, n), result.status);
                    // By RFC 9112, section 8, a chunked body is complete once its zero-sized chunk was received. libcurl waits
                    // for the CR after it and not for the LF.
                    if (it.hasChunks && n + 1 == it.bytes.size())
                        CHECK(result.body == it.body);
                    else
                        CHECK(result.end == (isIndistinguishable ? HttpEnd::Complete : HttpEnd::Cut));
                    CHECK(server.requests() == 1);
                }
            }
            SECTION("and one whose connection is reset is cut")
            {
                auto last = it.endsWithConnection ? it.bytes.size() + 1 : it.bytes.size();
                for (std::size_t n = 0; n < last; ++n) {
                    server.answerWith(it.bytes.substr(0, n), Close::Reset);
                    auto result = send(client, call);
                    CAPTURE(n, it.bytes.substr(0, n), result.status);
                    CHECK(result.end == HttpEnd::Cut);
                    CHECK(server.requests() == 1);
                }
            }
        }
    }
}

// Guards against an answer of a service in trouble that is passed on.
TEST_CASE("a response with a status or a field that HTTP does not have is no complete one")
{
    CuttingServer server;
    HttpClient client;
    HttpCall call { .address = server.address(), .path = "/", .timeout = Milliseconds(2000), .freshConnection = true, .mayResend = false };
    auto receiveHead = [&](const std::string& start, const std::string& field) {
        server.answerWith(absl::StrCat(start, "\r\nX-Build: 7\r\n", field, "Content-Length: 2\r\n\r\nok"), Close::Orderly);
        return send(client, call);
    };
    SECTION("statuses")
    {
        for (const auto& status : standin::invalidStatuses()) {
            CAPTURE(status);
            CHECK(receiveHead(absl::StrCat("HTTP/1.1 ", status, " X"), "").end == HttpEnd::Cut);
        }
        CHECK(receiveHead("HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK", "").end == HttpEnd::Cut);
        for (const auto& status : standin::validStatuses()) {
            CAPTURE(status);
            CHECK(receiveHead(absl::StrCat("HTTP/1.1 ", status, " X"), "").end == HttpEnd::Complete);
        }
        CHECK(receiveHead("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", "").end == HttpEnd::Complete);
    }
    SECTION("names of fields")
    {
        for (const auto& field : standin::invalidFieldLines()) {
            CAPTURE(field);
            CHECK(receiveHead("HTTP/1.1 200 OK", field).end == HttpEnd::Cut);
            CHECK(receiveHead(absl::StrCat("HTTP/1.1 103 Early Hints\r\n", field, "\r\nHTTP/1.1 200 OK"), "").end == HttpEnd::Cut);
        }
        CHECK(receiveHead("HTTP/1.1 200 OK", standin::validFieldLine).end == HttpEnd::Complete);
    }
}

// Guards against half a response that counts as a whole one: a service in trouble answers while the request is still being sent.
TEST_CASE("a response whose connection ends while the request is sent is no complete one")
{
    // More than sockets buffer.
    constexpr std::size_t longBodyBytes = std::size_t { 32 } << 20;
    std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    bool readsAll = false, resets = false;
    standin::LoopbackListener service([&](int fd) {
        standin::RawConnection connection(fd);
        connection.readUntil([](const std::string& in) { return in.find("\r\n\r\n") != std::string::npos; });
        connection.write(head + "half");
        if (readsAll)
            connection.readUntil([&](const std::string& in) { return in.size() > longBodyBytes; }, std::chrono::seconds(10));
        if (!resets)
            connection.endWriting();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        connection.reset();
    });
    HttpClient client;
    HttpCall call { .method = "POST", .address = absl::StrCat("127.0.0.1:", service.port()), .path = "/", .body = std::make_shared<const std::string>(longBodyBytes, 'x'), .timeout = Milliseconds(5000), .freshConnection = true, .mayResend = false };
    SECTION("the service resets the connection")
    {
        resets = true;
        CHECK(send(client, call).end == HttpEnd::Cut);
    }
    SECTION("the service ends its stream, and resets the connection later")
    {
        CHECK(send(client, call).end == HttpEnd::Cut);
    }
    SECTION("a service that has read the request ends its response in order")
    {
        readsAll = true;
        auto result = send(client, call);
        CHECK(result.end == HttpEnd::Complete);
        CHECK(result.body == "half");
    }
}

// Guards against a refusal that is read from the fields of another part: X-Not-Run in an interim response or in a trailer.
TEST_CASE("the fields of a response are those of its final head")
{
    CuttingServer server;
    HttpClient client;
    HttpCall call { .address = server.address(), .path = "/", .timeout = Milliseconds(5000) };
    server.answerWith("HTTP/1.1 103 Early Hints\r\nX-Not-Run: true\r\nX-Build: 6\r\n\r\n"
                      "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nX-Build: 7\r\n\r\n2\r\nno\r\n0\r\nX-Not-Run: true\r\nX-Build: 8\r\n\r\n",
        Close::Orderly);
    auto result = send(client, call);
    CHECK(result.end == HttpEnd::Complete);
    CHECK(result.status == 503);
    CHECK(result.body == "no");
    CHECK_FALSE(result.headers.contains("x-not-run"));
    CHECK(result.headers["x-build"] == "7");
}

// Guards against an empty 200 for a call to a service, and against "not run" for one that may have run.
TEST_CASE("a call whose response breaks off in its head may have run")
{
    CuttingServer server;
    HttpClient client;
    std::promise<AttemptFinished> finished;
    HttpUpstreamClient upstreams(client, [&](Event event) {
        if (auto* it = std::get_if<AttemptFinished>(&event))
            finished.set_value(std::move(*it));
    });
    auto head = GENERATE(std::string("HTTP/1.1 200 OK\r\n"), std::string("HTTP/1.1 201 Created\r\nContent-Type: appl"), std::string("HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\n"),
        std::string("HTTP/1.1 100 Continue\r\n\r\n"));
    auto kind = GENERATE(CallKind::Service, CallKind::Chat);
    CAPTURE(head, static_cast<int>(kind));
    server.answerWith(head, Close::Orderly);
    SendAttempt attempt { .kind = kind, .address = server.address(), .method = "POST", .path = "/slots", .body = std::make_shared<const std::string>("{}"), .timeout = Milliseconds(2000) };
    upstreams.send(attempt);
    CHECK(finished.get_future().get().end == AttemptEnd::Cut);
    CHECK(server.requests() == 1);
}

// Guards against a write that is taken for refused, and against a key that is taken for missing.
TEST_CASE("an answer of the store that breaks off in its head is none")
{
    CuttingServer server;
    HttpClient client;
    HttpStore store(client, server.address());
    auto operation = GENERATE(StoreOperation::Get, StoreOperation::List, StoreOperation::CompareAndSwap, StoreOperation::Remove, StoreOperation::Watch);
    auto head = GENERATE(std::string("HTTP/1.1 200 OK\r\n"), std::string("HTTP/1.1 404 Not Found\r\nX-"), std::string("HTTP/1.1 409 Conflict\r\n"));
    CAPTURE(static_cast<int>(operation), head);
    server.answerWith(head, Close::Orderly);
    std::promise<StoreReply> reply;
    store.call({ .operation = operation, .key = "k", .value = "v", .timeout = Milliseconds(2000) }, [&](StoreReply it) { reply.set_value(std::move(it)); });
    CHECK(reply.get_future().get().status == StoreStatus::Unavailable);
}
