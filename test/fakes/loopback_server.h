#pragma once

// A loopback server whose responses are raw bytes, so that tests can truncate, duplicate, delay or omit them, and a client
// that sends raw bytes. Uses one thread per connection; the destructors join all threads and close all connections.

#include "core/requests/header_field.h"
#include "fakes/loopback_listener.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhitch::standin {

struct RawRequest {
    std::string method;
    std::string target;
    HeaderFields fields;
    std::string body;

    std::string field(std::string_view name) const;
    std::string path() const { return target.substr(0, target.find('?')); }
    // Returns the value of a query parameter without decoding it, or an empty string.
    std::string query(const std::string& name) const;
};

// One side of a TCP connection.
class RawConnection {
public:
    explicit RawConnection(int fd)
        : m_fd(fd)
    {
    }
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    // `receiveBytes` limits what the kernel buffers of data that is not read yet; 0 leaves its default.
    static std::unique_ptr<RawConnection> connect(int port, int receiveBytes = 0);

    bool write(std::string_view bytes);
    // Reads until the predicate holds for the received data; returns false on connection close or timeout.
    bool readUntil(const std::function<bool(const std::string&)>&, std::chrono::milliseconds time = std::chrono::seconds(5));
    // Reads a request whose body, if any, has a Content-Length; returns no value on connection close or timeout.
    std::optional<RawRequest> readRequest();
    // Returns a complete response with its headers, or the data received before connection close or timeout.
    std::string readResponse(std::chrono::milliseconds time = std::chrono::seconds(5));
    // Returns whether the peer closes the connection within the time.
    bool isClosedWithin(std::chrono::milliseconds);
    // Ends the stream of what this side sends (TCP FIN).
    void endWriting();
    // Resets the connection (TCP RST).
    void reset();
    // Shuts down both directions, which ends a read in progress on another thread.
    void shutdown();
    // False after reset(), or once a read has found the connection closed.
    bool isOpen() const { return m_open; }

private:
    bool readMore(std::chrono::milliseconds);

    int m_fd;
    std::string m_buffer;
    bool m_open = true;
};

// Returns the bytes of a response with a Content-Length.
std::string responseBytes(int status, const std::string& body, const HeaderFields& fields = {});

// Decodes a chunked body up to its last complete chunk.
std::string decodeChunked(std::string_view bytes);

class LoopbackServer {
public:
    // Handles one request; returns whether to keep the connection open.
    using Handler = std::function<bool(const RawRequest&, RawConnection&)>;

    explicit LoopbackServer(Handler);
    ~LoopbackServer();

    int port() const { return m_listener.port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

private:
    void serve(int fd);

    Handler m_handler;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<RawConnection>> m_connections;
    LoopbackListener m_listener;
};

}
