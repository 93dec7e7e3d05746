#pragma once

// Accepts TCP connections on a loopback port of its own and serves each on a thread of its own.

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
    // Serves a connection, which it has to close.
    using Serve = std::function<void(int fd)>;

    explicit LoopbackListener(Serve);
    ~LoopbackListener();
    LoopbackListener(const LoopbackListener&) = delete;
    LoopbackListener& operator=(const LoopbackListener&) = delete;

    int port() const { return m_port; }
    // Accepts no more.
    void stop();
    bool isStopping() const { return m_stopping; }

private:
    struct Connection {
        std::shared_ptr<std::atomic<bool>> hasEnded;
        std::thread thread;
    };
    void accept();
    // Joins the threads of connections that are closed.
    void reap();

    Serve m_serve;
    std::atomic<bool> m_stopping = false;
    int m_listener = -1;
    int m_port = 0;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

}
