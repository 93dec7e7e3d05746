#include "core/membership/fleet_digest.h"

#include "core/bounded_document.h"
#include "core/hashing.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>

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

    // Unsigned integers of any size, seven bits a byte, the lowest first.
    void appendNumber(std::vector<std::uint8_t>& bytes, std::int64_t value)
    {
        auto rest = static_cast<std::uint64_t>(std::max<std::int64_t>(0, value));
        for (; rest >= 0x80; rest >>= 7)
            bytes.push_back(static_cast<std::uint8_t>(rest | 0x80));
        bytes.push_back(static_cast<std::uint8_t>(rest));
    }

    // Reads from the position on and advances it. Returns nullopt at a number that is cut off or too large.
    std::optional<std::int64_t> readNumber(const std::vector<std::uint8_t>& bytes, std::size_t& position)
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 63 && position < bytes.size(); shift += 7) {
            auto byte = bytes[position++];
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80)
                return std::min(static_cast<std::int64_t>(value), maxSum);
        }
        return std::nullopt;
    }

    // The sums name most upstreams of the site, so as JSON they took most of the time that a digest takes to decode.
    Json packedWork(const std::map<UpstreamId, UpstreamWork>& work)
    {
        std::vector<std::uint8_t> bytes;
        for (const auto& [id, it] : work) {
            appendNumber(bytes, static_cast<std::int64_t>(id.value.size()));
            bytes.insert(bytes.end(), id.value.begin(), id.value.end());
            appendNumber(bytes, it.requests);
            appendNumber(bytes, it.waitingTokens);
        }
        return Json::binary(std::move(bytes));
    }

    // What follows a row that cannot be read is ignored.
    std::map<UpstreamId, UpstreamWork> workFromPacked(const Json& json)
    {
        std::map<UpstreamId, UpstreamWork> work;
        const std::vector<std::uint8_t>& bytes = json.get_binary();
        for (std::size_t n = 0; n < bytes.size() && work.size() < maxDigestUpstreams;) {
            auto size = readNumber(bytes, n);
            if (!size || static_cast<std::uint64_t>(*size) > bytes.size() - n)
                break;
            std::string id(bytes.begin() + static_cast<std::ptrdiff_t>(n), bytes.begin() + static_cast<std::ptrdiff_t>(n) + static_cast<std::ptrdiff_t>(*size));
            n += static_cast<std::size_t>(*size);
            auto requests = readNumber(bytes, n);
            auto tokens = requests ? readNumber(bytes, n) : std::nullopt;
            if (!tokens)
                break;
            work.emplace_hint(work.end(), UpstreamId { std::move(id) }, UpstreamWork { *requests, *tokens, {}, {} });
        }
        return work;
    }

    // Signed integers as unsigned ones: 0, -1, 1, -2 and so on.
    std::int64_t zigzag(std::int64_t value) { return value >= 0 ? 2 * value : -2 * value - 1; }
    std::int64_t fromZigzag(std::int64_t value) { return value % 2 == 0 ? value / 2 : -(value / 2) - 1; }

    // Rows without ids, of the same upstreams in the same order as packedWork().
    Json packedEstimates(const std::map<UpstreamId, UpstreamWork>& work)
    {
        std::vector<std::uint8_t> bytes;
        for (const auto& [id, it] : work) {
            auto speed = encodeSpeed(it.speed);
            for (auto n : { it.committed.tokens, it.committed.variance, zigzag(speed.logSum), speed.weight })
                appendNumber(bytes, n);
        }
        return Json::binary(std::move(bytes));
    }

    bool hasEstimates(const std::map<UpstreamId, UpstreamWork>& work)
    {
        return std::any_of(work.begin(), work.end(), [](const auto& it) { return it.second.committed != MemoryCommitment {} || it.second.speed.weight > 0; });
    }

    // Upstreams whose rows cannot be read keep none.
    void readEstimates(const Json& json, std::map<UpstreamId, UpstreamWork>& work)
    {
        const std::vector<std::uint8_t>& bytes = json.get_binary();
        std::size_t position = 0;
        for (auto& [id, it] : work) {
            std::array<std::int64_t, 4> row {};
            for (auto& field : row) {
                auto n = readNumber(bytes, position);
                if (!n)
                    return;
                field = *n;
            }
            it.committed = { row[0], row[1] };
            it.speed = decodeSpeed({ fromZigzag(row[2]), row[3] });
        }
    }

    Json identitiesToJson(const std::vector<InstanceIdentity>& identities)
    {
        Json rows = Json::array();
        for (const auto& it : identities)
            rows.push_back(Json::array({ it.incarnation.instance.value, it.incarnation.number, it.domain.value, it.entryAddress, it.peerAddress, it.capacity }));
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
    auto json = Json::array({ rowsToJson(digest.rows), identitiesToJson(digest.identities), digest.sums.instances, packedWork(digest.sums.work), evidenceToJson(digest.sums.evidence), crashesToJson(digest) });
    if (hasEstimates(digest.sums.work))
        json.push_back(packedEstimates(digest.sums.work));
    return json;
}

FleetDigest fleetDigestFrom(const Json& json)
{
    FleetDigest digest;
    digest.rows = rowsFrom(json.at(0));
    for (const auto& it : json.at(1)) {
        if (digest.identities.size() < maxDigestIdentities)
            digest.identities.push_back({ { { it.at(0) }, unsignedFrom(it.at(1)) }, { it.at(2) }, it.at(3), it.at(4), countFrom(it.at(5)) });
    }
    digest.sums.instances = static_cast<std::size_t>(countFrom(json.at(2)));
    digest.sums.work = workFromPacked(json.at(3));
    digest.sums.evidence = evidenceFrom(json.at(4));
    for (const auto& row : json.at(5)) {
        auto& crashes = digest.crashes[{ row.at(0) }];
        for (std::size_t n = 1; n < row.size(); ++n)
            crashes[row.at(n).at(0)] = countFrom(row.at(n).at(1));
    }
    // Instances of earlier versions do not send the rest, and neither do those that have nothing to tell.
    if (json.size() > 6)
        readEstimates(json.at(6), digest.sums.work);
    return digest;
}

}
