#pragma once

// Metrics in the Prometheus text format (prometheus-cpp): request metrics by team and rank, attempts by upstream and
// version, and gauges of the instance's state. The functions of MetricsSink must be called on one thread only.

#include "ports/metrics_sink.h"

#include <memory>
#include <string>

namespace skylarkhitch {

class PrometheusMetrics final : public MetricsSink {
public:
    PrometheusMetrics();
    ~PrometheusMetrics() override;

    void requestEnded(const RequestSummary&) override;
    void tokenGap(const TeamId&, const RankId&, Microseconds) override;
    void attemptEnded(const UpstreamId&, const VersionId&, AttemptEnd) override;
    void strayResponse() override;
    void retried() override;

    // Sets the gauge skylarkhitch_state with the label "name"; used for values that are sampled when metrics are collected.
    void setGauge(const std::string& name, double value);
    // Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
