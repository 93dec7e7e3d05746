#include "edge/event_loop.h"

#include "adapters/log.h"
#include "core/check.h"

#include <absl/strings/numbers.h>
#include <atomic>
#include <ctime>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace skylarkhitch {

namespace {

    // When a connection fails whose other side has gone silent.
    struct SilenceLimits {
        // For sent data that stays unacknowledged or does not fit into the window of the other side. If it is set, a connection
        // without such data fails at the first probe that is due after this time, however few probes were lost.
        Milliseconds userTimeout;
        // TCP keep-alive: idle time before the first probe, interval between probes, and number of lost probes.
        Seconds keepAliveIdle, keepAliveInterval;
        int keepAliveProbes;
    };

    // The user timeout must be shorter than the time within which the platform expects an instance to be reachable again.
    constexpr SilenceLimits outgoingLimits { Milliseconds(2000), Seconds(1), Seconds(1), 2 };
    // Longer than a pause of a caller, and not as long as a write may take, since the response that a caller does not read takes
    // memory. Deadlines of requests and of idle connections end what is left of a dead caller.
    constexpr SilenceLimits callerLimits { Milliseconds(10000), Seconds(4), Seconds(2), 4 };

    using SteadyClock = std::chrono::steady_clock;

    // Delay before a coroutine that failed is started again, so that one that fails at once does not take the loop's whole time.
    constexpr Milliseconds restartDelay { 100 };

    std::atomic<std::int64_t> failedTaskCount = 0;
    std::atomic<std::int64_t> failedHandlerCount = 0;

    // Errors are ignored: if the socket is already closed, the next read reports it.
    void setOptions(TcpSocket& socket, const SilenceLimits& limits)
    {
        boost::system::error_code ec;
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
        socket.set_option(asio::socket_base::keep_alive(true), ec);
        auto setTcpOption = [fd = socket.native_handle()](int name, std::int64_t value) {
            auto n = static_cast<int>(value);
            setsockopt(fd, IPPROTO_TCP, name, &n, sizeof n);
        };
        setTcpOption(TCP_USER_TIMEOUT, limits.userTimeout.count());
        setTcpOption(TCP_KEEPIDLE, limits.keepAliveIdle.count());
        setTcpOption(TCP_KEEPINTVL, limits.keepAliveInterval.count());
        setTcpOption(TCP_KEEPCNT, limits.keepAliveProbes);
    }

    std::string describe(const std::exception_ptr& error)
    {
        try {
            std::rethrow_exception(error);
        } catch (const std::exception& e) {
            return e.what();
        } catch (...) {
            return "unknown exception";
        }
    }

    void reportFailedTask(const char* name, const std::exception_ptr& error)
    {
        ++failedTaskCount;
        LogLine(LogLevel::Error, "task_failed").with("task", name).with("error", describe(error));
    }

    Awaitable<void> runRestarting(EventLoop& loop, std::function<Awaitable<void>()> makeTask, const char* name)
    {
        for (;;) {
            std::exception_ptr error;
            try {
                co_await makeTask();
                co_return;
            } catch (...) {
                error = std::current_exception();
            }
            reportFailedTask(name, error);
            co_await sleepFor(loop, restartDelay);
        }
    }

    using HostAndPort = std::pair<asio::ip::address, std::uint16_t>;

    std::optional<HostAndPort> parseAddress(const std::string& text)
    {
        auto colon = text.rfind(':');
        int port = 0;
        boost::system::error_code ec;
        auto host = asio::ip::make_address(text.substr(0, colon), ec);
        bool valid = colon != std::string::npos && !ec && absl::SimpleAtoi(text.substr(colon + 1), &port) && port >= 0 && port <= 65535;
        return valid ? std::optional(HostAndPort { host, static_cast<std::uint16_t>(port) }) : std::nullopt;
    }

    HostAndPort splitAddress(const std::string& text)
    {
        auto parsed = parseAddress(text);
        USAGE_CHECK(parsed.has_value()) << "found address '" << text << "', expected ip:port";
        return *parsed;
    }

}

TimePoint bootNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint { Seconds(time.tv_sec) + Microseconds(time.tv_nsec / 1000) };
}

void spawn(EventLoop& loop, Awaitable<void> task, const char* name)
{
    asio::co_spawn(loop, std::move(task), [name](const std::exception_ptr& error) {
        if (error)
            reportFailedTask(name, error);
    });
}

void spawnRestarting(EventLoop& loop, std::function<Awaitable<void>()> makeTask, const char* name)
{
    spawn(loop, runRestarting(loop, std::move(makeTask), name), name);
}

void runLoop(EventLoop& loop, const char* name)
{
    for (;;) {
        try {
            loop.run();
            return;
        } catch (...) {
            ++failedHandlerCount;
            LogLine(LogLevel::Error, "event_failed").with("loop", name).with("error", describe(std::current_exception()));
        }
    }
}

std::int64_t failedTasks() { return failedTaskCount; }

std::int64_t failedHandlers() { return failedHandlerCount; }

Awaitable<void> sleepFor(EventLoop& loop, Milliseconds time)
{
    asio::steady_timer timer(loop, time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

bool isEndpoint(const std::string& address) { return parseAddress(address).has_value(); }

asio::ip::tcp::endpoint tcpEndpoint(const std::string& address)
{
    auto [host, port] = splitAddress(address);
    return { host, port };
}

asio::ip::udp::endpoint udpEndpoint(const std::string& address)
{
    auto [host, port] = splitAddress(address);
    return { host, port };
}

void setConnectionOptions(TcpSocket& socket) { setOptions(socket, outgoingLimits); }

void setCallerConnectionOptions(TcpSocket& socket) { setOptions(socket, callerLimits); }

std::size_t receiveAvailable(TcpSocket& socket, asio::mutable_buffer buf, boost::system::error_code& ec)
{
    ssize_t n = 0;
    do
        n = ::recv(socket.native_handle(), buf.data(), buf.size(), MSG_DONTWAIT);
    while (n < 0 && errno == EINTR);
    if (n < 0)
        ec.assign(errno, boost::system::system_category());
    else if (n == 0)
        ec = asio::error::eof;
    else
        ec = {};
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

struct DeadlineTimer::State : std::enable_shared_from_this<State> {
    State(EventLoop& loop, std::function<void()> callback)
        : timer(loop)
        , onExpiry(std::move(callback))
    {
    }

    void arm()
    {
        armedFor = *at;
        timer.expires_at(*at);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
            if (!ec)
                self->onTimer();
        });
    }

    void onTimer()
    {
        armedFor.reset();
        if (!at)
            return;
        if (SteadyClock::now() < *at) {
            arm();
            return;
        }
        at.reset();
        if (onExpiry)
            onExpiry();
    }

    asio::steady_timer timer;
    std::function<void()> onExpiry;
    std::optional<SteadyClock::time_point> at;
    // When the timer fires next. It may be earlier than the deadline, in which case the timer is armed again.
    std::optional<SteadyClock::time_point> armedFor;
};

DeadlineTimer::DeadlineTimer(EventLoop& loop, std::function<void()> onExpiry)
    : m_state(std::make_shared<State>(loop, std::move(onExpiry)))
{
}

DeadlineTimer::~DeadlineTimer()
{
    m_state->onExpiry = nullptr;
    m_state->at.reset();
    m_state->timer.cancel();
}

void DeadlineTimer::set(Milliseconds fromNow)
{
    m_state->at = SteadyClock::now() + fromNow;
    if (!m_state->armedFor || *m_state->at < *m_state->armedFor)
        m_state->arm();
}

void DeadlineTimer::clear() { m_state->at.reset(); }

}
