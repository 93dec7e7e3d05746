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

    // A request got its final answer or none; error is the name of the error's kind, "none" for an answer of an upstream.
    void requestEnded(const TeamId&, std::int64_t rank, const std::string& error, Microseconds whole);
    // The first event or the answer went to the caller.
    void firstByte(const TeamId&, std::int64_t rank, Microseconds);
    void attemptEnded(const std::string& service, const std::string& end);
    void storeCall(const std::string& call, int status);
    void peerBeat(const std::string& direction);
    // A value of the process's state that goes up and down.
    void setState(const std::string& name, double value);
    // A time, in seconds.
    void setState(const std::string& name, Microseconds);

    // All metrics in the text format.
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
