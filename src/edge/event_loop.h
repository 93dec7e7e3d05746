#pragma once

// Names for the event loops of an entry instance (Boost.Asio) and the clock that both threads read.

#include "core/ids.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>

namespace skylarkhitch {

namespace asio = boost::asio;

template <typename T>
using Awaitable = asio::awaitable<T>;

using EventLoop = asio::io_context;
using TcpSocket = asio::ip::tcp::socket;

// Time since the machine started, which also counts while the machine is suspended: after a pause everything that was
// known looks as old as it is.
TimePoint bootNow();

// Suspends the coroutine.
Awaitable<void> sleepFor(EventLoop&, Milliseconds);

// Splits "ip:port" into an endpoint; throws CallerError if the text is not of that form.
asio::ip::tcp::endpoint tcpEndpoint(const std::string& address);
asio::ip::udp::endpoint udpEndpoint(const std::string& address);

// Sets what every connection of ours has: no delay of small writes, and an end within seconds if the other side is
// silent, since a machine without power answers nothing.
void setConnectionOptions(TcpSocket&);

// Calls a function once a time is reached that may move. Moving it costs nothing unless it comes nearer.
class DeadlineWatch {
public:
    DeadlineWatch(EventLoop&, std::function<void()> onExpiry);
    ~DeadlineWatch();
    DeadlineWatch(const DeadlineWatch&) = delete;
    DeadlineWatch& operator=(const DeadlineWatch&) = delete;

    void set(Milliseconds fromNow);
    void clear();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
