#include "fakes/loopback_listener.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylarkhitch::standin {

sockaddr_in loopbackAddress(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

LoopbackListener::LoopbackListener(Serve serve)
    : m_serve(std::move(serve))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = loopbackAddress(0);
    socklen_t size = sizeof address;
    ::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
    ::listen(m_listener, SOMAXCONN);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { accept(); });
}

LoopbackListener::~LoopbackListener()
{
    stop();
    ::close(m_listener);
    for (auto& it : m_connections)
        it.thread.join();
}

void LoopbackListener::stop()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    if (m_thread.joinable())
        m_thread.join();
}

void LoopbackListener::accept()
{
    while (!m_stopping) {
        int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        joinFinished();
        auto hasEnded = std::make_shared<std::atomic<bool>>(false);
        m_connections.push_back({ hasEnded, std::thread([this, fd, hasEnded] {
                                     m_serve(fd);
                                     *hasEnded = true;
                                 }) });
    }
}

void LoopbackListener::joinFinished()
{
    m_connections.remove_if([](Connection& it) {
        if (!*it.hasEnded)
            return false;
        it.thread.join();
        return true;
    });
}

}
