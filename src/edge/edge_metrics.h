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

    // A request ended, with or without a response. error is "none" if an upstream's response with a status below 500 was
    // relayed, "upstream_error" if one with a status from 500 was, "caller_left" if the caller disconnected, or the name of the
    // error kind.
    void requestEnded(const TeamId&, std::int64_t rank, const std::string& error, Microseconds duration);
    // The first event of a stream, or the whole response of an upstream, is sent to the caller, this long after the request
    // arrived. Not called for error responses of the router or ones saved from an earlier attempt.
    void firstByte(const TeamId&, std::int64_t rank, Microseconds);
    // An attempt ended, as named by end. Attempts that failed to open a connection are not counted.
    void attemptEnded(const std::string& service, const std::string& end);
    // A call to the store ended; status is 0 if there was no response.
    void storeCall(const std::string& call, int status);
    // direction is "sent", "not_sent" or "received".
    void heartbeat(const std::string& direction);
    // A peer fetched changes of the store or the configuration, in so many bytes.
    void passedOn(std::int64_t bytes);
    // A change of the quarantine of prompt parts: "part_quarantined", "part_released" or "part_probed".
    void promptPart(const std::string& event);
    // The limits that upstreams state left out some of the upstreams for a request; `hasOther` tells whether there was another.
    void limitedChoice(bool hasOther);
    // Shared prompt tokens of a request whose first event arrived: "asked", "believed_cached" when the engine was chosen, and
    // "shown_cached" or "shown_uncached" by the time to the first event.
    void sharedPromptTokens(const std::string& kind, std::int64_t tokens);
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
