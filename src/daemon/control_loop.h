#pragma once

// Runs the core on a single control thread: queues events and tasks from other threads and passes the core's actions to
// the adapters. An exception in an event, a task or an action is logged and counted (see callback_guard.h), and the next one
// follows; a request whose event fails is answered with the error "internal".

#include "core/router.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace skylarkhitch {

using ActionSink = std::function<void(Action)>;
// A callback that runs on the control thread with access to the core.
using ControlTask = std::function<void(Router&, TimePoint, Outbox&)>;

class ControlLoop {
public:
    ControlLoop(RouterSettings, ConfigurationReader, MetricsSink&);
    ~ControlLoop();

    // The sink is called on the control thread and must not block.
    void start(ActionSink);
    // Ends the control thread; events and tasks that are still queued are dropped.
    void stop();
    // Queue an event or a task; called on any thread.
    void post(Event);
    void postTask(ControlTask);

private:
    using QueueItem = std::variant<Event, ControlTask>;
    void run();
    void enqueue(QueueItem);
    void process(QueueItem, TimePoint, Outbox&);

    Router m_router;
    ActionSink m_sink;
    std::mutex m_mutex;
    std::condition_variable m_queueChanged;
    std::deque<QueueItem> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
};

}
