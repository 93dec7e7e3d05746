#pragma once

// Counters that instances tell each other, and their JSON form in heartbeats: the requests that are in flight on upstreams, and the
// results of requests by release.

#include "core/ids.h"
#include "core/scheduling/engine_memory.h"
#include "core/scheduling/engine_speed.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace skylarkhitch {

// The requests of one instance that are in flight on one upstream, and what it observed of the upstream. Those of several instances
// are added up.
struct UpstreamWork {
    std::int64_t requests = 0;
    // Prompt tokens of requests that have not received their first event.
    std::int64_t waitingTokens = 0;
    // Of all requests in flight; only of model engines.
    MemoryCommitment committed;
    SpeedObservations speed;

    friend bool operator==(const UpstreamWork&, const UpstreamWork&) = default;
};

void add(UpstreamWork& sum, const UpstreamWork&);
// Takes what one instance had contributed out of a sum, in which no count becomes negative.
void subtract(UpstreamWork& sum, const UpstreamWork&);

// Whole numbers in which instances tell each other speed observations.
struct EncodedSpeed {
    std::int64_t logSum = 0;
    std::int64_t weight = 0;
};
EncodedSpeed encodeSpeed(const SpeedObservations&);
SpeedObservations decodeSpeed(const EncodedSpeed&);

// Logarithms of latencies in milliseconds. Their mean is that of typical responses, which a few very slow ones barely change.
struct LogLatencies {
    std::int64_t count = 0;
    double sum = 0;
    double squareSum = 0;

    friend bool operator==(const LogLatencies&, const LogLatencies&) = default;
};

// Results of the requests of one route and model on one release of a service.
struct ReleaseCounters {
    // Requests that succeeded.
    std::int64_t done = 0;
    std::int64_t failed = 0;
    // Sum of the latencies of the successful requests: the time to the response, or to the first event of a stream. Includes the
    // time that abandoned requests waited.
    Milliseconds latency {};
    // Of the successful requests alone.
    LogLatencies logLatencies;
    // Requests whose callers left before the response, or before the first event of a stream.
    std::int64_t abandoned = 0;

    friend bool operator==(const ReleaseCounters&, const ReleaseCounters&) = default;
};

// Counts a successful request.
void addSuccess(ReleaseCounters&, Milliseconds latency);
// Counts a successful request whose latency is no evidence, since its upstream states a limit: it changes no mean.
void addSuccessWithoutLatency(ReleaseCounters&);
// Counts a request whose caller left after the given time.
void addAbandoned(ReleaseCounters&, Milliseconds waited);
// Adds the counters of another instance or release.
void add(ReleaseCounters& sum, const ReleaseCounters&);

// The requests that are counted together in ReleaseCounters.
struct ReleaseRoute {
    ServiceId service;
    std::string release;
    std::string route;
    // Empty if the router does not choose the model. Models differ in speed, so their latencies are not compared.
    ModelId model;

    friend auto operator<=>(const ReleaseRoute&, const ReleaseRoute&) = default; // NOLINT(modernize-use-nullptr): a false report on <=>
};

// Counters from which a rollout judges a release against the others.
using ReleaseEvidence = std::map<ReleaseRoute, ReleaseCounters>;

nlohmann::json workToJson(const std::map<UpstreamId, UpstreamWork>&);
nlohmann::json evidenceToJson(const ReleaseEvidence&);
// These throw std::exception if the value does not have the form of the functions above.
std::map<UpstreamId, UpstreamWork> workFrom(const nlohmann::json&);
ReleaseEvidence evidenceFrom(const nlohmann::json&);

}
