#pragma once

// Resource usage of the process: CPU time by thread and log volume. Logged every 10 s and exported as gauges on the metrics
// address.

#include "edge/edge_metrics.h"

namespace skylarkhitch {

// CPU time that the calling thread has used since it started.
Microseconds threadCpuTime();

class ProcessState {
public:
    explicit ProcessState(EdgeMetrics& metrics)
        : m_metrics(metrics)
    {
    }

    // Stores the traffic thread's CPU time and logs the usage when it is due. Must be called on the control thread.
    void update(Microseconds trafficCpuTime, TimePoint now);
    // Updates the gauges. Must be called on the control thread.
    void publish();

private:
    EdgeMetrics& m_metrics;
    Microseconds m_trafficCpuTime {};
    TimePoint m_loggedAt {};
};

}
