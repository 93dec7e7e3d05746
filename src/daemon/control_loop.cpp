#include "daemon/control_loop.h"

namespace skylarkhitch {

namespace {

    using Steady = std::chrono::steady_clock;

    // Wall-clock time that never goes backwards: the wall clock at the first call plus the steady-clock time since then.
    TimePoint coreNow()
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
    m_changed.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlLoop::post(Event event) { push(std::move(event)); }

void ControlLoop::ask(Question question) { push(std::move(question)); }

void ControlLoop::push(Order order)
{
    bool wasEmpty = false;
    {
        std::lock_guard lock(m_mutex);
        wasEmpty = m_orders.empty();
        m_orders.push_back(std::move(order));
    }
    if (wasEmpty)
        m_changed.notify_one();
}

void ControlLoop::carryOut(Order order, TimePoint now, Outbox& out)
{
    if (auto* event = std::get_if<Event>(&order))
        m_router.handle(std::move(*event), now, out);
    else
        std::get<Question>(order)(m_router, now, out);
}

void ControlLoop::run()
{
    std::deque<Order> orders;
    Outbox out;
    for (;;) {
        {
            std::unique_lock lock(m_mutex);
            auto now = coreNow();
            auto wait = m_router.nextWake(now) - now;
            m_changed.wait_for(lock, wait, [&] { return m_stopping || !m_orders.empty(); });
            if (m_stopping)
                return;
            orders.swap(m_orders);
        }
        auto now = coreNow();
        for (auto& it : orders)
            carryOut(std::move(it), now, out);
        orders.clear();
        if (m_router.nextWake(now) <= now)
            m_router.handle(TimerFired {}, now, out);
        for (auto& it : out)
            m_sink(std::move(it));
        out.clear();
    }
}

}
