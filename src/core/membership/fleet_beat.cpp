#include "core/membership/fleet_beat.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    Json workToJson(const FleetBeat& beat)
    {
        Json rows = Json::array();
        for (const auto& [id, it] : beat.work)
            rows.push_back(Json::array({ id.value, it.requests, it.waitingTokens }));
        return rows;
    }

    Json evidenceToJson(const FleetBeat& beat)
    {
        Json rows = Json::array();
        for (const auto& [key, it] : beat.evidence)
            rows.push_back(Json::array({ key.service.value, key.release, key.route, key.model.value, it.done, it.failed, it.latency.count() }));
        return rows;
    }

    Json crashesToJson(const FleetBeat& beat)
    {
        Json rows = Json::array();
        for (const auto& [fingerprint, n] : beat.crashes)
            rows.push_back(Json::array({ fingerprint, n }));
        return rows;
    }

    Json sessionsToJson(const FleetBeat& beat)
    {
        Json rows = Json::array();
        for (const auto& it : beat.sessions)
            rows.push_back(Json::array({ it.session, it.release, it.age.count() }));
        return rows;
    }

    FleetBeat beatFrom(const Json& json)
    {
        FleetBeat beat;
        beat.from = { { json.at(0) }, json.at(1) };
        beat.domain = { json.at(2) };
        beat.addresses = { json.at(3), json.at(4) };
        beat.sequence = json.at(5);
        beat.ready = json.at(6);
        beat.leaving = json.at(7);
        beat.storeRevision = json.at(8);
        beat.storeAge = Milliseconds(json.at(9).get<std::int64_t>());
        if (!json.at(10).is_null())
            beat.sinceStoreAway = Milliseconds(json.at(10).get<std::int64_t>());
        for (const auto& it : json.at(11))
            beat.work[UpstreamId { it.at(0) }] = { it.at(1), it.at(2) };
        for (const auto& it : json.at(12))
            beat.evidence[{ { it.at(0) }, it.at(1), it.at(2), { it.at(3) } }] = { it.at(4), it.at(5), Milliseconds(it.at(6).get<std::int64_t>()) };
        for (const auto& it : json.at(13))
            beat.crashes[it.at(0)] = it.at(1);
        for (const auto& it : json.at(14))
            beat.sessions.push_back({ it.at(0), it.at(1), Milliseconds(it.at(2).get<std::int64_t>()) });
        beat.known = json.at(15).get<std::vector<std::string>>();
        beat.hasStore = json.at(16);
        return beat;
    }

}

std::string encodeBeat(const FleetBeat& beat)
{
    Json away = beat.sinceStoreAway ? Json(beat.sinceStoreAway->count()) : Json();
    Json json = Json::array({ beat.from.instance.value, beat.from.number, beat.domain.value, beat.addresses.entry, beat.addresses.peers, beat.sequence,
        beat.ready, beat.leaving, beat.storeRevision, beat.storeAge.count(), away, workToJson(beat), evidenceToJson(beat), crashesToJson(beat),
        sessionsToJson(beat), beat.known, beat.hasStore });
    auto bytes = Json::to_cbor(json);
    return { bytes.begin(), bytes.end() };
}

std::optional<FleetBeat> decodeBeat(const std::string& bytes)
{
    try {
        return beatFrom(Json::from_cbor(bytes));
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}
