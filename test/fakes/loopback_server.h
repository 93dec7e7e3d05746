#pragma once

// A server on loopback whose answers are raw bytes, so that a test can break off, double, delay or silence them, and a
// caller that sends raw bytes. One thread for each connection; nothing outlives the objects.

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

    static std::unique_ptr<RawConnection> connect(int port);

    bool write(std::string_view bytes);
    // Reads until a condition on what was read holds; false at the end of the connection or of the time.
    bool readUntil(const std::function<bool(const std::string&)>&, std::chrono::milliseconds time = std::chrono::seconds(5));
    // Nothing at the end of the connection.
    std::optional<RawRequest> readRequest();
    // A whole answer with its head, or what came of it.
    std::string readAnswer(std::chrono::milliseconds time = std::chrono::seconds(5));
    // Whether the other side closes within the time.
    bool closesWithin(std::chrono::milliseconds);
    // Closes with a reset.
    void reset();
    void shutdown();
    bool isOpen() const { return m_open; }

private:
    bool readMore(std::chrono::milliseconds);

    int m_fd;
    std::string m_in;
    bool m_open = true;
};

std::string answerBytes(int status, const std::string& body, const HeaderFields& fields = {});

class LoopbackServer {
public:
    // Serves one request; the connection is kept while it returns true.
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
