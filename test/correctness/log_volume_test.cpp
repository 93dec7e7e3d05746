#include "adapters/log.h"
#include "adapters/log_rate_limiter.h"
#include "core/check.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

struct ProcessEnd {
    int signal = 0;
    std::string errors;
};

// Runs a function in a process of its own with a log, and returns what that process wrote to standard error and what ended it.
ProcessEnd runInProcess(void (*function)())
{
    int pipeEnds[2] = {};
    REQUIRE(::pipe(pipeEnds) == 0);
    auto child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        ::dup2(pipeEnds[1], STDERR_FILENO);
        std::signal(SIGABRT, SIG_DFL);
        startLog("info", "edge-1", LogTarget::StandardOutput);
        function();
        std::_Exit(0);
    }
    ::close(pipeEnds[1]);
    ProcessEnd end;
    char buf[512];
    for (auto n = ::read(pipeEnds[0], buf, sizeof buf); n > 0; n = ::read(pipeEnds[0], buf, sizeof buf))
        end.errors.append(buf, static_cast<std::size_t>(n));
    ::close(pipeEnds[0]);
    int status = 0;
    ::waitpid(child, &status, 0);
    end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return end;
}

}

// Guards against instances that end by themselves without a line that tells why.
TEST_CASE("a process that ends by itself says why")
{
    SECTION("an exception that leaves a thread")
    {
        auto end = runInProcess([] { std::thread([] { throw std::runtime_error("an \"odd\"\nentry"); }).join(); });
        CHECK(end.signal == SIGABRT);
        CHECK(end.errors == "level=error what=uncaught_exception error=\"an \\\"odd\\\" entry\"\n");
    }
    SECTION("a violated invariant")
    {
        auto end = runInProcess([] { INTERNAL_CHECK(1 + 1 == 3) << "counted twice"; });
        CHECK(end.signal == SIGABRT);
        CHECK(end.errors.find("level=error what=invariant_violated at=") == 0);
        CHECK(end.errors.find("condition=\"1 + 1 == 3\" detail=\"counted twice\"\n") != std::string::npos);
    }
}

TEST_CASE("the limit for one kind of log line does not affect other kinds")
{
    LogRateLimiter volume;
    TimePoint now { Microseconds(5000000) };
    std::int64_t admittedCount = 0;
    for (std::int64_t n = 0; n < 4 * LogRateLimiter::maxLinesPerWindow; ++n)
        admittedCount += volume.admits("info/request", now + Microseconds(n));
    CHECK(admittedCount == LogRateLimiter::maxLinesPerWindow);
    CHECK(volume.admits("warning/request", now));
    CHECK(volume.admits("info/configuration", now));

    SECTION("suppressed lines are not reported before their second is over")
    {
        CHECK(volume.takeSuppressed(now + 500ms).empty());
    }
    SECTION("suppressed lines are reported once after their second is over")
    {
        std::vector<LogRateLimiter::Suppressed> expected { { "info/request", 3 * LogRateLimiter::maxLinesPerWindow } };
        CHECK(volume.takeSuppressed(now + 1s) == expected);
        CHECK(volume.takeSuppressed(now + 1s).empty());
    }
    SECTION("the next second has its own limit")
    {
        CHECK(volume.admits("info/request", now + 1s));
    }
}
