#include "edge/edge_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace skylarkhitch {

namespace {

    // Bucket upper bounds in seconds. They range from a plain call to an idle upstream to the longest time limit of a stream.
    const prometheus::Histogram::BucketBoundaries latencyBounds { 0.01, 0.03, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30 };

    double toSeconds(Microseconds time) { return std::chrono::duration<double>(time).count(); }

}

class EdgeMetrics::Impl {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram>& requestSeconds = prometheus::BuildHistogram().Name("skylarkhitch_edge_request_seconds").Help("time from a request to the end of its answer").Register(registry);
    prometheus::Family<prometheus::Histogram>& firstByteSeconds = prometheus::BuildHistogram().Name("skylarkhitch_edge_first_byte_seconds").Help("time from a request to the first part of its answer").Register(registry);
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter().Name("skylarkhitch_edge_requests_total").Help("requests by how they ended").Register(registry);
    prometheus::Family<prometheus::Counter>& attempts = prometheus::BuildCounter().Name("skylarkhitch_edge_attempts_total").Help("sends to upstreams by how they ended").Register(registry);
    prometheus::Family<prometheus::Counter>& storeCalls = prometheus::BuildCounter().Name("skylarkhitch_edge_store_calls_total").Help("calls to the platform's store; status 0 is no answer").Register(registry);
    prometheus::Family<prometheus::Counter>& heartbeats = prometheus::BuildCounter().Name("skylarkhitch_edge_beats_total").Help("beats sent and received").Register(registry);
    prometheus::Family<prometheus::Counter>& passedOn = prometheus::BuildCounter().Name("skylarkhitch_edge_passed_on_bytes_total").Help("bytes of changes and configurations that peers fetched").Register(registry);
    prometheus::Family<prometheus::Counter>& promptParts = prometheus::BuildCounter().Name("skylarkhitch_edge_prompt_parts_total").Help("changes of the quarantine of prompt parts that crash upstreams").Register(registry);
    prometheus::Family<prometheus::Counter>& limitedChoices = prometheus::BuildCounter().Name("skylarkhitch_edge_limited_choices_total").Help("choices of an upstream from which limits of upstreams left some out").Register(registry);
    prometheus::Family<prometheus::Counter>& sharedPromptTokens = prometheus::BuildCounter().Name("skylarkhitch_edge_shared_prompt_tokens_total").Help("shared prompt tokens that requests asked for, and those that engines had cached as believed and as shown by answers").Register(registry);
    prometheus::Family<prometheus::Gauge>& state = prometheus::BuildGauge().Name("skylarkhitch_edge_state").Help("state of the process").Register(registry);
};

EdgeMetrics::EdgeMetrics()
    : m_impl(std::make_unique<Impl>())
{
}

EdgeMetrics::~EdgeMetrics() = default;

void EdgeMetrics::requestEnded(const TeamId& team, std::int64_t rank, const std::string& error, Microseconds duration)
{
    m_impl->requests.Add({ { "team", team.value }, { "rank", std::to_string(rank) }, { "error", error } }).Increment();
    m_impl->requestSeconds.Add({ { "team", team.value }, { "rank", std::to_string(rank) } }, latencyBounds).Observe(toSeconds(duration));
}

void EdgeMetrics::firstByte(const TeamId& team, std::int64_t rank, Microseconds time)
{
    m_impl->firstByteSeconds.Add({ { "team", team.value }, { "rank", std::to_string(rank) } }, latencyBounds).Observe(toSeconds(time));
}

void EdgeMetrics::attemptEnded(const std::string& service, const std::string& end)
{
    m_impl->attempts.Add({ { "service", service }, { "end", end } }).Increment();
}

void EdgeMetrics::storeCall(const std::string& call, int status)
{
    m_impl->storeCalls.Add({ { "call", call }, { "status", std::to_string(status) } }).Increment();
}

void EdgeMetrics::heartbeat(const std::string& direction)
{
    m_impl->heartbeats.Add({ { "direction", direction } }).Increment();
}

void EdgeMetrics::passedOn(std::int64_t bytes)
{
    m_impl->passedOn.Add({}).Increment(static_cast<double>(bytes));
}

void EdgeMetrics::promptPart(const std::string& event)
{
    m_impl->promptParts.Add({ { "event", event } }).Increment();
}

void EdgeMetrics::limitedChoice(bool hasOther)
{
    m_impl->limitedChoices.Add({ { "result", hasOther ? "other_upstream" : "none" } }).Increment();
}

void EdgeMetrics::sharedPromptTokens(const std::string& kind, std::int64_t tokens)
{
    m_impl->sharedPromptTokens.Add({ { "kind", kind } }).Increment(static_cast<double>(tokens));
}

void EdgeMetrics::setState(const std::string& name, double value)
{
    m_impl->state.Add({ { "name", name } }).Set(value);
}

void EdgeMetrics::setState(const std::string& name, Microseconds time)
{
    setState(name, toSeconds(time));
}

std::string EdgeMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

}
