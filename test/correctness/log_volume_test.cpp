#include "adapters/log_rate_limiter.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

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
