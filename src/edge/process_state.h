#pragma once

// Resource usage of the process: CPU time by thread, log volume, memory, descriptors and callers' connections. Logged every 10 s
// and exported as gauges on the metrics address. Memory or descriptors that run out are logged at once.

#include "edge/edge_metrics.h"
#include "edge/resource_usage.h"
#include "edge/resource_watch.h"

#include <vector>

namespace skylarkhitch {

// CPU time that the calling thread has used since it started.
Microseconds threadCpuTime();

class ProcessState {
public:
    ProcessState(EdgeMetrics& metrics, const ResourceLimits& limits)
        : m_metrics(metrics)
        , m_memory(limits.memoryBytes)
        , m_descriptors(limits.descriptors)
    {
    }

    // Stores the traffic thread's CPU time and the number of callers' connections. Logs the usage when it is due, and memory and
    // descriptors when they come near their limits. Must be called on the control thread.
    void update(Microseconds trafficCpuTime, std::int64_t callerConnections, TimePoint now);
    // Updates the gauges. Must be called on the control thread.
    void publish();

private:
    // A value that may be unknown, with its name in the log and the metrics.
    struct NamedValue {
        const char* name;
        std::optional<std::int64_t> value;
    };
    std::vector<NamedValue> resources(std::optional<std::int64_t> openDescriptors) const;

    EdgeMetrics& m_metrics;
    ResourceReader m_reader;
    ResourceWatch m_memory;
    ResourceWatch m_descriptors;
    Microseconds m_trafficCpuTime {};
    std::int64_t m_callerConnections = 0;
    TimePoint m_memoryCheckedAt {};
    TimePoint m_loggedAt {};
};

}
