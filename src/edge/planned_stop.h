#pragma once

// What an entry instance does on the signals of its process: reloads its settings, and stops in a planned way.
//
// Signals come in series and overlap. SIGHUP reloads at any time. The first SIGTERM or SIGINT begins the drain, and a further
// SIGTERM does not change when that ends. SIGINT during the drain ends it early. However the drain ends, the requests that are
// still at work get an explicit end before the loop stops.

#include "edge/event_loop.h"

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <optional>

namespace skylarkhitch {

// What a planned stop asks of the instance. All are called on the thread of the loop.
struct StopActions {
    std::function<void()> reload;
    // Directs callers to other instances. At `exitAt` the requests that are still at work are ended.
    std::function<void(TimePoint exitAt)> beginDrain;
    // Whether no request is at work and no more can arrive, this long after the drain began.
    std::function<bool(Milliseconds elapsed)> isDrained;
    // Ends what requests wait for. What has arrived for them is passed on, and the ends of the others are written, while the loop
    // runs on. Is called again until no request is left.
    std::function<void()> endWaits;
    // Closes all connections to upstreams.
    std::function<void()> closeUpstreams;
    // Number of requests that are at work.
    std::function<std::int64_t()> requests;
};

class PlannedStop {
public:
    // `grace` is the time from the first signal until the platform kills the process.
    PlannedStop(EventLoop&, Milliseconds grace, StopActions);

    // Begins to handle signals. Those that came since the construction are handled as well.
    void awaitSignals();

private:
    void handleSignal(int signal);
    // Drains, ends what is left and stops the loop. A phase that fails by an exception does not keep the next one from its work.
    Awaitable<void> stop();
    Awaitable<void> beginDrain();
    Awaitable<void> awaitDrained();
    // Ends the requests at work, and waits until their callers have been told.
    Awaitable<void> endRequests();

    EventLoop& m_loop;
    Milliseconds m_grace;
    StopActions m_actions;
    asio::signal_set m_signals;
    // When the drain began.
    std::optional<TimePoint> m_startedAt;
    // When it ends at the latest.
    TimePoint m_exitAt {};
    // The drain is to end early.
    bool m_isCutShort = false;
};

}
