#include "adapters/log.h"
#include "adapters/log_rate_limiter.h"
#include "core/check.h"

#include <algorithm>
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

// Writes one line to standard error, in a process of its own, and returns it.
std::string lineOf(void (*write)())
{
    static void (*function)() = nullptr;
    function = write;
    return runInProcess([] {
        ::dup2(STDERR_FILENO, STDOUT_FILENO);
        function();
        stopLog();
    }).errors;
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

// Guards against logs that fill up, or in which one event looks like several, because a value of others is long or odd.
TEST_CASE("a line is bounded and stays one line, whatever its values are")
{
    SECTION("a long value is cut, and the fields after it are there")
    {
        auto line = lineOf([] { LogLine(LogLevel::Error, "odd").with("error", std::string(std::size_t { 1 } << 20, 'x')).with("after", 7); });
        CHECK(line.size() < 1024);
        CHECK(line.find("xxx...\" after=7\n") != std::string::npos);
    }
    SECTION("a value of 512 bytes is whole, one of 513 is cut")
    {
        CHECK(lineOf([] { LogLine(LogLevel::Error, "odd").with("error", std::string(512, 'x')); }).find(" error=" + std::string(512, 'x') + "\n") != std::string::npos);
        CHECK(lineOf([] { LogLine(LogLevel::Error, "odd").with("error", std::string(513, 'x')); }).find(" error=\"" + std::string(512, 'x') + "...\"\n") != std::string::npos);
    }
    SECTION("many values are cut")
    {
        auto line = lineOf([] {
            LogLine line(LogLevel::Error, "odd");
            for (int n = 0; n < 1000; ++n)
                line.with("error", std::string(1024, '"')).with("n", n);
        });
        CHECK(line.size() < 6144);
    }
    SECTION("control characters and bytes that are not UTF-8 become spaces, other characters stay")
    {
        auto line = lineOf([] { LogLine(LogLevel::Error, "odd").with("error", "a\x01\r\n\x7f\xff\xc2\x85\xe2\x80\xa8\xc3\xa4\xed\xa0\x80z\xf0\x9f\x90\xa6\xc3"); });
        CHECK(line.find("error=\"a          \xc3\xa4   z\xf0\x9f\x90\xa6 \"\n") != std::string::npos);
        CHECK(std::count(line.begin(), line.end(), '\n') == 1);
    }
    SECTION("the line of an exception that ends the process is bounded too")
    {
        auto end = runInProcess([] { std::thread([] { throw std::runtime_error(std::string(std::size_t { 1 } << 20, 'x')); }).join(); });
        CHECK(end.errors.size() < 1024);
    }
}
