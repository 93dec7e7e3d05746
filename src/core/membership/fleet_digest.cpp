#include "core/membership/fleet_digest.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    // Bytes of a liveness row.
    constexpr std::size_t rowBytes = 9;
    enum RowFlag { ReadyFlag = 1,
        LeavingFlag = 2,
        ReachesUpstreamsFlag = 4,
        StoreReachableFlag = 8 };

    void append(std::vector<std::uint8_t>& bytes, std::uint32_t value, std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
            bytes.push_back(static_cast<std::uint8_t>(value >> (8 * n)));
    }

    std::uint32_t readBytes(const std::uint8_t* bytes, std::size_t count)
    {
        std::uint32_t value = 0;
        for (std::size_t n = 0; n < count; ++n)
            value |= static_cast<std::uint32_t>(bytes[n]) << (8 * n);
        return value;
    }

    Json rowsToJson(const std::vector<LivenessRow>& rows)
    {
        std::vector<std::uint8_t> bytes;
        bytes.reserve(rows.size() * rowBytes);
        for (const auto& it : rows) {
            append(bytes, it.key, 4);
            append(bytes, it.sequence, 2);
            append(bytes, it.age, 2);
            auto flags = (it.ready ? ReadyFlag : 0) | (it.leaving ? LeavingFlag : 0) | (it.reachesUpstreams ? ReachesUpstreamsFlag : 0) | (it.storeReachable ? StoreReachableFlag : 0);
            append(bytes, static_cast<std::uint32_t>(flags), 1);
        }
        return Json::binary(std::move(bytes));
    }

    std::vector<LivenessRow> rowsFrom(const Json& json)
    {
        std::vector<LivenessRow> rows;
        const auto& bytes = json.get_binary();
        for (std::size_t n = 0; n + rowBytes <= bytes.size() && rows.size() < maxDigestRows; n += rowBytes) {
            const auto* row = bytes.data() + n;
            auto flags = readBytes(row + 8, 1);
            rows.push_back({ readBytes(row, 4), static_cast<std::uint16_t>(readBytes(row + 4, 2)), static_cast<std::uint16_t>(readBytes(row + 6, 2)),
                (flags & ReadyFlag) != 0, (flags & LeavingFlag) != 0, (flags & ReachesUpstreamsFlag) != 0, (flags & StoreReachableFlag) != 0 });
        }
        return rows;
    }

    Json identitiesToJson(const std::vector<InstanceIdentity>& identities)
    {
        Json rows = Json::array();
        for (const auto& it : identities)
            rows.push_back(Json::array({ it.incarnation.instance.value, it.incarnation.number, it.domain.value, it.entryAddress, it.peerAddress }));
        return rows;
    }

    Json crashesToJson(const FleetDigest& digest)
    {
        Json rows = Json::array();
        for (const auto& [instance, crashes] : digest.crashes) {
            Json row = Json::array({ instance.value });
            for (const auto& [fingerprint, n] : crashes)
                row.push_back(Json::array({ fingerprint, n }));
            rows.push_back(std::move(row));
        }
        return rows;
    }

}

std::uint32_t incarnationKey(const Incarnation& it)
{
    return static_cast<std::uint32_t>(hashOf(it.instance.value, absl::StrCat(it.number)));
}

Json toJson(const FleetDigest& digest)
{
    return Json::array({ rowsToJson(digest.rows), identitiesToJson(digest.identities), digest.sums.instances, workToJson(digest.sums.work), evidenceToJson(digest.sums.evidence), crashesToJson(digest) });
}

FleetDigest fleetDigestFrom(const Json& json)
{
    FleetDigest digest;
    digest.rows = rowsFrom(json.at(0));
    for (const auto& it : json.at(1)) {
        if (digest.identities.size() < maxDigestIdentities)
            digest.identities.push_back({ { { it.at(0) }, it.at(1) }, { it.at(2) }, it.at(3), it.at(4) });
    }
    digest.sums.instances = json.at(2);
    digest.sums.work = workFrom(json.at(3));
    digest.sums.evidence = evidenceFrom(json.at(4));
    for (const auto& row : json.at(5)) {
        auto& crashes = digest.crashes[{ row.at(0) }];
        for (std::size_t n = 1; n < row.size(); ++n)
            crashes[row.at(n).at(0)] = row.at(n).at(1);
    }
    return digest;
}

}
