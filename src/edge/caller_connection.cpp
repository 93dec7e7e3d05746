#include "edge/caller_connection.h"

#include "adapters/log.h"
#include "edge/request_reader.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <sys/socket.h>

namespace skylarkhitch {

namespace {

    constexpr std::size_t readBlock = std::size_t { 16 } * 1024;
    // Bytes that are buffered of pipelined requests while a request is served; further ones stay in the socket.
    constexpr std::size_t mostAhead = std::size_t { 64 } * 1024;
    // Idle connections are kept this much longer than the timeout that callers are told, so that a request does not arrive
    // while the connection is being closed. Also added to the time for a request head.
    constexpr Milliseconds idleMargin { 2000 };
    // Time within which a caller must accept the bytes of one write.
    constexpr Milliseconds writeTime { 30000 };

    std::string reasonOf(const AnswerToCaller& answer)
    {
        return answer.reason.empty() ? std::string(boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(answer.status))) : answer.reason;
    }

    // co_spawn starts the coroutine after the spawning scope has moved on, so the coroutine has to own the connection.
    Awaitable<void> runConnection(std::shared_ptr<CallerConnection> connection)
    {
        co_await connection->run();
    }

    bool hasNoBody(int status) { return status == 204 || status == 304; }

}

CallerConnection::CallerConnection(EventLoop& loop, TcpSocket socket, std::shared_ptr<ServerState> server)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_server(std::move(server))
    , m_deadline(loop, [this] { onDeadline(); })
{
    ++m_server->connections;
}

Awaitable<void> CallerConnection::run()
{
    setConnectionOptions(m_socket);
    while (m_keep && !m_left) {
        ReceivedRequest request;
        auto end = co_await readRequest(request);
        if (end != ReadEnd::Request)
            break;
        m_isHeadRequest = request.method == "HEAD";
        m_serving = true;
        m_begun = false;
        ++m_server->requests;
        watchForEnd();
        co_await m_server->handler(shared_from_this(), std::move(request));
        --m_server->requests;
        m_serving = false;
        m_onLeft = nullptr;
    }
    m_deadline.clear();
    boost::system::error_code ec;
    // Sends the end of the stream before the close: a close with unread input resets the connection, possibly before the
    // caller has read its response.
    m_socket.shutdown(TcpSocket::shutdown_send, ec);
    m_socket.close(ec);
    --m_server->connections;
}

Awaitable<CallerConnection::ReadEnd> CallerConnection::readRequest(ReceivedRequest& request)
{
    auto limits = m_server->limits();
    RequestReader reader(limits.headBytes, limits.bodyBytes);
    m_deadline.set(limits.idleTime + idleMargin);
    bool toldToContinue = false;
    bool headBegun = false;
    while (reader.feed(m_in) != RequestReader::State::Done) {
        if (reader.state() == RequestReader::State::Failed) {
            co_await refuse(reader.failure());
            co_return ReadEnd::Refused;
        }
        if (reader.state() == RequestReader::State::NeedsBody) {
            m_deadline.set(limits.idleTime);
            if (reader.expectsContinue() && !toldToContinue && m_in.empty()) {
                toldToContinue = true;
                co_await write("HTTP/1.1 100 Continue\r\n\r\n", {});
            }
        } else if (!m_in.empty() && !headBegun) {
            headBegun = true;
            m_deadline.set(limits.headTime + idleMargin);
        }
        if (!co_await readMore())
            co_return ReadEnd::Closed;
    }
    m_deadline.clear();
    m_keep = reader.keepsAlive() && reader.isHttp11();
    request = { reader.method(), reader.target(), reader.fields(), std::make_shared<const std::string>(reader.takeBody()), bootNow() };
    co_return ReadEnd::Request;
}

Awaitable<bool> CallerConnection::readMore()
{
    boost::system::error_code ec;
    auto size = m_in.size();
    m_in.resize(size + readBlock);
    auto n = co_await m_socket.async_read_some(asio::buffer(m_in.data() + size, readBlock), asio::redirect_error(asio::use_awaitable, ec));
    m_in.resize(size + n);
    co_return !ec;
}

Awaitable<bool> CallerConnection::refuse(int status)
{
    m_keep = false;
    LogLine(LogLevel::Warning, "request_malformed").with("status", status).with("bytes", static_cast<std::int64_t>(m_in.size()));
    AnswerToCaller answer { .status = status };
    co_return co_await respond(std::move(answer));
}

std::string CallerConnection::headOf(const AnswerToCaller& answer, const std::string& framing) const
{
    std::string head = absl::StrCat("HTTP/1.1 ", answer.status, " ", reasonOf(answer), "\r\n");
    for (const auto& it : answer.fields)
        absl::StrAppend(&head, it.name, ": ", it.value, "\r\n");
    absl::StrAppend(&head, framing, m_keep ? "" : "Connection: close\r\n", "\r\n");
    return head;
}

Awaitable<bool> CallerConnection::respond(AnswerToCaller answer)
{
    m_keep = m_keep && !m_server->closing;
    m_begun = true;
    auto framing = hasNoBody(answer.status) ? std::string() : absl::StrCat("Content-Length: ", answer.body.size(), "\r\n");
    auto body = m_isHeadRequest ? std::string_view() : std::string_view(answer.body);
    co_return co_await write(headOf(answer, framing), body);
}

Awaitable<bool> CallerConnection::beginBody(AnswerToCaller answer)
{
    m_keep = m_keep && !m_server->closing;
    m_begun = true;
    co_return co_await write(headOf(answer, "Transfer-Encoding: chunked\r\n"), {});
}

Awaitable<bool> CallerConnection::writeBody(std::string_view bytes)
{
    if (bytes.empty())
        co_return !m_left;
    co_return co_await write(absl::StrCat(absl::Hex(bytes.size()), "\r\n"), absl::StrCat(absl::string_view(bytes.data(), bytes.size()), "\r\n"));
}

Awaitable<bool> CallerConnection::endBody()
{
    co_return co_await write("0\r\n\r\n", {});
}

Awaitable<bool> CallerConnection::write(std::string head, std::string_view body)
{
    if (m_left)
        co_return false;
    m_deadline.set(writeTime);
    boost::system::error_code ec;
    std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::buffer(body.data(), body.size()) };
    co_await asio::async_write(m_socket, buffers, asio::redirect_error(asio::use_awaitable, ec));
    m_deadline.clear();
    if (ec)
        left();
    co_return !ec;
}

void CallerConnection::abort()
{
    m_keep = false;
    m_left = true;
    boost::system::error_code ec;
    // Zero linger time discards unsent bytes and resets the connection, so that the caller sees no clean end.
    m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    m_socket.close(ec);
}

void CallerConnection::onDeadline()
{
    if (m_serving) {
        left();
        abort();
        return;
    }
    // Makes the pending read return; run() then closes the connection.
    boost::system::error_code ec;
    m_socket.shutdown(TcpSocket::shutdown_both, ec);
}

void CallerConnection::left()
{
    if (m_left)
        return;
    m_left = true;
    m_keep = false;
    if (auto callback = std::exchange(m_onLeft, nullptr))
        callback();
}

void CallerConnection::watchForEnd()
{
    if (m_watching || m_left || m_in.size() >= mostAhead)
        return;
    m_watching = true;
    m_socket.async_wait(TcpSocket::wait_read, [self = shared_from_this()](const boost::system::error_code& ec) {
        self->m_watching = false;
        if (!ec)
            self->onReadable();
    });
}

// The socket became readable while a request is served: bytes of a pipelined request, or the end of the connection.
void CallerConnection::onReadable()
{
    if (!m_serving)
        return;
    char buf[readBlock];
    auto n = ::recv(m_socket.native_handle(), buf, sizeof buf, MSG_DONTWAIT);
    if (n > 0)
        m_in.append(buf, static_cast<std::size_t>(n));
    bool isEnd = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
    if (isEnd)
        left();
    else
        watchForEnd();
}

HttpListener::HttpListener(EventLoop& loop, const std::string& address, std::shared_ptr<ServerState> server)
    : m_loop(loop)
    , m_acceptor(loop, tcpEndpoint(address), true)
    , m_server(std::move(server))
{
    asio::co_spawn(m_loop, accept(), asio::detached);
}

void HttpListener::stop()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

Awaitable<void> HttpListener::accept()
{
    // Delay after a failed accept, which is mostly due to a lack of free file descriptors.
    constexpr Milliseconds pause { 50 };
    for (;;) {
        TcpSocket socket(m_loop);
        boost::system::error_code ec;
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (!m_acceptor.is_open())
            co_return;
        if (ec) {
            LogLine(LogLevel::Error, "accept_failed").with("error", ec.message());
            co_await sleepFor(m_loop, pause);
            continue;
        }
        auto connection = std::make_shared<CallerConnection>(m_loop, std::move(socket), m_server);
        asio::co_spawn(m_loop, runConnection(std::move(connection)), asio::detached);
    }
}

}
