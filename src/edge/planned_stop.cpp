#include "edge/planned_stop.h"

#include "adapters/log.h"

#include <algorithm>
#include <csignal>
#include <string_view>

namespace skylarkhitch {

namespace {

    // Time reserved before the platform kills the process, to close unfinished requests so that callers can resume them.
    constexpr Milliseconds shutdownMargin { 400 };
    constexpr Milliseconds drainPollPeriod { 50 };
    // The last responses are written in at most this many turns, which take a part of shutdownMargin. Turns are counted, not time:
    // a process that is held up has its requests answered later.
    constexpr int lastTurns = 40;
    constexpr Milliseconds lastTurnPeriod { 5 };
    // In these turns at the beginning, streams whose upstreams send on are passed on.
    constexpr int deliveryTurns = 20;

    std::string_view signalName(int signal)
    {
        if (signal == SIGHUP)
            return "SIGHUP";
        return signal == SIGINT ? "SIGINT" : "SIGTERM";
    }

    // Runs a phase of the stop. An exception that leaves it is logged, and the next phase follows.
    Awaitable<void> runPhase(Awaitable<void> phase, const char* name)
    {
        try {
            co_await std::move(phase);
        } catch (const std::exception& e) {
            LogLine(LogLevel::Error, "task_failed").with("task", name).with("error", e.what());
        }
    }

}

PlannedStop::PlannedStop(EventLoop& loop, Milliseconds grace, StopActions actions)
    : m_loop(loop)
    , m_grace(grace)
    , m_actions(std::move(actions))
    , m_signals(loop, SIGTERM, SIGINT, SIGHUP)
{
}

void PlannedStop::awaitSignals()
{
    m_signals.async_wait([this](const boost::system::error_code& ec, int signal) {
        if (ec)
            return;
        // First, so that an exception while this signal is handled does not leave the process deaf to the next one.
        awaitSignals();
        handleSignal(signal);
    });
}

void PlannedStop::handleSignal(int signal)
{
    LogLine(LogLevel::Info, "signal").with("name", signalName(signal)).with("stopping", m_startedAt ? "yes" : "no").with("requests", m_actions.requests());
    if (signal == SIGHUP)
        m_actions.reload();
    else if (m_startedAt)
        m_isCutShort = m_isCutShort || signal == SIGINT;
    else {
        m_startedAt = bootNow();
        m_exitAt = *m_startedAt + m_grace - shutdownMargin;
        spawn(m_loop, stop(), "stop");
    }
}

Awaitable<void> PlannedStop::stop()
{
    co_await runPhase(beginDrain(), "begin_drain");
    co_await runPhase(awaitDrained(), "drain");
    auto cut = m_actions.requests();
    co_await runPhase(endRequests(), "end_requests");
    LogLine(LogLevel::Info, "stopped").with("cut", cut).with("unanswered", m_actions.requests()).with("ms", toMilliseconds(bootNow() - *m_startedAt).count());
    m_loop.stop();
}

Awaitable<void> PlannedStop::beginDrain()
{
    m_actions.beginDrain(m_exitAt);
    co_return;
}

Awaitable<void> PlannedStop::awaitDrained()
{
    while (!m_isCutShort && bootNow() < m_exitAt && !m_actions.isDrained(toMilliseconds(bootNow() - *m_startedAt)))
        co_await sleepFor(m_loop, std::clamp(toMilliseconds(m_exitAt - bootNow()), Milliseconds(1), drainPollPeriod));
}

Awaitable<void> PlannedStop::endRequests()
{
    for (int turn = 0; turn < lastTurns && m_actions.requests() > 0; ++turn) {
        m_actions.endWaits();
        if (turn >= deliveryTurns)
            m_actions.closeUpstreams();
        co_await sleepFor(m_loop, lastTurnPeriod);
    }
}

}
