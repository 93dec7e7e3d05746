#include "core/ledger/ledger_compaction.h"

#include "core/bounded_document.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    // Removes the charge from a record. The rest still shows that the key was used.
    LedgerRecord withoutCharge(LedgerRecord record)
    {
        if (auto* outcome = std::get_if<Outcome>(&record.entry))
            outcome->bill.reset();
        if (auto* bill = std::get_if<Bill>(&record.entry))
            *bill = { .team = bill->team };
        return record;
    }

    const Bill* billOf(const LedgerRecord& record)
    {
        if (const auto* bill = std::get_if<Bill>(&record.entry))
            return bill;
        const auto* outcome = std::get_if<Outcome>(&record.entry);
        return outcome && outcome->bill ? &*outcome->bill : nullptr;
    }

}

void addBill(Bill& sum, const Bill& bill)
{
    sum.team = bill.team;
    sum.cost += bill.cost;
    sum.inputTokens += bill.inputTokens;
    sum.outputTokens += bill.outputTokens;
}

std::string encodeTotals(const LedgerTotals& totals)
{
    Json teams = Json::array();
    for (const auto& [id, it] : totals.teams)
        teams.push_back(Json::array({ id.value, it.cost, it.inputTokens, it.outputTokens }));
    Json through = totals.compactedThrough ? Json(*totals.compactedThrough) : Json();
    std::string bytes;
    Json::to_cbor(Json::array({ through, totals.compactedUntil.time_since_epoch().count(), teams }), bytes);
    return bytes;
}

std::optional<LedgerTotals> decodeTotals(const std::string& bytes)
{
    try {
        auto json = parseCbor(bytes);
        LedgerTotals totals;
        if (!json.at(0).is_null())
            totals.compactedThrough = json.at(0).get<std::uint64_t>();
        totals.compactedUntil = TimePoint { Microseconds { json.at(1).get<std::int64_t>() } };
        for (const auto& it : json.at(2))
            totals.teams[TeamId { it.at(0) }] = { TeamId { it.at(0) }, it.at(1), it.at(2), it.at(3), {} };
        return totals;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string shardPrefix(std::uint32_t shard)
{
    return absl::StrFormat("ledger/%02d/", shard);
}

std::string totalsKey(std::uint32_t shard)
{
    return shardPrefix(shard) + "!totals";
}

std::string segmentKey(std::uint32_t shard, std::uint64_t segment)
{
    return absl::StrFormat("%s%010d", shardPrefix(shard), segment);
}

std::optional<ShardContents> decodeShard(std::uint32_t shard, std::vector<StoreItem> items)
{
    std::sort(items.begin(), items.end(), [](const auto& a, const auto& b) { return a.key < b.key; });
    ShardContents contents;
    for (auto& it : items) {
        if (it.key == totalsKey(shard)) {
            auto totals = decodeTotals(it.value);
            if (!totals)
                return std::nullopt;
            contents.totals = *std::move(totals);
            contents.totalsRevision = it.revision;
            continue;
        }
        // A key of another form is not one of the ledger's.
        std::uint64_t number = 0;
        auto prefix = shardPrefix(shard);
        if (!absl::StartsWith(it.key, prefix) || !absl::SimpleAtoi(it.key.substr(prefix.size()), &number))
            continue;
        // The totals include this segment: a compaction was interrupted before it deleted the segment, or the deletion
        // failed.
        if (contents.totals.compactedThrough && number <= *contents.totals.compactedThrough)
            continue;
        auto batches = decodeSegment(it.value);
        if (!batches)
            return std::nullopt;
        bool sealed = !batches->empty() && batches->back().seals;
        contents.segments.push_back({ number, std::move(it), *std::move(batches), sealed });
    }
    return contents;
}

bool isCompactable(const LedgerSegment& segment, const CompactionWindows& windows, TimePoint now)
{
    for (const auto& batch : segment.batches) {
        for (const auto& record : batch.records) {
            if (record.at > now - windows.compactAfter)
                return false;
        }
    }
    return segment.sealed;
}

void compactInto(CompactionPlan& plan, const LedgerSegment& segment, const CompactionWindows& windows, TimePoint now)
{
    plan.totals.compactedThrough = segment.number;
    for (const auto& batch : segment.batches) {
        for (const auto& record : batch.records) {
            plan.totals.compactedUntil = std::max(plan.totals.compactedUntil, record.at);
            if (const auto* bill = billOf(record))
                addBill(plan.totals.teams[bill->team], *bill);
            bool isPlainBill = std::holds_alternative<Bill>(record.entry) && !isBillUnderIdempotencyKey(record.key);
            if (!isPlainBill && record.at > now - windows.lookupWindow)
                plan.retained.push_back(withoutCharge(record));
        }
    }
}

}
