#include "core/membership/peer_message.h"

#include "core/bounded_document.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    // Index of a message type in PeerMessage, which identifies the type in the encoding.
    template <typename Message, std::size_t index = 0>
    constexpr std::size_t tagOf()
    {
        if constexpr (std::is_same_v<Message, std::variant_alternative_t<index, PeerMessage>>)
            return index;
        else
            return tagOf<Message, index + 1>();
    }

    Json binary(const std::string& bytes) { return Json::binary({ bytes.begin(), bytes.end() }); }

    std::string bytesOf(const Json& json)
    {
        const auto& bytes = json.get_binary();
        return { bytes.begin(), bytes.end() };
    }

    LedgerRecord recordFrom(const Json& json)
    {
        auto record = decodeRecord(bytesOf(json));
        if (!record)
            throw std::invalid_argument("malformed ledger record");
        return *std::move(record);
    }

    Json timeToJson(TimePoint at) { return at.time_since_epoch().count(); }

    Json documentToJson(const ConfigurationDocument& it)
    {
        Json history = Json::array();
        for (const auto& entry : it.history)
            history.push_back(Json::array({ entry.revision, entry.editId, entry.author, timeToJson(entry.at) }));
        return Json::array({ it.revision, it.editId, it.author, timeToJson(it.at), it.text, history });
    }

    ConfigurationDocument documentFrom(const Json& json)
    {
        ConfigurationDocument document { unsignedFrom(json.at(0)), json.at(1), json.at(2), timePointFrom(json.at(3)), json.at(4), {} };
        for (const auto& it : json.at(5))
            document.history.push_back({ unsignedFrom(it.at(0)), it.at(1), it.at(2), timePointFrom(it.at(3)) });
        return document;
    }

    // Encodes the fields of each message type as an array.
    struct MessageWriter {
        Json operator()(const Heartbeat& it) const
        {
            Json upstreams = Json::array();
            for (const auto& [id, n] : it.upstreams)
                upstreams.push_back(Json::array({ id.value, n.inFlight, n.done, n.failed, n.crashed }));
            Json versions = Json::array();
            for (const auto& [id, n] : it.versions)
                versions.push_back(Json::array({ id.value, n.done, n.failed, n.rated, n.ratingThousandths }));
            Json crashes = Json::array();
            for (const auto& [fingerprint, n] : it.crashes)
                crashes.push_back(Json::array({ fingerprint, n }));
            Json demands = Json::array();
            for (const auto& demand : it.demands)
                demands.push_back(Json::array({ demand.pool, demand.rankOrder, demand.team.value, demand.requests }));
            return Json::array({ it.domain.value, it.entryAddress, it.revision, it.leaving, it.storeReachable, it.sequence,
                upstreams, versions, crashes, demands });
        }
        Json operator()(const AppendRequest& it) const { return Json::array({ it.ticket, it.shard, binary(encodeRecord(it.record)) }); }
        Json operator()(const AppendReply& it) const
        {
            return Json::array({ it.ticket, it.error, it.existing ? binary(encodeRecord(*it.existing)) : Json() });
        }
        Json operator()(const HoldRequest& it) const { return Json::array({ it.ticket, binary(encodeRecord(it.record)) }); }
        Json operator()(const HoldReply& it) const { return Json::array({ it.ticket }); }
        Json operator()(const ConfigurationPull&) const { return Json::array(); }
        Json operator()(const ConfigurationPush& it) const { return Json::array({ documentToJson(it.document) }); }
    };

    Heartbeat heartbeatFrom(const Json& json)
    {
        Heartbeat heartbeat { DomainId { json.at(0) }, json.at(1), unsignedFrom(json.at(2)), json.at(3), json.at(4), unsignedFrom(json.at(5)), {}, {}, {}, {} };
        for (const auto& it : json.at(6))
            heartbeat.upstreams[UpstreamId { it.at(0) }] = { countFrom(it.at(1)), countFrom(it.at(2)), countFrom(it.at(3)), countFrom(it.at(4)) };
        for (const auto& it : json.at(7))
            heartbeat.versions[VersionId { it.at(0) }] = { countFrom(it.at(1)), countFrom(it.at(2)), countFrom(it.at(3)), countFrom(it.at(4)) };
        for (const auto& it : json.at(8))
            heartbeat.crashes[it.at(0)] = countFrom(it.at(1));
        for (const auto& it : json.at(9))
            heartbeat.demands.push_back({ it.at(0), countFrom(it.at(1)), TeamId { it.at(2) }, countFrom(it.at(3)) });
        return heartbeat;
    }

    PeerMessage messageFrom(std::size_t tag, const Json& json)
    {
        switch (tag) {
        case tagOf<Heartbeat>():
            return heartbeatFrom(json);
        case tagOf<AppendRequest>():
            return AppendRequest { unsignedFrom(json.at(0)), static_cast<std::uint32_t>(integerFrom(json.at(1), { 0, std::numeric_limits<std::uint32_t>::max() })), recordFrom(json.at(2)) };
        case tagOf<AppendReply>(): {
            AppendReply reply { unsignedFrom(json.at(0)), static_cast<int>(integerFrom(json.at(1), { 0, std::numeric_limits<int>::max() })), {} };
            if (!json.at(2).is_null())
                reply.existing = recordFrom(json.at(2));
            return reply;
        }
        case tagOf<HoldRequest>():
            return HoldRequest { unsignedFrom(json.at(0)), recordFrom(json.at(1)) };
        case tagOf<HoldReply>():
            return HoldReply { unsignedFrom(json.at(0)) };
        case tagOf<ConfigurationPull>():
            return ConfigurationPull {};
        case tagOf<ConfigurationPush>():
            return ConfigurationPush { documentFrom(json.at(0)) };
        default:
            throw std::invalid_argument("unknown peer message tag");
        }
    }

    std::string cborOf(const Json& json)
    {
        std::string bytes;
        Json::to_cbor(json, bytes);
        return bytes;
    }

}

std::string encodeEnvelope(const PeerEnvelope& envelope)
{
    return cborOf(Json::array({ envelope.from.instance.value, envelope.from.number, envelope.message.index(),
        std::visit(MessageWriter {}, envelope.message) }));
}

std::optional<PeerEnvelope> decodeEnvelope(const std::string& bytes)
{
    try {
        auto json = parseCbor(bytes);
        Incarnation from { InstanceId { json.at(0) }, unsignedFrom(json.at(1)) };
        return PeerEnvelope { std::move(from), messageFrom(unsignedFrom(json.at(2)), json.at(3)) };
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string encodeDocument(const ConfigurationDocument& document)
{
    return cborOf(documentToJson(document));
}

std::optional<ConfigurationDocument> decodeDocument(const std::string& bytes)
{
    try {
        return documentFrom(parseCbor(bytes));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}
