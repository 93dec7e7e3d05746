#pragma once

// Counters and latency histograms of an entry instance (prometheus-cpp).

#include "core/ids.h"

#include <memory>
#include <string>

namespace skylarkhitch {

class EdgeMetrics {
public:
    EdgeMetrics();
    ~EdgeMetrics();
    EdgeMetrics(const EdgeMetrics&) = delete;
    EdgeMetrics& operator=(const EdgeMetrics&) = delete;

    // A request ended, with or without a response. error is the name of the error kind, or "none" if an upstream's response was
    // returned.
    void requestEnded(const TeamId&, std::int64_t rank, const std::string& error, Microseconds duration);
    // The first event of a stream, or the whole response, was sent to the caller.
    void firstByte(const TeamId&, std::int64_t rank, Microseconds);
    void attemptEnded(const std::string& service, const std::string& end);
    void storeCall(const std::string& call, int status);
    void heartbeat(const std::string& direction);
    // Sets a gauge of the process state.
    void setState(const std::string& name, double value);
    // Sets a gauge to a time in seconds.
    void setState(const std::string& name, Microseconds);

    // Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
