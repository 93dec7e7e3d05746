// Tests that exceptions in the work of an event loop end neither the loop nor the tasks that an instance cannot do without.

#include "edge/event_loop.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;

namespace {

Awaitable<void> failTwice(EventLoop& loop, int& runs)
{
    co_await sleepFor(loop, Milliseconds(1));
    if (++runs <= 2)
        throw std::runtime_error("an odd entry");
}

}

// Guards against processes that end, and cut all requests in flight at the same moment, because one event could not be handled.
TEST_CASE("an exception in a handler does not end the event loop")
{
    EventLoop loop;
    auto failedBefore = failedHandlers();

    SECTION("handlers that are posted after it are run")
    {
        int handled = 0;
        asio::post(loop, [&] { ++handled; });
        asio::post(loop, [] { throw std::invalid_argument("an odd entry"); });
        asio::post(loop, [&] { ++handled; });
        runLoop(loop, "test");
        CHECK(handled == 2);
        CHECK(failedHandlers() == failedBefore + 1);
    }
    SECTION("what is thrown need not be a standard exception")
    {
        asio::post(loop, [] { throw 7; }); // NOLINT(hicpp-exception-baseclass)
        runLoop(loop, "test");
        CHECK(failedHandlers() == failedBefore + 1);
    }
    SECTION("a deadline whose callback throws can be set again")
    {
        int expired = 0;
        DeadlineTimer deadline(loop, [&] {
            if (++expired == 1)
                throw std::runtime_error("first expiry");
        });
        deadline.set(Milliseconds(1));
        asio::steady_timer later(loop, std::chrono::milliseconds(20));
        later.async_wait([&](const boost::system::error_code&) { deadline.set(Milliseconds(1)); });
        runLoop(loop, "test");
        CHECK(expired == 2);
        CHECK(failedHandlers() == failedBefore + 1);
    }
    SECTION("a loop that is stopped returns, although handlers are left")
    {
        bool isHandled = false;
        asio::post(loop, [&] { loop.stop(); });
        asio::post(loop, [&] { isHandled = true; });
        runLoop(loop, "test");
        CHECK_FALSE(isHandled);
    }
}

// Guards against instances that stay up but no longer accept connections, follow the store or hear their peers.
TEST_CASE("a task that an instance cannot do without is started again after an exception")
{
    EventLoop loop;
    auto failedBefore = failedTasks();

    SECTION("until it returns")
    {
        int runs = 0;
        spawnRestarting(
            loop, [&] { return failTwice(loop, runs); }, "test");
        runLoop(loop, "test");
        CHECK(runs == 3);
        CHECK(failedTasks() == failedBefore + 2);
    }
    SECTION("also if it cannot even be begun")
    {
        int runs = 0;
        auto begin = [&]() -> Awaitable<void> {
            if (++runs == 1)
                throw std::bad_alloc();
            return failTwice(loop, runs);
        };
        spawnRestarting(loop, begin, "test");
        runLoop(loop, "test");
        CHECK(failedTasks() == failedBefore + 1);
        CHECK(runs > 2);
    }
}
