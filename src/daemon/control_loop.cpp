#include "daemon/control_loop.h"

#include "adapters/callback_guard.h"

namespace skylarkhitch {

namespace {

    using Steady = std::chrono::steady_clock;

    // Delay after timers that failed, which are due again at once.
    constexpr Milliseconds failedTimerDelay { 20 };

    std::optional<RequestId> requestOf(const Event* event)
    {
        const auto* received = event ? std::get_if<RequestReceived>(event) : nullptr;
        return received ? std::optional(received->request.id) : std::nullopt;
    }

    CallerResponse internalError(const RequestId& request)
    {
        CallerResponseHead head { .status = errorInfo(ErrorKind::Internal).httpStatus, .ran = Executed::Unknown };
        return { request, head, errorBody(ErrorKind::Internal, "the request could not be handled", Executed::Unknown, request) };
    }

    // Wall-clock time that never goes backwards: the wall clock at the first call plus the steady-clock time since then.
    TimePoint monotonicNow()
    {
        static const auto wallStart = std::chrono::time_point_cast<Microseconds>(std::chrono::system_clock::now());
        static const auto steadyStart = Steady::now();
        return wallStart + std::chrono::duration_cast<Microseconds>(Steady::now() - steadyStart);
    }

}

ControlLoop::ControlLoop(RouterSettings settings, ConfigurationReader reader, MetricsSink& metrics)
    : m_router(std::move(settings), std::move(reader), metrics)
{
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::start(ActionSink sink)
{
    m_sink = std::move(sink);
    m_thread = std::thread([this] { run(); });
}

void ControlLoop::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_queueChanged.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlLoop::post(Event event) { enqueue(std::move(event)); }

void ControlLoop::postTask(ControlTask task) { enqueue(std::move(task)); }

void ControlLoop::enqueue(QueueItem item)
{
    bool wasEmpty = false;
    {
        std::lock_guard lock(m_mutex);
        wasEmpty = m_queue.empty();
        m_queue.push_back(std::move(item));
    }
    if (wasEmpty)
        m_queueChanged.notify_one();
}

void ControlLoop::process(QueueItem item, TimePoint now, Outbox& out)
{
    auto* event = std::get_if<Event>(&item);
    auto request = requestOf(event);
    bool ended = runGuarded("control_event", [&] {
        if (event)
            m_router.handle(std::move(*event), now, out);
        else
            std::get<ControlTask>(item)(m_router, now, out);
    });
    // A request that was taken is answered, whatever happened to its event.
    if (!ended && request)
        out.push_back(internalError(*request));
}

void ControlLoop::run()
{
    std::deque<QueueItem> items;
    Outbox out;
    bool timersFailed = false;
    for (;;) {
        {
            std::unique_lock lock(m_mutex);
            auto now = monotonicNow();
            auto wait = m_router.nextWake(now) - now;
            if (timersFailed)
                wait = std::max<Microseconds>(wait, failedTimerDelay);
            m_queueChanged.wait_for(lock, wait, [&] { return m_stopping || !m_queue.empty(); });
            if (m_stopping)
                return;
            items.swap(m_queue);
        }
        auto now = monotonicNow();
        for (auto& it : items)
            process(std::move(it), now, out);
        items.clear();
        timersFailed = m_router.nextWake(now) <= now && !runGuarded("control_timer", [&] { m_router.handle(TimerFired {}, now, out); });
        for (auto& it : out)
            runGuarded("control_action", [&] { m_sink(std::move(it)); });
        out.clear();
    }
}

}
