#include "core/membership/fleet_heartbeat.h"

#include "core/bounded_document.h"
#include "core/membership/store_revision.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

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

    FleetHeartbeat heartbeatFrom(const Json& json)
    {
        FleetHeartbeat heartbeat;
        heartbeat.from = { { json.at(0) }, unsignedFrom(json.at(1)) };
        heartbeat.domain = { json.at(2) };
        heartbeat.addresses = { json.at(3), json.at(4) };
        heartbeat.sequence = unsignedFrom(json.at(5));
        heartbeat.ready = json.at(6);
        heartbeat.leaving = json.at(7);
        heartbeat.storeRevision = clampedIntegerFrom(json.at(8), { 0, maxRevision });
        heartbeat.storeAge = ageFrom(json.at(9), Milliseconds(-1));
        if (!json.at(10).is_null())
            heartbeat.sinceStoreUnreachable = ageFrom(json.at(10));
        heartbeat.work = workFrom(json.at(11));
        heartbeat.evidence = evidenceFrom(json.at(12));
        for (const auto& it : json.at(13))
            heartbeat.crashes[it.at(0)] = countFrom(it.at(1));
        for (const auto& it : json.at(14))
            heartbeat.sessions.push_back({ unsignedFrom(it.at(0)), it.at(1), ageFrom(it.at(2)) });
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
            heartbeat.configurationVersion = countFrom(json.at(21));
        if (json.size() > 22)
            heartbeat.reachesUpstreams = json.at(22);
        if (json.size() > 23) {
            heartbeat.readsDigests = true;
            heartbeat.asksForDigest = json.at(23).at(0);
            if (!json.at(23).at(1).is_null())
                heartbeat.digest = fleetDigestFrom(json.at(23).at(1));
            heartbeat.capacity = countFrom(json.at(23).at(2));
            if (json.at(23).size() > 3)
                heartbeat.evacuations = keptEvacuationsFrom(json.at(23).at(3));
            if (json.at(23).size() > 4)
                heartbeat.promptHoldings = promptHoldingsFrom(json.at(23).at(4));
        }
        return heartbeat;
    }

}

std::string encodeHeartbeat(const FleetHeartbeat& heartbeat)
{
    Json sinceUnreachable = heartbeat.sinceStoreUnreachable ? Json(heartbeat.sinceStoreUnreachable->count()) : Json();
    Json json = Json::array({ heartbeat.from.instance.value, heartbeat.from.number, heartbeat.domain.value, heartbeat.addresses.entry, heartbeat.addresses.peers, heartbeat.sequence,
        heartbeat.ready, heartbeat.leaving, heartbeat.storeRevision, heartbeat.storeAge.count(), sinceUnreachable, workToJson(heartbeat.work), evidenceToJson(heartbeat.evidence), crashesToJson(heartbeat),
        sessionsToJson(heartbeat), heartbeat.known, heartbeat.storeReachable, toJson(heartbeat.promptParts), toJson(heartbeat.limits), toJson(heartbeat.rollouts), toJson(heartbeat.heldBack), heartbeat.configurationVersion, heartbeat.reachesUpstreams });
    if (heartbeat.readsDigests)
        json.push_back(Json::array({ heartbeat.asksForDigest, heartbeat.digest ? toJson(*heartbeat.digest) : Json(), heartbeat.capacity, toJson(heartbeat.evacuations), toJson(heartbeat.promptHoldings) }));
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<FleetHeartbeat> decodeHeartbeat(const std::string& bytes)
{
    try {
        return heartbeatFrom(parseCbor(bytes));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}
