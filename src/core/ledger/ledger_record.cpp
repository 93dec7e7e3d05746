#include "core/ledger/ledger_record.h"

#include "core/bounded_document.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    // Tags of the record kinds in the stored format. Their values must not change.
    enum class Tag { Claim = 1,
        Release = 2,
        Outcome = 3,
        Bill = 4,
        SessionPin = 5 };

    Json toJson(const Incarnation& it) { return { it.instance.value, it.number }; }

    Incarnation incarnationFrom(const Json& json)
    {
        return { InstanceId { json.at(0).get<std::string>() }, json.at(1).get<std::uint64_t>() };
    }

    // Encodes each kind of record as an array that starts with its tag.
    struct EntryWriter {
        Json operator()(const Claim& it) const { return { static_cast<int>(Tag::Claim), it.bodyDigest, toJson(it.owner), it.request.value }; }
        Json operator()(const Release& it) const { return { static_cast<int>(Tag::Release), it.request.value }; }
        Json operator()(const Outcome& it) const
        {
            return { static_cast<int>(Tag::Outcome), it.status, it.contentType, Json::binary({ it.body.begin(), it.body.end() }), it.bodyStored, it.bill ? (*this)(*it.bill) : Json() };
        }
        Json operator()(const Bill& it) const
        {
            return { static_cast<int>(Tag::Bill), it.team.value, it.cost, it.inputTokens, it.outputTokens, it.versions };
        }
        Json operator()(const SessionPin& it) const { return { static_cast<int>(Tag::SessionPin), it.version.value, it.generation }; }
    };

    Bill billFrom(const Json& json)
    {
        return { TeamId { json.at(1) }, json.at(2), json.at(3), json.at(4), json.at(5) };
    }

    LedgerEntry entryFrom(const Json& json)
    {
        switch (static_cast<Tag>(json.at(0).get<int>())) {
        case Tag::Claim:
            return Claim { json.at(1), incarnationFrom(json.at(2)), RequestId { json.at(3) } };
        case Tag::Release:
            return Release { RequestId { json.at(1) } };
        case Tag::Outcome: {
            const auto& bytes = json.at(3).get_binary();
            Outcome outcome { json.at(1), json.at(2), std::string(bytes.begin(), bytes.end()), json.at(4), {} };
            if (!json.at(5).is_null())
                outcome.bill = billFrom(json.at(5));
            return outcome;
        }
        case Tag::Bill:
            return billFrom(json);
        case Tag::SessionPin:
            return SessionPin { VersionId { json.at(1) }, json.at(2) };
        }
        throw std::invalid_argument("unknown ledger record tag");
    }

    Json toJson(const LedgerRecord& it)
    {
        return { it.key, it.at.time_since_epoch().count(), std::visit(EntryWriter {}, it.entry) };
    }

    LedgerRecord recordFrom(const Json& json)
    {
        return { json.at(0), TimePoint { Microseconds { json.at(1).get<std::int64_t>() } }, entryFrom(json.at(2)) };
    }

    LedgerBatch batchFrom(const Json& json)
    {
        LedgerBatch batch { json.at(0), {}, json.at(2) };
        for (const auto& it : json.at(1))
            batch.records.push_back(recordFrom(it));
        return batch;
    }

    std::string cborOf(const Json& json)
    {
        std::string bytes;
        Json::to_cbor(json, bytes);
        return bytes;
    }

}

std::string billKeyForRequest(const TeamId& team, const RequestId& request)
{
    return "bill/" + team.value + "/r/" + request.value;
}

std::string billKeyForIdempotencyKey(const TeamId& team, const std::string& idempotencyKey)
{
    return "bill/" + team.value + "/k/" + idempotencyKey;
}

bool isBillUnderIdempotencyKey(const std::string& key)
{
    // Neither idempotency keys nor request ids contain a slash, so the component before the last one tells the kind.
    auto last = key.rfind('/');
    return last != std::string::npos && last >= 2 && key.compare(last - 2, 2, "/k") == 0;
}

std::string encodeBatch(const LedgerBatch& batch)
{
    Json records = Json::array();
    for (const auto& it : batch.records)
        records.push_back(toJson(it));
    return cborOf({ batch.id, records, batch.seals });
}

std::optional<std::vector<LedgerBatch>> decodeSegment(const std::string& bytes)
{
    std::vector<LedgerBatch> batches;
    std::istringstream in(bytes);
    try {
        checkCborSequence(bytes);
        while (in.peek() != std::char_traits<char>::eof())
            batches.push_back(batchFrom(Json::from_cbor(in, false)));
    } catch (const std::exception&) {
        return std::nullopt;
    }
    return batches;
}

std::string encodeRecord(const LedgerRecord& record)
{
    return cborOf(toJson(record));
}

std::optional<LedgerRecord> decodeRecord(const std::string& bytes)
{
    try {
        return recordFrom(parseCbor(bytes));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}
