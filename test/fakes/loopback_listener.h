#pragma once

// Accepts TCP connections on an ephemeral loopback port and serves each connection on a separate thread.

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <netinet/in.h>
#include <thread>

namespace skylarkhitch::standin {

sockaddr_in loopbackAddress(int port);

class LoopbackListener {
public:
    // Serves a connection and closes its descriptor.
    using Serve = std::function<void(int fd)>;

    explicit LoopbackListener(Serve);
    ~LoopbackListener();
    LoopbackListener(const LoopbackListener&) = delete;
    LoopbackListener& operator=(const LoopbackListener&) = delete;

    int port() const { return m_port; }
    // Stops accepting connections. Open connections are served until Serve returns; the destructor waits for that.
    void stop();
    // Whether stop() was called; Serve can poll this to return early.
    bool isStopping() const { return m_stopping; }

private:
    struct Connection {
        std::shared_ptr<std::atomic<bool>> hasEnded;
        std::thread thread;
    };
    void accept();
    // Joins the threads of closed connections.
    void joinFinished();

    Serve m_serve;
    std::atomic<bool> m_stopping = false;
    int m_listener = -1;
    int m_port = 0;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

}
