// Tests the steps of a planned stop with signals to this process and actions that fail.

#include "edge/planned_stop.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

// Sends signals to this process, one each 10 ms, while the loop runs.
Awaitable<void> raiseAll(EventLoop& loop, std::vector<int> signals)
{
    for (auto signal : signals) {
        co_await sleepFor(loop, 10ms);
        std::raise(signal);
    }
}

// Adds a letter to the trace for each action: R(eload), B(egin), E(nd of waits).
struct Trace {
    std::string actions;
    std::int64_t requests = 0;
    TimePoint endedAt {};

    StopActions stopActions()
    {
        return {
            .reload = [this] { actions += 'R'; },
            .beginDrain = [this](TimePoint) { actions += 'B'; },
            .isDrained = [this](Milliseconds) { return requests == 0; },
            .endWaits = [this] {
                actions += 'E';
                endedAt = bootNow();
                requests = 0; },
            .closeUpstreams = [this] { actions += 'C'; },
            .requests = [this] { return requests; },
        };
    }
};

}

// Guards against an instance that no longer hears SIGTERM, or that stops half-way, after something failed: the platform then kills
// it with all requests that are at work.
TEST_CASE("a planned stop comes to its end although its steps fail")
{
    // Leaves 300 ms for the drain.
    constexpr Milliseconds grace { 700 };
    EventLoop loop;
    Trace trace;
    auto actions = trace.stopActions();
    auto startedAt = bootNow();
    auto run = [&](std::vector<int> signals) {
        PlannedStop stop(loop, grace, actions);
        stop.awaitSignals();
        spawn(loop, raiseAll(loop, std::move(signals)), "raise");
        // Ends a run that would last for ever.
        asio::steady_timer tooLate(loop, std::chrono::seconds(2));
        tooLate.async_wait([&](const boost::system::error_code& ec) {
            if (!ec)
                loop.stop();
        });
        runLoop(loop, "test");
        return toMilliseconds(bootNow() - startedAt);
    };

    SECTION("nothing fails")
    {
        run({ SIGHUP, SIGTERM, SIGTERM });
        CHECK(trace.actions == "RB");
    }
    SECTION("a reload fails: the signals after it are heard")
    {
        actions.reload = [&] {
            trace.actions += 'R';
            throw std::runtime_error("settings");
        };
        CHECK(run({ SIGHUP, SIGHUP, SIGTERM }) < 1s);
        CHECK(trace.actions == "RRB");
    }
    SECTION("the drain cannot be begun as a whole: requests at work have their time")
    {
        trace.requests = 1;
        actions.beginDrain = [&](TimePoint) { throw std::runtime_error("directory"); };
        CHECK(run({ SIGTERM }) < 1s);
        CHECK(trace.actions == "E");
        CHECK(trace.endedAt - startedAt >= 300ms);
    }
    SECTION("the drain breaks off: requests at work are ended explicitly")
    {
        trace.requests = 1;
        actions.isDrained = [](Milliseconds) -> bool { throw std::runtime_error("listener"); };
        CHECK(run({ SIGTERM }) < 1s);
        CHECK(trace.actions == "BE");
    }
    SECTION("the end of the requests fails: the loop ends nevertheless")
    {
        trace.requests = 1;
        actions.endWaits = [&] { throw std::runtime_error("connections"); };
        CHECK(run({ SIGTERM }) < 1s);
        CHECK(trace.actions == "B");
    }
    SECTION("a stream whose upstream sends on is ended nevertheless")
    {
        trace.requests = 1;
        actions.endWaits = [] {};
        actions.closeUpstreams = [&] { trace.requests = 0; };
        CHECK(run({ SIGTERM }) < 1s);
        CHECK(trace.actions == "B");
        CHECK(trace.requests == 0);
    }
    SECTION("a first SIGTERM decides when the drain ends")
    {
        trace.requests = 1;
        run({ SIGTERM, SIGTERM, SIGTERM, SIGTERM });
        CHECK(trace.actions == "BE");
        auto time = toMilliseconds(trace.endedAt - startedAt);
        CHECK(time >= 300ms);
        CHECK(time < 500ms);
    }
    SECTION("SIGINT during the drain ends it early")
    {
        trace.requests = 1;
        CHECK(run({ SIGTERM, SIGINT }) < 250ms);
        CHECK(trace.actions == "BE");
    }
}
