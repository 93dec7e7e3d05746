#include "fakes/fault_proxy.h"

#include <arpa/inet.h>
#include <deque>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylarkhitch::standin {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr std::size_t readBlock = 16384;
    // How soon a change of the fault shows on a connection without traffic.
    constexpr int pollMs = 5;

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    void closeWithReset(int fd)
    {
        linger now { 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(fd);
    }

    // One direction of a connection.
    struct Direction {
        int from;
        int to;
        struct Held {
            Clock::time_point at;
            std::string bytes;
        };
        std::deque<Held> held;
        bool hasEnded = false;
        bool endPassedOn = false;

        // False at a reset.
        bool read()
        {
            std::string bytes(readBlock, '\0');
            auto n = ::recv(from, bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (n < 0)
                return errno == EAGAIN || errno == EINTR;
            hasEnded = n == 0;
            bytes.resize(static_cast<std::size_t>(n));
            if (n > 0)
                held.push_back({ Clock::now(), std::move(bytes) });
            return true;
        }

        // Passes on what is old enough; false if the other side is gone.
        bool pass(std::chrono::milliseconds delay)
        {
            while (!held.empty() && Clock::now() - held.front().at >= delay) {
                const auto& bytes = held.front().bytes;
                if (::send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
                    return false;
                held.pop_front();
            }
            if (hasEnded && held.empty() && !endPassedOn) {
                endPassedOn = true;
                ::shutdown(to, SHUT_WR);
            }
            return true;
        }
    };

}

FaultProxy::FaultProxy(int targetPort)
    : m_target(targetPort)
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = loopback(0);
    socklen_t size = sizeof address;
    ::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
    ::listen(m_listener, 128);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { accept(); });
}

FaultProxy::~FaultProxy()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
    for (auto& it : m_links)
        it.thread.join();
}

void FaultProxy::accept()
{
    while (!m_stopping) {
        int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        m_links.remove_if([](Link& it) {
            if (!*it.hasEnded)
                return false;
            it.thread.join();
            return true;
        });
        auto hasEnded = std::make_shared<std::atomic<bool>>(false);
        m_links.push_back({ hasEnded, std::thread([this, fd, hasEnded] {
                               carry(fd);
                               *hasEnded = true;
                           }) });
    }
}

void FaultProxy::carry(int client)
{
    int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(m_target);
    int one = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    bool isReset = m_fault == LinkFault::Reset || ::connect(server, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0;
    Direction toServer { client, server, {} }, toClient { server, client, {} };
    while (!isReset && !m_stopping && !(toServer.endPassedOn && toClient.endPassedOn)) {
        pollfd fds[] = { { toServer.hasEnded ? -1 : client, POLLIN, 0 }, { toClient.hasEnded ? -1 : server, POLLIN, 0 } };
        ::poll(fds, 2, pollMs);
        auto fault = m_fault.load();
        isReset = fault == LinkFault::Reset || (fds[0].revents != 0 && !toServer.read()) || (fds[1].revents != 0 && !toClient.read());
        auto delay = fault == LinkFault::Delay ? linkDelay : std::chrono::milliseconds(0);
        if (!isReset && fault != LinkFault::CutToServer && fault != LinkFault::Silent)
            isReset = !toServer.pass(delay);
        if (!isReset && fault != LinkFault::CutFromServer && fault != LinkFault::Silent)
            isReset = !toClient.pass(delay);
    }
    if (isReset) {
        closeWithReset(client);
        closeWithReset(server);
        return;
    }
    ::close(client);
    ::close(server);
}

}
