#include "core/membership/fleet_counters.h"

#include "core/bounded_document.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

using Json = nlohmann::json;

namespace {

    // Sums of logarithms of latencies, or of their squares.
    double sumFrom(const Json& json) { return clampedNumberFrom(json, { 0, static_cast<double>(maxWholeNumber) }); }

    // The sum of latencies of all requests of a release; as microseconds it still is a whole number.
    Milliseconds latencySumFrom(const Json& json) { return Milliseconds(clampedIntegerFrom(json, { 0, maxWholeNumber / 1000 })); }

    // Instances of earlier versions do not send these.
    LogLatencies logLatenciesFrom(const Json& row)
    {
        return row.size() > 9 ? LogLatencies { countFrom(row.at(7)), sumFrom(row.at(8)), sumFrom(row.at(9)) } : LogLatencies {};
    }

    std::int64_t abandonedFrom(const Json& row) { return row.size() > 10 ? countFrom(row.at(10)) : 0; }

}

void addSuccess(ReleaseCounters& counters, Milliseconds latency)
{
    ++counters.done;
    counters.latency += latency;
    auto logarithm = std::log(static_cast<double>(std::max<std::int64_t>(1, latency.count())));
    ++counters.logLatencies.count;
    counters.logLatencies.sum += logarithm;
    counters.logLatencies.squareSum += logarithm * logarithm;
}

void addSuccessWithoutLatency(ReleaseCounters& counters)
{
    if (counters.done > 0)
        counters.latency += counters.latency / counters.done;
    ++counters.done;
}

void addAbandoned(ReleaseCounters& counters, Milliseconds waited)
{
    ++counters.abandoned;
    counters.latency += waited;
}

void add(ReleaseCounters& sum, const ReleaseCounters& it)
{
    sum.done += it.done;
    sum.failed += it.failed;
    sum.latency += it.latency;
    sum.logLatencies.count += it.logLatencies.count;
    sum.logLatencies.sum += it.logLatencies.sum;
    sum.logLatencies.squareSum += it.logLatencies.squareSum;
    sum.abandoned += it.abandoned;
}

Json workToJson(const std::map<UpstreamId, UpstreamWork>& work)
{
    Json rows = Json::array();
    for (const auto& [id, it] : work)
        rows.push_back(Json::array({ id.value, it.requests, it.waitingTokens }));
    return rows;
}

Json evidenceToJson(const ReleaseEvidence& evidence)
{
    Json rows = Json::array();
    for (const auto& [key, it] : evidence)
        rows.push_back(Json::array({ key.service.value, key.release, key.route, key.model.value, it.done, it.failed, it.latency.count(), it.logLatencies.count, it.logLatencies.sum, it.logLatencies.squareSum, it.abandoned }));
    return rows;
}

std::map<UpstreamId, UpstreamWork> workFrom(const Json& rows)
{
    std::map<UpstreamId, UpstreamWork> work;
    for (const auto& it : rows)
        work[UpstreamId { it.at(0) }] = { countFrom(it.at(1)), countFrom(it.at(2)) };
    return work;
}

ReleaseEvidence evidenceFrom(const Json& rows)
{
    ReleaseEvidence evidence;
    for (const auto& it : rows)
        evidence[{ { it.at(0) }, it.at(1), it.at(2), { it.at(3) } }] = { countFrom(it.at(4)), countFrom(it.at(5)), latencySumFrom(it.at(6)), logLatenciesFrom(it), abandonedFrom(it) };
    return evidence;
}

}
