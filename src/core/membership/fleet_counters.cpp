#include "core/membership/fleet_counters.h"

#include "core/bounded_document.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

using Json = nlohmann::json;

namespace {

    // Speed observations are told in hundredths. The logarithm of a speed is at most as large as this on average.
    constexpr double speedUnits = 100;
    constexpr double maxMeanLogSpeed = 2;
    constexpr double maxSpeedWeight = 1e6;

    // Instances of earlier versions do not send these, and neither do those that have nothing to tell.
    void readEstimate(const Json& row, UpstreamWork& work)
    {
        if (row.size() <= 6)
            return;
        work.committed = { countFrom(row.at(3)), countFrom(row.at(4)) };
        work.speed = decodeSpeed({ clampedIntegerFrom(row.at(5), { -maxWholeNumber, maxWholeNumber }), countFrom(row.at(6)) });
    }

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

void add(UpstreamWork& sum, const UpstreamWork& it)
{
    sum.requests = std::min(maxSum, sum.requests + it.requests);
    sum.waitingTokens = std::min(maxSum, sum.waitingTokens + it.waitingTokens);
    sum.committed = sum.committed + it.committed;
    sum.speed.logSum += it.speed.logSum;
    sum.speed.weight += it.speed.weight;
}

void subtract(UpstreamWork& sum, const UpstreamWork& it)
{
    sum.requests = std::max<std::int64_t>(0, sum.requests - it.requests);
    sum.waitingTokens = std::max<std::int64_t>(0, sum.waitingTokens - it.waitingTokens);
    sum.committed = sum.committed - it.committed;
    auto weight = std::max(0.0, sum.speed.weight - it.speed.weight);
    sum.speed = weight > 0 ? SpeedObservations { sum.speed.logSum - it.speed.logSum, weight } : SpeedObservations {};
}

EncodedSpeed encodeSpeed(const SpeedObservations& it)
{
    return { std::llround(it.logSum * speedUnits), std::llround(it.weight * speedUnits) };
}

SpeedObservations decodeSpeed(const EncodedSpeed& it)
{
    auto weight = std::clamp(static_cast<double>(it.weight) / speedUnits, 0.0, maxSpeedWeight);
    return { std::clamp(static_cast<double>(it.logSum) / speedUnits, -maxMeanLogSpeed * weight, maxMeanLogSpeed * weight), weight };
}

Json workToJson(const std::map<UpstreamId, UpstreamWork>& work)
{
    Json rows = Json::array();
    for (const auto& [id, it] : work) {
        auto row = Json::array({ id.value, it.requests, it.waitingTokens });
        auto speed = encodeSpeed(it.speed);
        if (it.committed != MemoryCommitment {} || speed.weight > 0)
            row.insert(row.end(), { it.committed.tokens, it.committed.variance, speed.logSum, speed.weight });
        rows.push_back(std::move(row));
    }
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
    for (const auto& it : rows) {
        auto& row = work[UpstreamId { it.at(0) }];
        row = { countFrom(it.at(1)), countFrom(it.at(2)), {}, {} };
        readEstimate(it, row);
    }
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
