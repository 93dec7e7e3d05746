#pragma once

// The server's side of HTTP/1.1: reads requests strictly, since a message that two programs read differently would
// smuggle a second request to an upstream, and writes answers whose early end never looks complete.

#include "core/requests/header_field.h"
#include "core/routing/routing_configuration.h"
#include "edge/event_loop.h"

#include <optional>

namespace skylarkhitch {

struct ReceivedRequest {
    std::string method;
    // As it was sent.
    std::string target;
    HeaderFields fields;
    std::shared_ptr<const std::string> body;
    // When its last byte was read.
    TimePoint at;
};

struct AnswerToCaller {
    int status = 200;
    std::string reason;
    HeaderFields fields;
    std::string body;
};

class CallerConnection;

// Serves one request; the answer is written, or the connection aborted, when it returns.
using RequestHandler = std::function<Awaitable<void>(std::shared_ptr<CallerConnection>, ReceivedRequest)>;

// What a server's connections have in common.
struct ServerState {
    RequestHandler handler;
    // The bounds in force.
    std::function<CallerLimits()> limits;
    // Connections end after their next answer.
    bool closing = false;
    std::int64_t connections = 0;
    // Requests that are being answered.
    std::int64_t requests = 0;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(EventLoop&, TcpSocket, std::shared_ptr<ServerState>);

    // Reads and serves requests until the connection ends.
    Awaitable<void> run();

    // Writes a whole answer. False if the caller has left.
    Awaitable<bool> respond(AnswerToCaller);
    // Writes the head of an answer whose body follows in pieces.
    Awaitable<bool> beginBody(AnswerToCaller);
    Awaitable<bool> writeBody(std::string_view bytes);
    Awaitable<bool> endBody();
    // Closes the connection at once, so that an answer that was begun does not look complete.
    void abort();

    bool hasLeft() const { return m_left; }
    // Called once if the caller leaves before the answer is whole.
    void onLeft(std::function<void()> callback) { m_onLeft = std::move(callback); }
    // Part of the answer was written.
    bool hasBegun() const { return m_begun; }

private:
    // How reading a request ended.
    enum class ReadEnd { Request,
        Closed,
        Refused };

    Awaitable<ReadEnd> readRequest(ReceivedRequest&);
    Awaitable<bool> readMore();
    Awaitable<bool> refuse(int status);
    Awaitable<bool> write(std::string head, std::string_view body);
    std::string headOf(const AnswerToCaller&, const std::string& framing) const;
    void watchForEnd();
    void onReadable();
    void onDeadline();
    void left();

    EventLoop& m_loop;
    TcpSocket m_socket;
    std::shared_ptr<ServerState> m_server;
    DeadlineWatch m_deadline;
    std::string m_in;
    std::function<void()> m_onLeft;
    bool m_watching = false;
    bool m_serving = false;
    bool m_begun = false;
    bool m_left = false;
    bool m_keep = true;
    // The answer has no body whatever its head says.
    bool m_isHeadRequest = false;
};

// Accepts connections on an address until it is stopped.
class HttpListener {
public:
    HttpListener(EventLoop&, const std::string& address, std::shared_ptr<ServerState>);
    void stop();

private:
    Awaitable<void> accept();

    EventLoop& m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<ServerState> m_server;
};

}
