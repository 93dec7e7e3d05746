#pragma once

// The server side of HTTP/1.1 connections from callers, and also from peers and the platform. Requests are parsed strictly,
// since a message that two parsers interpret differently allows request smuggling. A response that ends early is never framed
// as a complete one.

#include "core/requests/header_field.h"
#include "core/routing/routing_configuration.h"
#include "edge/event_loop.h"

#include <optional>

namespace skylarkhitch {

struct ReceivedRequest {
    std::string method;
    // Request target, byte for byte as received.
    std::string target;
    HeaderFields fields;
    std::shared_ptr<const std::string> body;
    // When the last byte of the request was read.
    TimePoint receivedAt;
    // How long the connection had been idle when the first byte of the request was read: since the previous response, or since
    // the connection was accepted.
    Milliseconds idleTime { 0 };
};

// Which side ended a connection, and why.
enum class ConnectionEnd {
    Open,
    ClosedByCaller,
    SocketError,
    // Deadlines of this side: for the start of a request, for the rest of one, and for a write.
    IdleTimeout,
    RequestTimeout,
    WriteTimeout,
    // abort() was called.
    Aborted,
};

// The name of an end in log lines.
std::string_view connectionEndName(ConnectionEnd);

struct EdgeResponse {
    int status = 200;
    // If empty, the standard reason phrase of the status is sent.
    std::string reason;
    HeaderFields fields;
    std::string body;
};

class CallerConnection;

// Serves one request. When the handler returns, it has written the response or aborted the connection, unless the caller has
// disconnected. If it has not, that is logged and the connection answers with an error or is reset.
using RequestHandler = std::function<Awaitable<void>(std::shared_ptr<CallerConnection>, ReceivedRequest)>;

// State shared by all connections of one server.
struct ServerState {
    RequestHandler handler;
    // Returns the current limits on the sizes and times of requests.
    std::function<CallerLimits()> limits;
    // Set while the server shuts down: each connection closes after its next response.
    bool closing = false;
    // Open connections.
    std::int64_t connections = 0;
    // Requests that a handler is serving.
    std::int64_t requests = 0;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(EventLoop&, TcpSocket, std::shared_ptr<ServerState>);

    // Reads and serves requests one after another until the connection closes.
    Awaitable<void> run();

    // Writes a complete response. Like beginBody(), writeBody() and endBody(), returns false if the caller has disconnected or
    // does not accept the bytes in time.
    Awaitable<bool> respond(EdgeResponse);
    // Writes the head of a response with a chunked body; writeBody() and endBody() follow.
    Awaitable<bool> beginBody(EdgeResponse);
    Awaitable<bool> writeBody(std::string_view bytes);
    Awaitable<bool> endBody();
    // Resets the connection, so that a response that was started does not look complete.
    void abort();

    // Whether the caller has disconnected or the connection was aborted.
    bool hasDisconnected() const { return m_hasDisconnected; }
    ConnectionEnd end() const { return m_end; }
    // The id by which log lines name the request that is served.
    void setRequestId(std::string id) { m_requestId = std::move(id); }
    // The callback runs at most once, when the caller disconnects before the handler has returned. abort() does not run it.
    void onDisconnect(std::function<void()> callback) { m_onDisconnect = std::move(callback); }
    // Whether writing of the response to the current request has started.
    bool hasStartedResponse() const { return m_hasStartedResponse; }

private:
    // Outcome of reading a request. Rejected: an error response was sent.
    enum class ReadOutcome { Request,
        Closed,
        Rejected };

    Awaitable<ReadOutcome> readRequest(ReceivedRequest&);
    // Calls the handler. If an exception leaves it, or it returns without a response, the request ends with an error response or a
    // reset.
    Awaitable<void> serve(ReceivedRequest);
    // Ends the request of a handler that has failed.
    Awaitable<void> endWithError();
    // Reads more bytes of a request. Once the deadline has passed, takes only what has already arrived.
    Awaitable<bool> readSocket();
    void setReadDeadline(Milliseconds fromNow);
    Awaitable<bool> reject(int status);
    Awaitable<bool> write(std::string head, std::string_view body);
    std::string serializeHead(const EdgeResponse&, const std::string& framing) const;
    void watchForDisconnect();
    void onReadable();
    void onDeadline();
    void handleDisconnect(ConnectionEnd, boost::system::error_code = {});
    void logClose() const;
    // Logs the end of a connection whose request has no complete response.
    void logUnanswered() const;

    EventLoop& m_loop;
    TcpSocket m_socket;
    std::shared_ptr<ServerState> m_server;
    DeadlineTimer m_deadline;
    std::string m_input;
    std::function<void()> m_onDisconnect;
    ConnectionEnd m_end = ConnectionEnd::Open;
    // The error behind SocketError.
    boost::system::error_code m_error;
    // When the connection became idle, before the request that is read or served.
    TimePoint m_idleSince {};
    // Whether a part of the next request was read.
    bool m_requestStarted = false;
    std::int64_t m_requests = 0;
    std::string m_requestId;
    TimePoint m_servingSince {};
    // The deadline for reading has passed.
    bool m_isOverdue = false;
    bool m_waitingForInput = false;
    bool m_isServing = false;
    bool m_hasStartedResponse = false;
    // All bytes of the response have been written to the socket.
    bool m_hasCompletedResponse = false;
    bool m_hasDisconnected = false;
    bool m_keepAlive = true;
    // The response to a HEAD request has no body, whatever its Content-Length.
    bool m_isHeadRequest = false;
};

// Accepts connections on an address until stop() is called.
class HttpListener {
public:
    HttpListener(EventLoop&, const std::string& address, std::shared_ptr<ServerState>);
    void stop();

private:
    Awaitable<void> acceptLoop();

    EventLoop& m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<ServerState> m_server;
};

}
