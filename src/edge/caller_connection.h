#pragma once

// The server side of HTTP/1.1 connections from callers, and also from peers and the platform. Requests are parsed strictly,
// since a message that two parsers interpret differently allows request smuggling. A response that ends early is never framed
// as a complete one.

#include "core/error_kind.h"
#include "core/limits/descriptor_budget.h"
#include "core/limits/instance_memory.h"
#include "core/requests/header_field.h"
#include "core/routing/routing_configuration.h"
#include "edge/event_loop.h"

#include <list>
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
    // Closed while it waited for a request, since another connection needed its descriptor or memory.
    Displaced,
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
class RequestReader;

// Serves one request. When the handler returns, it has written the response or aborted the connection, unless the caller has
// disconnected. If it has not, that is logged and the connection answers with an error or is reset.
using RequestHandler = std::function<Awaitable<void>(std::shared_ptr<CallerConnection>, ReceivedRequest)>;

// State shared by all connections of one server.
struct ServerState {
    // Applies limits that have changed to the deadlines of connections that wait for a request.
    void applyLimits();
    // Closes the connection that has waited longest for a complete request. If none waits, resets one whose caller has sent far more
    // than the request that is being served. Returns false if there is neither.
    bool displaceLongestWaiting();
    // Closes the connection, other than this one, whose request has been incomplete for longest, if that is since the time or earlier.
    // If there is none, resets one as above.
    bool displaceUnfinished(const CallerConnection& other, TimePoint since);

    RequestHandler handler;
    // Returns the current limits on the sizes and times of requests.
    std::function<CallerLimits()> limits;
    // Memory of the process, which servers of one thread may share.
    std::shared_ptr<InstanceMemory> memory = std::make_shared<InstanceMemory>(0);
    DescriptorBudget descriptors;
    // Connections that wait for a request, and those whose request is incomplete or was rejected; the oldest ones in front.
    std::list<CallerConnection*> idle;
    std::list<CallerConnection*> unfinished;
    // Connections that serve a request and hold as many pipelined bytes as they may.
    std::list<CallerConnection*> overfull;
    // Connections that were closed for others, and requests for which there were no descriptors, since the start.
    std::int64_t displacedConnections = 0;
    std::int64_t refusedForDescriptors = 0;
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

    ~CallerConnection();
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

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

    // Sets the deadline of a connection that waits for a request anew, after the limits have changed.
    void applyLimits();
    // Closes a connection that waits for a request, or resets one that serves a request.
    void displace();
    // When the connection became idle, its incomplete request began, or its input became full.
    TimePoint waitingSince() const { return m_place ? m_place->since : TimePoint {}; }

private:
    // Outcome of reading a request. Rejected: an error response was sent.
    enum class ReadOutcome { Request,
        Closed,
        Rejected };
    // What a connection without a complete request waits for. Lingering: the end of the stream of a caller whose request was rejected.
    enum class Wait { FirstByte,
        Head,
        Body,
        Lingering };

    // Waits for a request and reads it.
    Awaitable<ReadOutcome> readRequest(ReceivedRequest&);
    // Called when the connection begins to wait for the first byte of a request.
    void beginIdle();
    // Called when bytes have arrived on an idle connection.
    void endIdle();
    // Takes the memory for what has been read of the request. Returns false if there is none.
    bool reserveMemory(const RequestReader&);
    bool takeMemory(const RequestReader&);
    // Whether there are descriptors to serve one more request, if need be in place of connections that wait.
    bool reserveDescriptors();
    // Reads on after an error response, since a close with unread input resets the connection, possibly before the caller has read
    // the response.
    Awaitable<void> linger();
    void beginWait(Wait);
    void endWait();
    void enter(std::list<CallerConnection*>&);
    void leaveList();
    // Counts the connection as closed, once.
    void leave();
    void armReadDeadline();
    // Calls the handler. If an exception leaves it, or it returns without a response, the request ends with an error response or a
    // reset.
    Awaitable<void> serve(ReceivedRequest);
    // Ends the request of a handler that has failed.
    Awaitable<void> endWithError();
    // Reads more bytes of a request. Once the deadline has passed, takes only what has already arrived.
    Awaitable<bool> readSocket();
    Awaitable<void> reject(int status);
    // Refuses a request for which this instance has no memory or descriptors. It has not run.
    Awaitable<void> refuse(std::string_view resource);
    Awaitable<bool> write(std::string head, std::string_view body, std::string_view tail = {});
    std::string serializeHead(const EdgeResponse&, const std::string& framing) const;
    // Takes what the socket has into the input, without waiting.
    std::size_t receiveInput(boost::system::error_code&);
    bool mayReadAhead() const;
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
    // Memory of the connection and of the bytes that were read and not yet parsed.
    InstanceMemory::Share m_memory;
    std::function<void()> m_onDisconnect;
    ConnectionEnd m_end = ConnectionEnd::Open;
    // The error behind SocketError.
    boost::system::error_code m_error;
    Wait m_wait = Wait::FirstByte;
    TimePoint m_waitSince {};
    // Place among the connections that wait.
    struct Place {
        std::list<CallerConnection*>* list;
        std::list<CallerConnection*>::iterator it;
        TimePoint since;
    };
    std::optional<Place> m_place;
    // Memory of the request that is read.
    std::optional<InstanceMemory::Share> m_requestMemory;
    bool m_isCounted = true;
    // When the connection became idle, before the request that is read or served.
    TimePoint m_idleSince {};
    // How long it was idle then.
    Milliseconds m_idleTime { 0 };
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
    // Whether one more connection may be open, if need be in place of one that waits.
    bool makeRoom();

    EventLoop& m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<ServerState> m_server;
};

}
