// Tests that an entry instance on a platform that declares routes takes no response for a whole one that was cut after any byte.

#include "edge/upstream_connection.h"
#include "fakes/cut_responses.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;
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

Awaitable<void> exchange(EventLoop& loop, const std::string& address, Received& received)
{
    auto connection = std::make_shared<UpstreamConnection>(loop);
    connection->setDeadline(Milliseconds(5000));
    if (!co_await connection->open(address, Milliseconds(1000)) || !co_await connection->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n", nullptr))
        co_return;
    ResponseHead head;
    received.head = co_await connection->readHead(head);
    received.status = head.status;
    if (received.head != TransferEnd::Ok)
        co_return;
    auto body = co_await connection->readWholeBody(1 << 20);
    received.body = body.end;
    received.bytes = body.bytes;
    connection->close();
}

Received receive(const std::string& address)
{
    EventLoop loop;
    Received received;
    spawn(loop, exchange(loop, address, received), "exchange");
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
