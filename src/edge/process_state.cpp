#include "edge/process_state.h"

#include "adapters/log.h"
#include "edge/event_loop.h"

#include <sys/resource.h>

namespace skylarkhitch {

namespace {

    constexpr Seconds logPeriod { 10 };

    Microseconds cpuTimeOf(int who)
    {
        rusage usage {};
        getrusage(who, &usage);
        return Seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) + Microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
    }

    struct ThreadTimes {
        Microseconds traffic, control, others;
    };

    // CPU time of the process that neither the traffic nor the control thread used belongs to the threads of the log and of
    // libraries.
    ThreadTimes threadTimes(Microseconds traffic)
    {
        auto control = threadCpuTime();
        return { traffic, control, std::max(Microseconds(0), cpuTimeOf(RUSAGE_SELF) - traffic - control) };
    }

}

Microseconds threadCpuTime() { return cpuTimeOf(RUSAGE_THREAD); }

void ProcessState::update(Microseconds trafficCpuTime, TimePoint now)
{
    m_trafficCpuTime = trafficCpuTime;
    if (now - m_loggedAt < logPeriod)
        return;
    bool isFirst = m_loggedAt == TimePoint {};
    m_loggedAt = now;
    if (isFirst)
        return;
    auto times = threadTimes(m_trafficCpuTime);
    auto log = logTotals();
    LogLine(LogLevel::Info, "process_state").with("traffic_cpu_ms", toMilliseconds(times.traffic).count()).with("control_cpu_ms", toMilliseconds(times.control).count()).with("other_cpu_ms", toMilliseconds(times.others).count()).with("log_lines", static_cast<std::int64_t>(log.lines)).with("log_bytes", static_cast<std::int64_t>(log.bytes)).with("log_suppressed", static_cast<std::int64_t>(log.suppressed)).with("log_dropped", static_cast<std::int64_t>(log.dropped)).with("failed_tasks", failedTasks()).with("failed_events", failedHandlers());
}

void ProcessState::publish()
{
    auto times = threadTimes(m_trafficCpuTime);
    m_metrics.setState("traffic_thread_seconds", times.traffic);
    m_metrics.setState("control_thread_seconds", times.control);
    m_metrics.setState("other_threads_seconds", times.others);
    auto log = logTotals();
    m_metrics.setState("log_lines", static_cast<double>(log.lines));
    m_metrics.setState("log_bytes", static_cast<double>(log.bytes));
    m_metrics.setState("log_lines_suppressed", static_cast<double>(log.suppressed));
    m_metrics.setState("log_lines_dropped", static_cast<double>(log.dropped));
    m_metrics.setState("failed_tasks", static_cast<double>(failedTasks()));
    m_metrics.setState("failed_events", static_cast<double>(failedHandlers()));
}

}
