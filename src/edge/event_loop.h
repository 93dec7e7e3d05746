#pragma once

// Event loop, timer and socket helpers for an entry instance (Boost.Asio), and the clock that both threads use.

#include "core/ids.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
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

// Time since the machine booted, including time that it was suspended, so that the age of data is correct after a suspend.
TimePoint bootNow();

// Starts a coroutine that nothing waits for. An exception that leaves it is logged with the name and counted.
void spawn(EventLoop&, Awaitable<void>, const char* name);

// Starts a coroutine that the instance cannot do without. If it ends by an exception, that is logged with the name and counted, and
// a new one is started after a short delay. One that returns is not started again.
void spawnRestarting(EventLoop&, std::function<Awaitable<void>()> makeTask, const char* name);

// Runs the loop until it is stopped or out of work. An exception that leaves a handler is logged with the name and counted; the loop
// goes on with the next handler, so that one event that cannot be handled does not end the process.
void runLoop(EventLoop&, const char* name);

// Coroutines of the process that ended by an exception.
std::int64_t failedTasks();
// Handlers of event loops that ended by an exception.
std::int64_t failedHandlers();

// Suspends the calling coroutine for the given time.
Awaitable<void> sleepFor(EventLoop&, Milliseconds);

// Whether the text is of the form "ip:port".
bool isEndpoint(const std::string& address);

// Parse "ip:port". Throw UsageError if the text is not of that form, so text from outside must be checked with isEndpoint() first.
asio::ip::tcp::endpoint tcpEndpoint(const std::string& address);
asio::ip::udp::endpoint udpEndpoint(const std::string& address);

// Sets the options of a connection to an upstream, a peer or the store: small writes are sent without delay, and a connection to
// a host that has gone silent, e.g. after a power failure, fails within seconds.
void setConnectionOptions(TcpSocket&);

// Sets the options of a connection from a caller. Unlike one to an upstream, it outlasts lost packets and a caller that does not
// read for a while: a request that nobody waits for costs less than a response that a waiting caller does not get.
void setCallerConnectionOptions(TcpSocket&);

// Reads what the socket has received, without waiting, and returns the number of bytes. The error is would_block if there is
// nothing to read, and eof if the peer has ended the stream.
std::size_t receiveAvailable(TcpSocket&, asio::mutable_buffer, boost::system::error_code&);

// Calls a function when a deadline expires. The deadline can be moved; moving it to a later time does not touch the timer.
class DeadlineTimer {
public:
    DeadlineTimer(EventLoop&, std::function<void()> onExpiry);
    ~DeadlineTimer();
    DeadlineTimer(const DeadlineTimer&) = delete;
    DeadlineTimer& operator=(const DeadlineTimer&) = delete;

    // Sets or moves the deadline. After it has expired, it must be set again.
    void set(Milliseconds fromNow);
    void clear();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
