#include "fakes/fault_proxy.h"

#include <deque>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylarkhitch::standin {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr std::size_t readBlock = 16384;
    // Upper bound on the time until a fault change takes effect on an idle connection.
    constexpr int pollMs = 5;

    void closeWithReset(int fd)
    {
        linger resetOnClose { 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        ::close(fd);
    }

    // One direction of a proxied connection.
    struct Direction {
        int from;
        int to;
        struct Chunk {
            Clock::time_point at;
            std::string bytes;
        };
        std::deque<Chunk> buffered;
        bool hasEnded = false;
        bool endForwarded = false;

        // Buffers the data that has arrived; returns false if the connection was reset.
        bool read()
        {
            std::string bytes(readBlock, '\0');
            auto n = ::recv(from, bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (n < 0)
                return errno == EAGAIN || errno == EINTR;
            hasEnded = n == 0;
            bytes.resize(static_cast<std::size_t>(n));
            if (n > 0)
                buffered.push_back({ Clock::now(), std::move(bytes) });
            return true;
        }

        // Forwards the data that has been buffered for at least `delay`, and the end of the data once all of it is forwarded.
        // Returns false if sending fails.
        bool flush(std::chrono::milliseconds delay)
        {
            while (!buffered.empty() && Clock::now() - buffered.front().at >= delay) {
                const auto& bytes = buffered.front().bytes;
                if (::send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
                    return false;
                buffered.pop_front();
            }
            if (hasEnded && buffered.empty() && !endForwarded) {
                endForwarded = true;
                ::shutdown(to, SHUT_WR);
            }
            return true;
        }
    };

}

FaultProxy::FaultProxy(int targetPort)
    : m_target(targetPort)
    , m_listener([this](int fd) { forward(fd); })
{
}

void FaultProxy::forward(int client)
{
    int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopbackAddress(m_target);
    int one = 1;
    setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    bool isReset = m_fault == LinkFault::Reset || ::connect(server, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0;
    Direction toServer { client, server, {} }, toClient { server, client, {} };
    while (!isReset && !m_listener.isStopping() && !(toServer.endForwarded && toClient.endForwarded)) {
        pollfd fds[] = { { toServer.hasEnded ? -1 : client, POLLIN, 0 }, { toClient.hasEnded ? -1 : server, POLLIN, 0 } };
        ::poll(fds, 2, pollMs);
        auto fault = m_fault.load();
        isReset = fault == LinkFault::Reset || (fds[0].revents != 0 && !toServer.read()) || (fds[1].revents != 0 && !toClient.read());
        auto delay = fault == LinkFault::Delay ? linkDelay : std::chrono::milliseconds(0);
        if (!isReset && fault != LinkFault::CutToServer && fault != LinkFault::Silent)
            isReset = !toServer.flush(delay);
        if (!isReset && fault != LinkFault::CutFromServer && fault != LinkFault::Silent)
            isReset = !toClient.flush(delay);
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
