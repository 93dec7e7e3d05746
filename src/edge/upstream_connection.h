#pragma once

// An HTTP/1.1 client connection to an upstream, the store or a peer, with the parser of Boost.Beast. It never resends a
// request, and its results tell whether any byte of the request may have been sent.

#include "core/requests/header_field.h"
#include "edge/appended_body.h"
#include "edge/body_memory.h"
#include "edge/event_loop.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace skylarkhitch {

enum class TransferEnd {
    Ok,
    TimedOut,
    // The peer closed or reset the connection, or close() was called.
    Closed,
    // The bytes are not a valid HTTP response, or the head or the body is longer than allowed. The connection is closed.
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
    // The body is complete with these bytes.
    bool isLast = false;
};

// Time limits for reading a long body over a slow link: a limit on each gap between received bytes, and one on the whole body.
struct BodyTimes {
    Milliseconds maxGap { 0 };
    Milliseconds maxTotal { 0 };
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    explicit UpstreamConnection(EventLoop&);

    // Returns false if the connection is not established within the timeout.
    Awaitable<bool> open(const std::string& address, Milliseconds timeout);
    // Sends a request. Returns false if no byte was sent. A large request is sent in the background while the response is read;
    // the result is then true even if sending fails later.
    Awaitable<bool> send(std::string head, std::shared_ptr<const std::string> body);
    // Reads the head of the final response and skips informational (1xx) ones. Their length is limited together. A status that is
    // none of HTTP is malformed.
    Awaitable<TransferEnd> readHead(ResponseHead&);
    // Waits for the next part of the body.
    Awaitable<BodyPiece> readBody();
    // Reads the rest of the body. If it is longer than the limit, or does not fit into the memory of all bodies, closes the
    // connection and returns Malformed. `times` replaces the deadline.
    Awaitable<BodyPiece> readWholeBody(std::size_t maxBytes, std::optional<BodyTimes> times = {}, BodyMemory::Share* memory = nullptr);
    // Whether the response has neither a length nor chunks, so that the end of the connection is its end.
    bool endsWithConnection() const { return m_parser->need_eof(); }
    // Closes the connection because the response is invalid, and returns Malformed.
    TransferEnd reject(std::string cause);
    // Why the response was rejected.
    const std::string& malformedCause() const { return m_malformedCause; }
    // Whether a response of an allowed length was rejected because this instance has no memory left for its body. A body without a
    // stated length may have no end, so the upstream is to blame for that.
    bool lacksMemory() const { return m_lacksMemory; }

    // Sets the deadline, from now. When it expires, pending operations end. Reads still return what had arrived by then, which
    // after a pause of the process may be the whole response; without it they close the connection and return TimedOut.
    void setDeadline(Milliseconds time);
    void clearDeadline() { m_deadline.clear(); }
    // Lets the deadline expire now.
    void expire() { onDeadline(); }
    // Whether bytes have arrived that were not read yet.
    bool hasUnreadInput() const;
    // Closes the connection at once. Pending operations fail, reads with Closed.
    void close();

    // Whether another request can be sent: the request and its response are complete, no further bytes came, and the peer
    // keeps the connection open.
    bool isReusable();

private:
    using Parser = boost::beast::http::response_parser<AppendedBody>;

    Awaitable<TransferEnd> readOrParse();
    // Whether the end of the stream cuts a response without a stated length rather than completing it. An upstream in trouble may
    // end its stream before it has read the request; only a refusal is complete then. An error of the socket is reported once; if the
    // write gets it, the read sees no more than the end of the stream.
    bool isCutByEnd();
    // Whether the peer has received the whole request.
    bool isRequestDelivered();
    // Closes the connection because there is no memory for the body, and returns Malformed.
    TransferEnd rejectForMemory(bool hasLength);
    void onDeadline();
    // Whether bytes that arrived before the deadline may still be read.
    bool mayReadOverdue() const;
    // Takes ownership of the connection, since it runs detached from the coroutine that started it.
    static Awaitable<void> sendInBackground(std::shared_ptr<UpstreamConnection> self, std::shared_ptr<const std::string> head, std::shared_ptr<const std::string> body);

    EventLoop& m_loop;
    TcpSocket m_socket;
    DeadlineTimer m_deadline;
    boost::beast::flat_buffer m_input;
    std::optional<Parser> m_parser;
    // The deadline has passed.
    bool m_isOverdue = false;
    // Bytes read since then.
    std::size_t m_overdueBytes = 0;
    // Bytes parsed since the start of the response, including informational ones.
    std::size_t m_parsedBytes = 0;
    std::string m_malformedCause;
    bool m_lacksMemory = false;
    bool m_isSending = false;
    boost::system::error_code m_sendError;
    bool m_isHeadRequest = false;
    bool m_isUnusable = false;
};

}
