#pragma once

// What the process itself costs: processor time by thread, and its log. One line each 10 s, and gauges on the metrics address.

#include "edge/edge_metrics.h"

namespace skylarkhitch {

// Processor time of the calling thread since it began.
Microseconds threadTime();

class ProcessState {
public:
    explicit ProcessState(EdgeMetrics& metrics)
        : m_metrics(metrics)
    {
    }

    // Called on the control thread with the traffic thread's time; writes the line when it is due.
    void note(Microseconds trafficTime, TimePoint now);
    // Sets the gauges.
    void publish();

private:
    EdgeMetrics& m_metrics;
    Microseconds m_trafficTime {};
    TimePoint m_loggedAt {};
};

}
