#include "adapters/prometheus_metrics.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace skylarkhitch {

namespace {

    const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.001, 0.002, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.2, 0.35, 0.69, 1, 2, 5, 10, 30, 60 };

    const char* nameOf(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::Completed:
            return "completed";
        case AttemptEnd::NotSent:
            return "not_sent";
        case AttemptEnd::RefusedNotRun:
            return "refused_not_run";
        case AttemptEnd::UpstreamError:
            return "upstream_error";
        case AttemptEnd::Cut:
            return "cut";
        case AttemptEnd::Dropped:
            return "dropped";
        case AttemptEnd::Malformed:
            return "malformed";
        case AttemptEnd::TimedOut:
            break;
        }
        return "timed_out";
    }

    template <typename Builder>
    auto& makeFamily(prometheus::Registry& registry, Builder builder, const char* name, const char* help)
    {
        return builder.Name(name).Help(help).Register(registry);
    }

    double seconds(Microseconds us) { return std::chrono::duration<double>(us).count(); }

}

class PrometheusMetrics::Impl {
public:
    // Metrics of one team and rank.
    struct TeamRankMetrics {
        prometheus::Histogram* queueWait;
        prometheus::Histogram* timeToFirstToken;
        prometheus::Histogram* tokenGap;
        prometheus::Histogram* totalTime;
        prometheus::Counter* cost;
    };

    TeamRankMetrics& teamRankMetrics(const TeamId& team, const RankId& rank)
    {
        auto [it, isNew] = m_teamRankMetrics.try_emplace(absl::StrCat(team.value, "\x1f", rank.value));
        if (isNew) {
            prometheus::Labels labels { { "team", team.value }, { "rank", rank.value } };
            it->second = { &queueWait.Add(labels, secondsBuckets), &timeToFirstToken.Add(labels, secondsBuckets),
                &tokenGap.Add(labels, secondsBuckets), &totalTime.Add(labels, secondsBuckets), &cost.Add(labels) };
        }
        return it->second;
    }

    // Returns the counter with the given labels. Counters are cached by a joined key because building a label map is slow.
    prometheus::Counter& counter(prometheus::Family<prometheus::Counter>& family, const std::string& key, const std::function<prometheus::Labels()>& labels)
    {
        auto [it, isNew] = m_counters.try_emplace(key, nullptr);
        if (isNew)
            it->second = &family.Add(labels());
        return *it->second;
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram>& queueWait = makeFamily(registry, prometheus::BuildHistogram(), "skylarkhitch_queue_wait_seconds", "Time from arrival to the first attempt");
    prometheus::Family<prometheus::Histogram>& timeToFirstToken = makeFamily(registry, prometheus::BuildHistogram(), "skylarkhitch_first_token_seconds", "Time from arrival to the first token of a stream");
    prometheus::Family<prometheus::Histogram>& tokenGap = makeFamily(registry, prometheus::BuildHistogram(), "skylarkhitch_token_gap_seconds", "Time between tokens of a stream");
    prometheus::Family<prometheus::Histogram>& totalTime = makeFamily(registry, prometheus::BuildHistogram(), "skylarkhitch_request_seconds", "Time from arrival to the final answer");
    prometheus::Family<prometheus::Counter>& cost = makeFamily(registry, prometheus::BuildCounter(), "skylarkhitch_cost_micros_total", "Charges in millionths of the currency unit");
    prometheus::Family<prometheus::Counter>& requests = makeFamily(registry, prometheus::BuildCounter(), "skylarkhitch_requests_total", "Final answers by error kind");
    prometheus::Family<prometheus::Counter>& attempts = makeFamily(registry, prometheus::BuildCounter(), "skylarkhitch_attempts_total", "Attempts on upstreams by their end");
    prometheus::Family<prometheus::Gauge>& gauges = makeFamily(registry, prometheus::BuildGauge(), "skylarkhitch_state", "State of this instance, by name");
    prometheus::Counter& strayResponses = makeFamily(registry, prometheus::BuildCounter(), "skylarkhitch_stray_answers_total", "Answers of cancelled attempts, dropped").Add({});
    prometheus::Counter& retries = makeFamily(registry, prometheus::BuildCounter(), "skylarkhitch_retries_total", "Attempts paid from the retry budget").Add({});
    std::mutex gaugeMutex;

private:
    absl::flat_hash_map<std::string, TeamRankMetrics> m_teamRankMetrics;
    absl::flat_hash_map<std::string, prometheus::Counter*> m_counters;
};

PrometheusMetrics::PrometheusMetrics()
    : m_impl(std::make_unique<Impl>())
{
}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::requestEnded(const RequestSummary& summary)
{
    auto& metrics = m_impl->teamRankMetrics(summary.team, summary.rank);
    metrics.queueWait->Observe(seconds(summary.queueWait));
    if (summary.timeToFirstToken)
        metrics.timeToFirstToken->Observe(seconds(*summary.timeToFirstToken));
    metrics.totalTime->Observe(seconds(summary.totalTime));
    metrics.cost->Increment(static_cast<double>(summary.cost));
    std::string error(errorInfo(summary.error).name);
    m_impl->counter(m_impl->requests, absl::StrCat("r", summary.team.value, "\x1f", summary.rank.value, "\x1f", error), [&] {
              return prometheus::Labels { { "team", summary.team.value }, { "rank", summary.rank.value }, { "error", error } };
          })
        .Increment();
}

void PrometheusMetrics::tokenGap(const TeamId& team, const RankId& rank, Microseconds gap)
{
    m_impl->teamRankMetrics(team, rank).tokenGap->Observe(seconds(gap));
}

void PrometheusMetrics::attemptEnded(const UpstreamId& upstream, const VersionId& version, AttemptEnd end)
{
    m_impl->counter(m_impl->attempts, absl::StrCat("a", upstream.value, "\x1f", version.value, "\x1f", nameOf(end)), [&] {
              return prometheus::Labels { { "upstream", upstream.value }, { "version", version.value }, { "end", nameOf(end) } };
          })
        .Increment();
}

void PrometheusMetrics::strayResponse() { m_impl->strayResponses.Increment(); }

void PrometheusMetrics::retried() { m_impl->retries.Increment(); }

void PrometheusMetrics::setGauge(const std::string& name, double value)
{
    std::lock_guard lock(m_impl->gaugeMutex);
    m_impl->gauges.Add({ { "name", name } }).Set(value);
}

std::string PrometheusMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

}
