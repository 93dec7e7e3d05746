#include "edge/upstream_connection.h"

#include "core/requests/response_syntax.h"

#include <boost/asio/write.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace skylarkhitch {

namespace {

    namespace http = boost::beast::http;

    constexpr std::size_t readBlockBytes = std::size_t { 16 } * 1024;
    // Limit of the head including the informational responses before it. The parser limits each head only by itself.
    constexpr std::uint32_t maxResponseHeadBytes = 64 * 1024;
    // Limit of the line before a chunk and of the trailers of a chunked body. The parser keeps both without a limit.
    constexpr std::size_t maxChunkLineBytes = std::size_t { 16 } * 1024;
    // Practically unlimited, since the readers limit what they keep. Not boost::none: without a limit the parser of Beast 1.74
    // rejects every body.
    constexpr std::uint64_t maxResponseBodyBytes = std::uint64_t { 1 } << 40;
    // Requests up to this size fit into the socket buffer and are written completely before the response is read.
    constexpr std::size_t maxForegroundRequestBytes = std::size_t { 16 } * 1024;
    // Bytes read after the deadline, so that a peer that sends without pause cannot hold the connection. About what a socket
    // buffers.
    constexpr std::size_t maxOverdueBytes = std::size_t { 1 } << 20;

    // Whether the socket's connection has been established.
    bool isConnected(const TcpSocket& socket)
    {
        boost::system::error_code ec;
        socket.remote_endpoint(ec);
        return !ec;
    }

    HeaderFields toHeaderFields(const http::fields& fields)
    {
        HeaderFields result;
        for (const auto& it : fields)
            result.push_back({ std::string(it.name_string()), std::string(it.value()) });
        return result;
    }

    // Reserves the memory of a long body at once, since growing in steps needs twice its size. What is reserved but not written
    // takes no memory.
    void appendBody(std::string& body, const std::string& piece, std::size_t maxBytes)
    {
        if (body.size() + piece.size() > BodyMemory::maxSmallBodyBytes)
            body.reserve(std::max(body.capacity(), maxBytes));
        body += piece;
    }

}

UpstreamConnection::UpstreamConnection(EventLoop& loop)
    : m_loop(loop)
    , m_socket(loop)
    , m_deadline(loop, [this] { onDeadline(); })
{
}

Awaitable<bool> UpstreamConnection::open(const std::string& address, Milliseconds timeout)
{
    auto self = shared_from_this();
    setDeadline(timeout);
    boost::system::error_code ec;
    co_await m_socket.async_connect(tcpEndpoint(address), asio::redirect_error(asio::use_awaitable, ec));
    clearDeadline();
    if (m_isOverdue && ec == asio::error::operation_aborted && isConnected(m_socket))
        ec = {};
    if (ec || m_isUnusable) {
        close();
        co_return false;
    }
    setConnectionOptions(m_socket);
    co_return true;
}

Awaitable<bool> UpstreamConnection::send(std::string head, std::shared_ptr<const std::string> body)
{
    auto self = shared_from_this();
    m_isHeadRequest = head.starts_with("HEAD ");
    auto sharedHead = std::make_shared<const std::string>(std::move(head));
    auto size = sharedHead->size() + (body ? body->size() : 0);
    if (size > maxForegroundRequestBytes) {
        m_isSending = true;
        spawn(m_loop, sendInBackground(self, sharedHead, body), "send_request");
        co_return true;
    }
    boost::system::error_code ec;
    std::vector<asio::const_buffer> buffers { asio::buffer(*sharedHead) };
    if (body)
        buffers.push_back(asio::buffer(*body));
    auto n = co_await asio::async_write(m_socket, buffers, asio::redirect_error(asio::use_awaitable, ec));
    m_sendError = ec;
    if (ec && n == 0)
        m_isUnusable = true;
    co_return !ec || n > 0;
}

Awaitable<void> UpstreamConnection::sendInBackground(std::shared_ptr<UpstreamConnection> self, std::shared_ptr<const std::string> head, std::shared_ptr<const std::string> body)
{
    boost::system::error_code ec;
    std::vector<asio::const_buffer> buffers { asio::buffer(*head) };
    if (body)
        buffers.push_back(asio::buffer(*body));
    co_await asio::async_write(self->m_socket, buffers, asio::redirect_error(asio::use_awaitable, ec));
    self->m_isSending = false;
    self->m_sendError = ec;
    // The peer may have responded nevertheless; readHead() will tell.
    if (ec)
        self->m_isUnusable = true;
}

Awaitable<TransferEnd> UpstreamConnection::readHead(ResponseHead& head)
{
    auto self = shared_from_this();
    m_parsedBytes = 0;
    for (;;) {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(maxResponseHeadBytes);
        m_parser->body_limit(maxResponseBodyBytes);
        // The response to a HEAD request has no body, whatever its Content-Length.
        m_parser->skip(m_isHeadRequest);
        while (!m_parser->is_header_done()) {
            if (m_parsedBytes > maxResponseHeadBytes)
                co_return reject("head too long");
            auto end = co_await readOrParse();
            if (end != TransferEnd::Ok)
                co_return end;
        }
        auto status = static_cast<int>(m_parser->get().result_int());
        if (!isResponseStatus(status))
            co_return reject("invalid status");
        // Skips informational (1xx) responses.
        if (status >= firstFinalStatus)
            break;
    }
    const auto& message = m_parser->get();
    head = { static_cast<int>(message.result_int()), std::string(message.reason()), toHeaderFields(message) };
    co_return TransferEnd::Ok;
}

Awaitable<BodyPiece> UpstreamConnection::readBody()
{
    auto self = shared_from_this();
    while (m_parser->get().body().empty() && !m_parser->is_done()) {
        auto end = co_await readOrParse();
        if (end != TransferEnd::Ok)
            co_return BodyPiece { end, {}, false };
    }
    BodyPiece piece;
    piece.bytes = std::exchange(m_parser->get().body(), {});
    piece.isLast = m_parser->is_done();
    co_return piece;
}

Awaitable<BodyPiece> UpstreamConnection::readWholeBody(std::size_t maxBytes, std::optional<BodyTimes> times, BodyMemory::Share* memory)
{
    BodyPiece whole;
    auto start = bootNow();
    auto stated = m_parser->content_length();
    if (!m_parser->is_done() && stated && *stated > maxBytes)
        whole.end = reject("body too long");
    while (whole.end == TransferEnd::Ok && !whole.isLast) {
        if (times)
            setDeadline(std::max(Milliseconds(0), std::min(times->maxGap, times->maxTotal - toMilliseconds(bootNow() - start))));
        auto piece = co_await readBody();
        whole.end = piece.end;
        whole.isLast = piece.isLast;
        if (whole.bytes.size() + piece.bytes.size() > maxBytes)
            whole.end = reject("body too long");
        else if (memory && !memory->add(piece.bytes.size()))
            whole.end = rejectForMemory(stated.has_value());
        else
            appendBody(whole.bytes, piece.bytes, maxBytes);
    }
    co_return whole;
}

// Parses buffered bytes, or reads more from the socket.
Awaitable<TransferEnd> UpstreamConnection::readOrParse()
{
    boost::system::error_code ec;
    if (m_input.size() > 0) {
        auto n = m_parser->put(m_input.data(), ec);
        m_input.consume(n);
        m_parsedBytes += n;
        if (ec && ec != http::error::need_more)
            co_return reject(ec.message());
        if (n > 0)
            co_return TransferEnd::Ok;
        if (m_parser->is_header_done() && m_input.size() > maxChunkLineBytes)
            co_return reject("chunk header or trailers too long");
        ec = {};
    }
    auto buf = m_input.prepare(readBlockBytes);
    std::size_t n = 0;
    if (!m_isOverdue)
        n = co_await m_socket.async_read_some(buf, asio::redirect_error(asio::use_awaitable, ec));
    bool wasCancelled = !ec || ec == asio::error::operation_aborted;
    if (n == 0 && wasCancelled && mayReadOverdue()) {
        n = receiveAvailable(m_socket, buf, ec);
        m_overdueBytes += n;
    }
    m_input.commit(n);
    if (n > 0)
        co_return TransferEnd::Ok;
    if (m_isOverdue && (!ec || ec == asio::error::operation_aborted || ec == asio::error::would_block)) {
        close();
        co_return TransferEnd::TimedOut;
    }
    // A response without a stated length ends with a clean close; the parser reports an error if it had a length.
    if (ec == asio::error::eof && m_parser->got_some() && !isCutByEnd()) {
        m_parser->put_eof(ec);
        m_isUnusable = true;
        co_return ec ? TransferEnd::Closed : TransferEnd::Ok;
    }
    co_return TransferEnd::Closed;
}

bool UpstreamConnection::isCutByEnd()
{
    if (!m_parser->is_header_done() || !m_parser->need_eof())
        return false;
    if (!isErrorStatus(static_cast<int>(m_parser->get().result_int())))
        return !isRequestDelivered();
    // A broken pipe means that the peer had ended its stream in order before it refused the rest of the request. An expired deadline
    // cancels the write as well.
    return m_sendError && m_sendError != asio::error::broken_pipe && m_sendError != asio::error::operation_aborted;
}

bool UpstreamConnection::isRequestDelivered()
{
    if (m_isSending || m_sendError)
        return false;
    // The segment that ends the peer's stream acknowledges all that the peer has received.
    int unacknowledged = 0;
    return ::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

void UpstreamConnection::setDeadline(Milliseconds time)
{
    if (time > Milliseconds(0)) {
        m_isOverdue = false;
        m_overdueBytes = 0;
    }
    m_deadline.set(time);
}

void UpstreamConnection::onDeadline()
{
    m_isOverdue = true;
    boost::system::error_code ec;
    m_socket.cancel(ec);
}

bool UpstreamConnection::mayReadOverdue() const
{
    return m_isOverdue && m_socket.is_open() && m_overdueBytes < maxOverdueBytes;
}

TransferEnd UpstreamConnection::reject(std::string cause)
{
    m_malformedCause = std::move(cause);
    close();
    return TransferEnd::Malformed;
}

TransferEnd UpstreamConnection::rejectForMemory(bool hasLength)
{
    m_lacksMemory = hasLength;
    return reject("too many long bodies");
}

void UpstreamConnection::close()
{
    m_isUnusable = true;
    boost::system::error_code ec;
    m_socket.close(ec);
}

bool UpstreamConnection::hasUnreadInput() const
{
    boost::system::error_code ec;
    return m_socket.is_open() && m_socket.available(ec) > 0;
}

bool UpstreamConnection::isReusable()
{
    bool isComplete = m_parser && m_parser->is_done() && !m_isSending && !m_isUnusable && m_input.size() == 0 && m_socket.is_open();
    if (!isComplete || !m_parser->keep_alive())
        return false;
    // Unsolicited bytes or the end of the stream make the connection unusable.
    char byte = 0;
    return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}
