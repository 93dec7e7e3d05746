#pragma once

// Runs the core on a single control thread: queues events and tasks from other threads and passes the core's actions to
// the adapters.

#include "core/router.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace skylarkhitch {

using ActionSink = std::function<void(Action)>;
// A callback that runs on the control thread with access to the core.
using Question = std::function<void(Router&, TimePoint, Outbox&)>;

class ControlLoop {
public:
    ControlLoop(RouterSettings, ConfigurationReader, MetricsSink&);
    ~ControlLoop();

    // The sink is called on the control thread and must not block.
    void start(ActionSink);
    void stop();
    void post(Event);
    void ask(Question);

private:
    using Order = std::variant<Event, Question>;
    void run();
    void push(Order);
    void carryOut(Order, TimePoint, Outbox&);

    Router m_router;
    ActionSink m_sink;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Order> m_orders;
    bool m_stopping = false;
    std::thread m_thread;
};

}
