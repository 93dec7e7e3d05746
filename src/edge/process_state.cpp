#include "edge/process_state.h"

#include "adapters/log.h"
#include "edge/event_loop.h"

#include <sys/resource.h>

namespace skylarkhitch {

namespace {

    constexpr Seconds logPeriod { 10 };
    // Memory can grow fast, and reading it is cheap; counting the descriptors takes longer and is left to the log period.
    constexpr Seconds memoryCheckPeriod { 1 };

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

    // Logs when the use of a resource comes near its limit, and when it no longer is.
    void logUse(ResourceWatch& watch, std::string_view resource, std::optional<std::int64_t> used)
    {
        auto change = used ? watch.update(*used) : ResourceWatch::Change::None;
        if (change == ResourceWatch::Change::None)
            return;
        bool isNear = change == ResourceWatch::Change::NearlyExhausted;
        LogLine(isNear ? LogLevel::Warning : LogLevel::Info, isNear ? "resource_nearly_exhausted" : "resource_recovered").with("resource", resource).with("used", *used).with("limit", watch.limit()).with("percent", watch.percent(*used));
    }

    std::optional<std::int64_t> known(std::int64_t limit) { return limit > 0 ? std::optional(limit) : std::nullopt; }

}

Microseconds threadCpuTime() { return cpuTimeOf(RUSAGE_THREAD); }

void ProcessState::update(Microseconds trafficCpuTime, std::int64_t callerConnections, TimePoint now)
{
    m_trafficCpuTime = trafficCpuTime;
    m_callerConnections = callerConnections;
    if (now - m_memoryCheckedAt >= memoryCheckPeriod) {
        m_memoryCheckedAt = now;
        logUse(m_memory, "memory", m_reader.residentBytes());
    }
    if (now - m_loggedAt < logPeriod)
        return;
    bool isFirst = m_loggedAt == TimePoint {};
    m_loggedAt = now;
    auto openDescriptors = m_reader.openDescriptors();
    logUse(m_descriptors, "descriptors", openDescriptors);
    if (isFirst)
        return;
    auto times = threadTimes(m_trafficCpuTime);
    auto log = logTotals();
    LogLine line(LogLevel::Info, "process_state");
    line.with("traffic_cpu_ms", toMilliseconds(times.traffic).count()).with("control_cpu_ms", toMilliseconds(times.control).count()).with("other_cpu_ms", toMilliseconds(times.others).count()).with("log_lines", static_cast<std::int64_t>(log.lines)).with("log_bytes", static_cast<std::int64_t>(log.bytes)).with("log_suppressed", static_cast<std::int64_t>(log.suppressed)).with("log_dropped", static_cast<std::int64_t>(log.dropped)).with("failed_tasks", failedTasks()).with("failed_events", failedHandlers());
    for (const auto& it : resources(openDescriptors)) {
        if (it.value)
            line.with(it.name, *it.value);
    }
}

std::vector<ProcessState::NamedValue> ProcessState::resources(std::optional<std::int64_t> openDescriptors) const
{
    return {
        { "memory_bytes", m_reader.residentBytes() },
        { "memory_peak_bytes", m_reader.peakResidentBytes() },
        { "memory_limit_bytes", known(m_memory.limit()) },
        { "open_descriptors", openDescriptors },
        { "descriptor_limit", known(m_descriptors.limit()) },
        { "caller_connections", m_callerConnections },
    };
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
    for (const auto& it : resources(m_reader.openDescriptors())) {
        if (it.value)
            m_metrics.setState(it.name, static_cast<double>(*it.value));
    }
}

}
