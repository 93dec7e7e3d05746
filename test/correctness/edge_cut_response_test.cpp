// Tests that an entry instance on a platform that declares routes takes no response for a whole one that was cut after any byte.

#include "edge/upstream_connection.h"
#include "fakes/cut_responses.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <thread>

using namespace skylarkhitch;
using namespace std::chrono_literals;
using standin::Close;
using standin::CuttingServer;

namespace {

struct Received {
    TransferEnd head = TransferEnd::Closed;
    TransferEnd body = TransferEnd::Closed;
    int status = 0;
    std::string bytes;

    bool isWhole() const { return head == TransferEnd::Ok && body == TransferEnd::Ok; }
};

// More than sockets buffer, so that it is still being sent while the response is read.
constexpr std::size_t longBodyBytes = std::size_t { 32 } << 20;

// Sends a request, with a body of this size if that is not 0, and reads the response.
Awaitable<void> exchange(EventLoop& loop, const std::string& address, std::size_t bodyBytes, Received& received)
{
    auto connection = std::make_shared<UpstreamConnection>(loop);
    connection->setDeadline(Milliseconds(5000));
    std::shared_ptr<const std::string> body;
    std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    if (bodyBytes > 0) {
        request = absl::StrCat("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ", bodyBytes, "\r\n\r\n");
        body = std::make_shared<const std::string>(bodyBytes, 'x');
    }
    if (!co_await connection->open(address, Milliseconds(1000)))
        co_return;
    connection->setDeadline(Milliseconds(5000));
    if (!co_await connection->send(request, body))
        co_return;
    ResponseHead head;
    received.head = co_await connection->readHead(head);
    received.status = head.status;
    if (received.head != TransferEnd::Ok)
        co_return;
    auto whole = co_await connection->readWholeBody(1 << 20);
    received.body = whole.end;
    received.bytes = whole.bytes;
    connection->close();
}

Received receive(const std::string& address, std::size_t bodyBytes = 0)
{
    EventLoop loop;
    Received received;
    spawn(loop, exchange(loop, address, bodyBytes, received), "exchange");
    loop.run();
    return received;
}

}

// Guards against the start of a response that counts as a whole one: an upstream stops while it writes, and the caller gets an empty
// or a short 200.
TEST_CASE("an entry instance takes no response that is cut for a whole one")
{
    CuttingServer server;
    for (const auto& it : standin::cutResponses()) {
        // The connection does not know the method of its request.
        if (it.method == std::string("HEAD"))
            continue;
        DYNAMIC_SECTION("with " << it.name)
        {
            // Lines must end with CR and LF.
            bool isValid = it.bytes.find("\r\n") != std::string::npos;
            server.answerWith(it.bytes, Close::Orderly);
            auto whole = receive(server.address());
            CHECK(whole.isWhole() == isValid);
            CHECK((!isValid || (whole.status == it.status && whole.bytes == it.body)));
            auto head = standin::headLength(it.bytes);
            for (std::size_t n = 0; n < it.bytes.size(); ++n) {
                CAPTURE(n, it.bytes.substr(0, n));
                bool isIndistinguishable = it.endsWithConnection && n >= head;
                server.answerWith(it.bytes.substr(0, n), Close::Orderly);
                CHECK(receive(server.address()).isWhole() == isIndistinguishable);
                server.answerWith(it.bytes.substr(0, n), Close::Reset);
                CHECK_FALSE(receive(server.address()).isWhole());
                CHECK(server.requests() <= 1);
            }
        }
    }
}

// Guards against half a response that counts as a whole one: an upstream in trouble answers while the request is still being sent, and
// its connection ends before it has read all of it.
TEST_CASE("an entry instance takes no response for a whole one whose connection ends while the request is sent")
{
    std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    std::function<void(standin::RawConnection&)> end;
    // Reads no more of the request than its head, unless `end` does.
    standin::LoopbackListener upstream([&](int fd) {
        standin::RawConnection connection(fd);
        connection.readUntil([](const std::string& in) { return in.find("\r\n\r\n") != std::string::npos; });
        connection.write(head + "half");
        std::this_thread::sleep_for(200ms);
        end(connection);
    });
    const auto address = absl::StrCat("127.0.0.1:", upstream.port());
    auto endStream = [](auto& connection) {
        connection.write(" and half");
        connection.endWriting();
        std::this_thread::sleep_for(300ms);
    };

    SECTION("the upstream is killed")
    {
        end = [](auto& connection) { connection.reset(); };
        auto received = receive(address, longBodyBytes);
        CHECK(received.status == 200);
        CHECK(received.bytes == "half");
        CHECK(received.body == TransferEnd::Closed);
    }
    SECTION("the upstream is stopped until the connection times out")
    {
        end = [](auto&) { std::this_thread::sleep_for(4s); };
        auto received = receive(address, longBodyBytes);
        CHECK(received.status == 200);
        CHECK(received.body == TransferEnd::Closed);
    }
    SECTION("the upstream ends its stream, and resets the connection later")
    {
        end = [&](auto& connection) {
            endStream(connection);
            connection.reset();
        };
        auto received = receive(address, longBodyBytes);
        CHECK(received.status == 200);
        CHECK(received.body == TransferEnd::Closed);
    }
    SECTION("a refusal is whole, since it may end before the request was read")
    {
        head = GENERATE("HTTP/1.1 413 Too Large\r\nConnection: close\r\n\r\n", "HTTP/1.1 500 Error\r\nConnection: close\r\n\r\n");
        end = endStream;
        auto received = receive(address, longBodyBytes);
        CHECK(received.isWhole());
        CHECK(received.bytes == "half and half");
    }
    SECTION("a response with a length is whole")
    {
        head = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n";
        end = endStream;
        auto received = receive(address, longBodyBytes);
        CHECK(received.isWhole());
        CHECK(received.bytes == "half and half");
    }
    SECTION("an upstream that has read the request ends its response in order")
    {
        end = [&](auto& connection) {
            connection.readUntil([&](const std::string& in) { return in.size() > longBodyBytes; }, 10s);
            endStream(connection);
        };
        auto received = receive(address, longBodyBytes);
        CHECK(received.isWhole());
        CHECK(received.bytes == "half and half");
    }
}

// Guards against an answer of an upstream in trouble that is passed on, or waited for until the deadline.
TEST_CASE("an entry instance takes no response with a status or a field for an answer that HTTP does not have")
{
    CuttingServer server;
    auto receiveHead = [&](const std::string& start, const std::string& field) {
        server.answerWith(absl::StrCat(start, "\r\nX-Build: 7\r\n", field, "Content-Length: 2\r\n\r\nok"), Close::Orderly);
        return receive(server.address());
    };
    SECTION("statuses")
    {
        for (const auto& status : standin::invalidStatuses()) {
            CAPTURE(status);
            CHECK(receiveHead(absl::StrCat("HTTP/1.1 ", status, " X"), "").head == TransferEnd::Malformed);
        }
        CHECK(receiveHead("HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK", "").head == TransferEnd::Malformed);
        for (const auto& status : standin::validStatuses()) {
            CAPTURE(status);
            CHECK(receiveHead(absl::StrCat("HTTP/1.1 ", status, " X"), "").isWhole());
        }
        CHECK(receiveHead("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", "").isWhole());
    }
    SECTION("names of fields")
    {
        for (const auto& field : standin::invalidFieldLines()) {
            CAPTURE(field);
            CHECK(receiveHead("HTTP/1.1 200 OK", field).head == TransferEnd::Malformed);
            CHECK(receiveHead(absl::StrCat("HTTP/1.1 103 Early Hints\r\n", field, "\r\nHTTP/1.1 200 OK"), "").head == TransferEnd::Malformed);
        }
        CHECK(receiveHead("HTTP/1.1 200 OK", standin::validFieldLine).isWhole());
    }
}
