#include "edge/caller_connection.h"

#include "adapters/log.h"
#include "edge/request_reader.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

namespace skylarkhitch {

namespace {

    constexpr std::size_t readBlockBytes = std::size_t { 16 } * 1024;
    // While a request is served, pipelined requests are read only until this many bytes are buffered; the rest stays in the
    // socket.
    constexpr std::size_t maxPipelinedBytes = std::size_t { 64 } * 1024;
    // Idle connections are kept this much longer than the timeout that callers are told, so that a request does not arrive
    // while the connection is being closed. Also added to the time for a request head.
    constexpr Milliseconds timeoutMargin { 2000 };
    constexpr int internalError = 500;
    // Limits of what is read after an error response: time, and bytes beside the longest body that the limits allow.
    constexpr Milliseconds lingerTime { 2000 };
    constexpr std::size_t lingerMargin = std::size_t { 64 } * 1024;
    constexpr std::size_t maxLingerBytes = std::size_t { 8 } << 20;
    // A request that has been incomplete for this long may be closed for a small one that lacks memory.
    constexpr Milliseconds unfinishedPatience { 3000 };
    // Time within which a caller must accept the bytes of one write.
    constexpr Milliseconds writeTimeout { 30000 };

    std::string reasonPhrase(const EdgeResponse& response)
    {
        return response.reason.empty() ? std::string(boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.status))) : response.reason;
    }

    // co_spawn starts the coroutine after the spawning scope has moved on, so the coroutine has to own the connection.
    Awaitable<void> runConnection(std::shared_ptr<CallerConnection> connection)
    {
        co_await connection->run();
    }

    // A body and the memory that it takes, for as long as anyone uses it.
    struct HeldBody {
        std::string bytes;
        InstanceMemory::Share memory;
    };

    bool forbidsBody(int status) { return status == 204 || status == 304; }

    ConnectionEnd endFor(const boost::system::error_code& ec)
    {
        return ec == asio::error::eof ? ConnectionEnd::ClosedByCaller : ConnectionEnd::SocketError;
    }

}

std::string_view connectionEndName(ConnectionEnd end)
{
    constexpr std::string_view names[] = { "open", "closed_by_caller", "socket_error", "idle_timeout", "request_timeout", "write_timeout", "aborted", "displaced" };
    return names[static_cast<int>(end)];
}

void ServerState::applyLimits()
{
    for (const auto* list : { &idle, &unfinished }) {
        for (auto* it : *list)
            it->applyLimits();
    }
}

bool ServerState::displaceLongestWaiting()
{
    bool isIdleFirst = unfinished.empty() || (!idle.empty() && idle.front()->waitingSince() <= unfinished.front()->waitingSince());
    auto& waiting = isIdleFirst ? idle : unfinished;
    auto& list = waiting.empty() ? overfull : waiting;
    if (list.empty())
        return false;
    list.front()->displace();
    return true;
}

bool ServerState::displaceUnfinished(const CallerConnection& other, TimePoint since)
{
    auto it = std::find_if(unfinished.begin(), unfinished.end(), [&](const auto* connection) { return connection != &other; });
    bool hasUnfinished = it != unfinished.end() && (*it)->waitingSince() <= since;
    if (!hasUnfinished && overfull.empty())
        return false;
    (hasUnfinished ? *it : overfull.front())->displace();
    return true;
}

CallerConnection::CallerConnection(EventLoop& loop, TcpSocket socket, std::shared_ptr<ServerState> server)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_server(std::move(server))
    , m_deadline(loop, [this] { onDeadline(); })
    , m_memory(m_server->memory, InstanceMemory::Use::Request)
{
    ++m_server->connections;
    m_memory.hold(InstanceMemory::connectionBytes);
}

CallerConnection::~CallerConnection()
{
    endWait();
    leave();
}

Awaitable<void> CallerConnection::run()
{
    setCallerConnectionOptions(m_socket);
    while (m_keepAlive && !m_hasDisconnected) {
        ReceivedRequest request;
        auto end = co_await readRequest(request);
        if (end == ReadOutcome::Closed)
            logClose();
        if (end == ReadOutcome::Rejected)
            co_await linger();
        endWait();
        if (end != ReadOutcome::Request)
            break;
        m_isHeadRequest = request.method == "HEAD";
        m_isServing = true;
        m_hasStartedResponse = false;
        m_hasCompletedResponse = false;
        m_requestId.clear();
        m_servingSince = bootNow();
        // Also starts the watch for the caller's disconnect, unless the caller is already gone.
        onReadable();
        if (m_hasDisconnected) {
            logClose();
            break;
        }
        ++m_requests;
        ++m_server->requests;
        co_await serve(std::move(request));
        --m_server->requests;
        m_isServing = false;
        leaveList();
        m_onDisconnect = nullptr;
        if (!m_hasCompletedResponse)
            logUnanswered();
    }
    m_deadline.clear();
    boost::system::error_code ec;
    // Sends the end of the stream before the close: a close with unread input resets the connection, possibly before the
    // caller has read its response.
    m_socket.shutdown(TcpSocket::shutdown_send, ec);
    m_socket.close(ec);
    leave();
}

Awaitable<void> CallerConnection::serve(ReceivedRequest request)
{
    std::string failure;
    try {
        co_await m_server->handler(shared_from_this(), std::move(request));
        if (m_hasCompletedResponse || m_hasDisconnected)
            co_return;
        failure = "no complete response";
    } catch (const std::exception& e) {
        failure = e.what();
    }
    LogLine(LogLevel::Error, "handler_failed").with("id", m_requestId).with("error", failure);
    // The callback belongs to the handler, which has ended.
    m_onDisconnect = nullptr;
    co_await endWithError();
}

Awaitable<void> CallerConnection::endWithError()
{
    m_keepAlive = false;
    if (m_hasCompletedResponse)
        co_return;
    if (m_hasStartedResponse) {
        abort();
        co_return;
    }
    EdgeResponse response { .status = internalError };
    co_await respond(std::move(response));
}

void CallerConnection::beginIdle()
{
    m_idleSince = bootNow();
    m_idleTime = Milliseconds(0);
    RequestReader::skipEmptyLines(m_input);
    m_requestStarted = !m_input.empty();
    // An idle connection keeps no buffer.
    if (m_input.empty())
        std::string().swap(m_input);
    m_memory.hold(InstanceMemory::connectionBytes + m_input.size());
    beginWait(Wait::FirstByte);
}

void CallerConnection::endIdle()
{
    if (!std::exchange(m_requestStarted, true))
        m_idleTime = toMilliseconds(bootNow() - m_idleSince);
    RequestReader::skipEmptyLines(m_input);
}

Awaitable<CallerConnection::ReadOutcome> CallerConnection::readRequest(ReceivedRequest& request)
{
    beginIdle();
    while (m_input.empty()) {
        if (!co_await readSocket())
            co_return ReadOutcome::Closed;
        endIdle();
    }
    // The limits may have changed while the connection was idle.
    auto limits = m_server->limits();
    RequestReader reader(limits.maxHeaderBytes, limits.maxBodyBytes);
    m_requestMemory.emplace(m_server->memory, InstanceMemory::Use::Request);
    bool hasSentContinue = false;
    beginWait(Wait::Head);
    for (;;) {
        auto state = reader.feed(m_input);
        if (state == RequestReader::State::Failed) {
            co_await reject(reader.errorStatus());
            co_return ReadOutcome::Rejected;
        }
        if (!reserveMemory(reader)) {
            co_await refuse("memory");
            co_return ReadOutcome::Rejected;
        }
        if (state == RequestReader::State::Done)
            break;
        if (state == RequestReader::State::NeedsBody) {
            if (reader.expectsContinue() && !hasSentContinue && m_input.empty()) {
                hasSentContinue = true;
                co_await write("HTTP/1.1 100 Continue\r\n\r\n", {});
            }
            // After the write, which replaces the deadline and clears it.
            beginWait(Wait::Body);
        }
        if (!co_await readSocket())
            co_return ReadOutcome::Closed;
    }
    if (!reserveDescriptors()) {
        co_await refuse("descriptors");
        co_return ReadOutcome::Rejected;
    }
    m_keepAlive = reader.keepsAlive() && reader.isHttp11();
    auto body = std::make_shared<HeldBody>(HeldBody { reader.takeBody(), std::move(*m_requestMemory) });
    m_requestMemory.reset();
    request = { reader.method(), reader.target(), reader.fields(), std::shared_ptr<const std::string>(body, &body->bytes), bootNow(), m_idleTime };
    co_return ReadOutcome::Request;
}

bool CallerConnection::reserveMemory(const RequestReader& reader)
{
    bool isSmall = InstanceMemory::requestBytes + reader.bodyBytes() <= InstanceMemory::maxSmallBytes;
    while (!takeMemory(reader)) {
        if (!isSmall || !m_server->displaceUnfinished(*this, bootNow() - unfinishedPatience))
            return false;
    }
    return true;
}

bool CallerConnection::takeMemory(const RequestReader& reader)
{
    bool hasHead = reader.state() != RequestReader::State::NeedsHead;
    return m_memory.set(InstanceMemory::connectionBytes + m_input.size()) && (!hasHead || m_requestMemory->set(InstanceMemory::requestBytes + reader.bodyBytes()));
}

bool CallerConnection::reserveDescriptors()
{
    endWait();
    while (!m_server->descriptors.allows(m_server->connections, m_server->requests + 1)) {
        if (!m_server->displaceLongestWaiting()) {
            ++m_server->refusedForDescriptors;
            return false;
        }
    }
    return true;
}

Awaitable<bool> CallerConnection::readSocket()
{
    boost::system::error_code ec = asio::error::would_block;
    std::size_t n = 0;
    while (n == 0 && ec == asio::error::would_block) {
        // No buffer is held during the wait.
        if (!m_isOverdue)
            co_await m_socket.async_wait(TcpSocket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
        if (m_end == ConnectionEnd::Displaced)
            co_return false;
        // If the process was held up, bytes that arrived in time are still unread when the deadline passes.
        n = receiveInput(ec);
        if (m_isOverdue)
            break;
    }
    if (!ec)
        co_return true;
    if (ec == asio::error::would_block)
        m_end = m_requestStarted ? ConnectionEnd::RequestTimeout : ConnectionEnd::IdleTimeout;
    else {
        m_end = endFor(ec);
        m_error = ec;
    }
    co_return false;
}

std::size_t CallerConnection::receiveInput(boost::system::error_code& ec)
{
    char buf[readBlockBytes];
    auto n = receiveAvailable(m_socket, asio::buffer(buf), ec);
    m_input.append(buf, n);
    return n;
}

Awaitable<void> CallerConnection::linger()
{
    beginWait(Wait::Lingering);
    boost::system::error_code ec;
    m_socket.shutdown(TcpSocket::shutdown_send, ec);
    auto maxBytes = std::min(m_server->limits().maxBodyBytes, maxLingerBytes) + lingerMargin;
    m_requestMemory.reset();
    for (std::size_t n = 0; n < maxBytes; n += m_input.size()) {
        m_input.clear();
        m_memory.hold(InstanceMemory::connectionBytes);
        bool hasRead = co_await readSocket();
        if (!hasRead || m_isOverdue)
            co_return;
    }
}

void CallerConnection::beginWait(Wait wait)
{
    if (m_end == ConnectionEnd::Displaced)
        return;
    m_wait = wait;
    m_waitSince = bootNow();
    enter(wait == Wait::FirstByte ? m_server->idle : m_server->unfinished);
    armReadDeadline();
}

void CallerConnection::enter(std::list<CallerConnection*>& list)
{
    if (m_place && m_place->list == &list)
        return;
    leaveList();
    m_place = Place { &list, list.insert(list.end(), this), bootNow() };
}

void CallerConnection::endWait()
{
    m_deadline.clear();
    m_isOverdue = false;
    leaveList();
}

void CallerConnection::leaveList()
{
    if (auto place = std::exchange(m_place, std::nullopt))
        place->list->erase(place->it);
}

void CallerConnection::leave()
{
    if (std::exchange(m_isCounted, false))
        --m_server->connections;
}

void CallerConnection::armReadDeadline()
{
    auto limits = m_server->limits();
    const Milliseconds times[] = { limits.idleTimeout + timeoutMargin, limits.headerTimeout + timeoutMargin, limits.idleTimeout, lingerTime };
    m_isOverdue = false;
    m_deadline.set(std::max(Milliseconds(0), times[static_cast<int>(m_wait)] - toMilliseconds(bootNow() - m_waitSince)));
}

void CallerConnection::applyLimits()
{
    if (!m_isOverdue)
        armReadDeadline();
}

void CallerConnection::displace()
{
    ++m_server->displacedConnections;
    if (m_isServing) {
        leaveList();
        leave();
        // The request itself ends only later.
        std::string().swap(m_input);
        m_memory.hold(0);
        handleDisconnect(ConnectionEnd::Displaced);
        abort();
        return;
    }
    m_end = ConnectionEnd::Displaced;
    // The coroutine that reads ends only later.
    if (m_requestMemory)
        m_requestMemory->hold(0);
    m_memory.hold(0);
    endWait();
    leave();
    boost::system::error_code ec;
    m_socket.close(ec);
}

Awaitable<void> CallerConnection::reject(int status)
{
    m_keepAlive = false;
    LogLine(LogLevel::Warning, "request_malformed").with("status", status).with("bytes", static_cast<std::int64_t>(m_input.size()));
    EdgeResponse response { .status = status };
    co_await respond(std::move(response));
}

Awaitable<void> CallerConnection::refuse(std::string_view resource)
{
    m_keepAlive = false;
    const auto& row = errorInfo(ErrorKind::InstanceExhausted);
    LogLine(LogLevel::Debug, "request_refused").with("error", row.name).with("resource", resource);
    EdgeResponse response { .status = row.httpStatus, .fields = { { "Retry-After", absl::StrCat(static_cast<double>(row.retryAfter.count()) / 1000) } } };
    co_await respond(std::move(response));
}

std::string CallerConnection::serializeHead(const EdgeResponse& response, const std::string& framing) const
{
    std::string head = absl::StrCat("HTTP/1.1 ", response.status, " ", reasonPhrase(response), "\r\n");
    for (const auto& it : response.fields)
        absl::StrAppend(&head, it.name, ": ", it.value, "\r\n");
    absl::StrAppend(&head, framing, m_keepAlive ? "" : "Connection: close\r\n", "\r\n");
    return head;
}

Awaitable<bool> CallerConnection::respond(EdgeResponse response)
{
    m_keepAlive = m_keepAlive && !m_server->closing;
    m_hasStartedResponse = true;
    // The length that a GET request would get is not known for a HEAD request.
    bool hasNoLength = forbidsBody(response.status) || (m_isHeadRequest && response.body.empty());
    auto framing = hasNoLength ? std::string() : absl::StrCat("Content-Length: ", response.body.size(), "\r\n");
    auto body = m_isHeadRequest ? std::string_view() : std::string_view(response.body);
    m_hasCompletedResponse = co_await write(serializeHead(response, framing), body);
    co_return m_hasCompletedResponse;
}

Awaitable<bool> CallerConnection::beginBody(EdgeResponse response)
{
    m_keepAlive = m_keepAlive && !m_server->closing;
    m_hasStartedResponse = true;
    co_return co_await write(serializeHead(response, "Transfer-Encoding: chunked\r\n"), {});
}

Awaitable<bool> CallerConnection::writeBody(std::string_view bytes)
{
    if (bytes.empty())
        co_return !m_hasDisconnected;
    co_return co_await write(absl::StrCat(absl::Hex(bytes.size()), "\r\n"), bytes, "\r\n");
}

Awaitable<bool> CallerConnection::endBody()
{
    m_hasCompletedResponse = co_await write("0\r\n\r\n", {});
    co_return m_hasCompletedResponse;
}

Awaitable<bool> CallerConnection::write(std::string head, std::string_view body, std::string_view tail)
{
    if (m_hasDisconnected)
        co_return false;
    m_deadline.set(writeTimeout);
    boost::system::error_code ec;
    std::array<asio::const_buffer, 3> buffers { asio::buffer(head), asio::buffer(body.data(), body.size()), asio::buffer(tail.data(), tail.size()) };
    co_await asio::async_write(m_socket, buffers, asio::redirect_error(asio::use_awaitable, ec));
    m_deadline.clear();
    if (ec)
        handleDisconnect(ConnectionEnd::SocketError, ec);
    co_return !ec;
}

void CallerConnection::abort()
{
    m_keepAlive = false;
    m_hasDisconnected = true;
    if (m_end == ConnectionEnd::Open)
        m_end = ConnectionEnd::Aborted;
    boost::system::error_code ec;
    // Zero linger time discards unsent bytes and resets the connection, so that the caller sees no clean end.
    m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    m_socket.close(ec);
}

void CallerConnection::onDeadline()
{
    if (m_isServing) {
        handleDisconnect(ConnectionEnd::WriteTimeout);
        abort();
        return;
    }
    // Ends the pending read. The socket stays open until readSocket() has taken what arrived: a request that was received must
    // not meet the end of a stream that this side has shut down, which looks as if the caller had left.
    m_isOverdue = true;
    boost::system::error_code ec;
    m_socket.cancel(ec);
}

void CallerConnection::handleDisconnect(ConnectionEnd end, boost::system::error_code error)
{
    // Of a write and a read that wait, one gets the error of a connection that was reset, and the other the end of the stream.
    if (m_hasDisconnected && error && m_error == asio::error::eof)
        m_error = error;
    if (m_hasDisconnected)
        return;
    m_hasDisconnected = true;
    m_error = error;
    if (m_end == ConnectionEnd::Open)
        m_end = end;
    m_keepAlive = false;
    if (auto callback = std::exchange(m_onDisconnect, nullptr))
        callback();
}

// Nothing is taken ahead once a first block is held and there is no memory for a further one.
bool CallerConnection::mayReadAhead() const
{
    return m_input.empty() || (m_input.size() < maxPipelinedBytes && m_server->memory->fits(InstanceMemory::Use::Request, readBlockBytes));
}

void CallerConnection::watchForDisconnect()
{
    if (m_waitingForInput || m_hasDisconnected)
        return;
    if (!mayReadAhead()) {
        enter(m_server->overfull);
        return;
    }
    m_waitingForInput = true;
    m_socket.async_wait(TcpSocket::wait_read, [self = shared_from_this()](const boost::system::error_code& ec) {
        self->m_waitingForInput = false;
        if (!ec)
            self->onReadable();
    });
}

// Takes what the socket has while a request is served: bytes of a pipelined request, or the end of the connection.
void CallerConnection::onReadable()
{
    if (!m_isServing)
        return;
    boost::system::error_code ec;
    if (mayReadAhead()) {
        receiveInput(ec);
        m_memory.hold(InstanceMemory::connectionBytes + m_input.size());
    }
    if (!ec || ec == asio::error::would_block) {
        watchForDisconnect();
        return;
    }
    handleDisconnect(endFor(ec), ec);
}

// Logs the end of a connection that served no request at that time, unless the caller closed an idle one.
void CallerConnection::logClose() const
{
    if (m_end == ConnectionEnd::ClosedByCaller && !m_requestStarted)
        return;
    LogLine line(LogLevel::Info, "connection_closed");
    line.with("end", connectionEndName(m_end)).with("requests", m_requests).with("idle_ms", toMilliseconds(bootNow() - m_idleSince).count());
    line.with("unread_bytes", static_cast<std::int64_t>(m_input.size()));
    if (m_error)
        line.with("error", m_error.message());
}

void CallerConnection::logUnanswered() const
{
    LogLine line(m_end == ConnectionEnd::ClosedByCaller ? LogLevel::Info : LogLevel::Warning, "connection_closed_unanswered");
    line.with("id", m_requestId).with("end", connectionEndName(m_end)).with("response", m_hasStartedResponse ? "begun" : "none");
    line.with("ms", toMilliseconds(bootNow() - m_servingSince).count()).with("requests", m_requests);
    if (m_error && m_error != asio::error::eof)
        line.with("error", m_error.message());
}

HttpListener::HttpListener(EventLoop& loop, const std::string& address, std::shared_ptr<ServerState> server)
    : m_loop(loop)
    , m_acceptor(loop, tcpEndpoint(address), true)
    , m_server(std::move(server))
{
    spawnRestarting(
        m_loop, [this] { return acceptLoop(); }, "accept");
}

void HttpListener::stop()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

Awaitable<void> HttpListener::acceptLoop()
{
    // Delay after a failed accept, or while no connection may be open beside those that are being served.
    constexpr Milliseconds retryDelay { 50 };
    for (;;) {
        TcpSocket socket(m_loop);
        boost::system::error_code ec;
        if (!makeRoom()) {
            co_await sleepFor(m_loop, retryDelay);
            if (!m_acceptor.is_open())
                co_return;
            continue;
        }
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (!m_acceptor.is_open())
            co_return;
        if (ec) {
            LogLine(LogLevel::Error, "accept_failed").with("error", ec.message());
            bool lacksDescriptors = ec == asio::error::no_descriptors;
            if (!lacksDescriptors || !m_server->displaceLongestWaiting())
                co_await sleepFor(m_loop, retryDelay);
            continue;
        }
        auto connection = std::make_shared<CallerConnection>(m_loop, std::move(socket), m_server);
        spawn(m_loop, runConnection(std::move(connection)), "connection");
    }
}

bool HttpListener::makeRoom()
{
    auto hasRoom = [this] { return m_server->descriptors.allows(m_server->connections + 1, m_server->requests) && m_server->memory->fits(InstanceMemory::Use::Request, InstanceMemory::connectionBytes); };
    return hasRoom() || m_server->displaceLongestWaiting();
}

}
