#pragma once

// One HTTP/1.1 connection to an upstream, the store or a peer (Boost.Beast's parser). It never sends a request twice,
// and says of every end whether bytes of the request may have left.

#include "core/requests/header_field.h"
#include "edge/event_loop.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace skylarkhitch {

enum class TransferEnd {
    Ok,
    TimedOut,
    // The other side closed or reset the connection, or this one was closed here.
    Closed,
    // The bytes are no answer of the protocol.
    Malformed,
};

struct ResponseHead {
    int status = 0;
    std::string reason;
    HeaderFields fields;
};

struct BodyPiece {
    TransferEnd end = TransferEnd::Ok;
    std::string bytes;
    // The body is whole with these bytes.
    bool isLast = false;
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    explicit UpstreamConnection(EventLoop&);

    // False if there is no connection within the time.
    Awaitable<bool> open(const std::string& address, Milliseconds timeout);
    // Sends a request; a long body goes on being sent while the answer is read. False if no byte of it left.
    Awaitable<bool> send(std::string head, std::shared_ptr<const std::string> body);
    // Reads the head of the final answer.
    Awaitable<TransferEnd> readHead(ResponseHead&);
    // Reads what comes next of the body.
    Awaitable<BodyPiece> readBody();
    // Reads the rest of the body; the connection is closed if it is longer than the bound. With a longest silence only one of
    // that length ends the read, not the time that was set: for long bodies on slow links.
    Awaitable<BodyPiece> readWholeBody(std::size_t mostBytes, std::optional<Milliseconds> longestSilence = {});

    // Ends everything that waits on this connection after this time, unless it is set anew or cleared.
    void endAfter(Milliseconds time) { m_deadline.set(time); }
    void clearDeadline() { m_deadline.clear(); }
    // Ends the connection at once; what waits on it ends as Closed.
    void close();

    // The answer was whole, the request was sent, nothing beyond the answer came, and the other side keeps the connection.
    bool isReusable();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    Awaitable<TransferEnd> advance();
    // Holds the connection by itself, since it goes on beside its caller.
    static Awaitable<void> sendRest(std::shared_ptr<UpstreamConnection> self, std::shared_ptr<const std::string> head, std::shared_ptr<const std::string> body);

    EventLoop& m_loop;
    TcpSocket m_socket;
    DeadlineWatch m_deadline;
    boost::beast::flat_buffer m_in;
    std::optional<Parser> m_parser;
    bool m_timedOut = false;
    bool m_sending = false;
    bool m_broken = false;
};

}
