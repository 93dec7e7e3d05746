#include "core/membership/fleet_heartbeat.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    Json workToJson(const FleetHeartbeat& heartbeat)
    {
        Json rows = Json::array();
        for (const auto& [id, it] : heartbeat.work)
            rows.push_back(Json::array({ id.value, it.requests, it.waitingTokens }));
        return rows;
    }

    Json evidenceToJson(const FleetHeartbeat& heartbeat)
    {
        Json rows = Json::array();
        for (const auto& [key, it] : heartbeat.evidence)
            rows.push_back(Json::array({ key.service.value, key.release, key.route, key.model.value, it.done, it.failed, it.latency.count(), it.logLatencies.count, it.logLatencies.sum, it.logLatencies.squareSum, it.abandoned }));
        return rows;
    }

    Json crashesToJson(const FleetHeartbeat& heartbeat)
    {
        Json rows = Json::array();
        for (const auto& [fingerprint, n] : heartbeat.crashes)
            rows.push_back(Json::array({ fingerprint, n }));
        return rows;
    }

    Json sessionsToJson(const FleetHeartbeat& heartbeat)
    {
        Json rows = Json::array();
        for (const auto& it : heartbeat.sessions)
            rows.push_back(Json::array({ it.session, it.release, it.age.count() }));
        return rows;
    }

    // Instances of earlier versions do not send these.
    LogLatencies logLatenciesFrom(const Json& row)
    {
        return row.size() > 9 ? LogLatencies { row.at(7), row.at(8), row.at(9) } : LogLatencies {};
    }

    std::int64_t abandonedFrom(const Json& row) { return row.size() > 10 ? row.at(10).get<std::int64_t>() : 0; }

    FleetHeartbeat heartbeatFrom(const Json& json)
    {
        FleetHeartbeat heartbeat;
        heartbeat.from = { { json.at(0) }, json.at(1) };
        heartbeat.domain = { json.at(2) };
        heartbeat.addresses = { json.at(3), json.at(4) };
        heartbeat.sequence = json.at(5);
        heartbeat.ready = json.at(6);
        heartbeat.leaving = json.at(7);
        heartbeat.storeRevision = json.at(8);
        heartbeat.storeAge = Milliseconds(json.at(9).get<std::int64_t>());
        if (!json.at(10).is_null())
            heartbeat.sinceStoreUnreachable = Milliseconds(json.at(10).get<std::int64_t>());
        for (const auto& it : json.at(11))
            heartbeat.work[UpstreamId { it.at(0) }] = { it.at(1), it.at(2) };
        for (const auto& it : json.at(12))
            heartbeat.evidence[{ { it.at(0) }, it.at(1), it.at(2), { it.at(3) } }] = { it.at(4), it.at(5), Milliseconds(it.at(6).get<std::int64_t>()), logLatenciesFrom(it), abandonedFrom(it) };
        for (const auto& it : json.at(13))
            heartbeat.crashes[it.at(0)] = it.at(1);
        for (const auto& it : json.at(14))
            heartbeat.sessions.push_back({ it.at(0), it.at(1), Milliseconds(it.at(2).get<std::int64_t>()) });
        heartbeat.known = json.at(15).get<std::vector<std::string>>();
        heartbeat.storeReachable = json.at(16);
        // Instances of earlier versions do not send the rest.
        if (json.size() > 17)
            heartbeat.promptParts = promptPartNewsFrom(json.at(17));
        if (json.size() > 18)
            heartbeat.limits = statedLimitsFrom(json.at(18));
        if (json.size() > 19)
            heartbeat.rollouts = rolloutNewsFrom(json.at(19));
        if (json.size() > 20)
            heartbeat.heldBack = upstreamDeparturesFrom(json.at(20));
        if (json.size() > 21)
            heartbeat.configurationVersion = json.at(21);
        if (json.size() > 22)
            heartbeat.reachesUpstreams = json.at(22);
        return heartbeat;
    }

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

std::string encodeHeartbeat(const FleetHeartbeat& heartbeat)
{
    Json sinceUnreachable = heartbeat.sinceStoreUnreachable ? Json(heartbeat.sinceStoreUnreachable->count()) : Json();
    Json json = Json::array({ heartbeat.from.instance.value, heartbeat.from.number, heartbeat.domain.value, heartbeat.addresses.entry, heartbeat.addresses.peers, heartbeat.sequence,
        heartbeat.ready, heartbeat.leaving, heartbeat.storeRevision, heartbeat.storeAge.count(), sinceUnreachable, workToJson(heartbeat), evidenceToJson(heartbeat), crashesToJson(heartbeat),
        sessionsToJson(heartbeat), heartbeat.known, heartbeat.storeReachable, toJson(heartbeat.promptParts), toJson(heartbeat.limits), toJson(heartbeat.rollouts), toJson(heartbeat.heldBack), heartbeat.configurationVersion, heartbeat.reachesUpstreams });
    auto bytes = Json::to_cbor(json);
    return { bytes.begin(), bytes.end() };
}

std::optional<FleetHeartbeat> decodeHeartbeat(const std::string& bytes)
{
    try {
        return heartbeatFrom(Json::from_cbor(bytes));
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}
