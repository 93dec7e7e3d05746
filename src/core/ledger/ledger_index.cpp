#include "core/ledger/ledger_index.h"

namespace skylarkhitch {

void LedgerIndex::add(const LedgerRecord& record)
{
    if (std::holds_alternative<Claim>(record.entry)) {
        m_claims[record.key] = record;
    } else if (const auto* release = std::get_if<Release>(&record.entry)) {
        m_released.insert(release->request.value);
        auto claim = m_claims.find(record.key);
        if (claim != m_claims.end() && std::get<Claim>(claim->second.entry).request == release->request)
            m_claims.erase(claim);
    } else if (const auto* outcome = std::get_if<Outcome>(&record.entry)) {
        bool isNew = m_outcomes.try_emplace(record.key, record).second;
        if (isNew && outcome->bill)
            addBill(m_totals[outcome->bill->team], *outcome->bill);
    } else if (const auto* bill = std::get_if<Bill>(&record.entry)) {
        if (m_billed.insert(record.key).second)
            addBill(m_totals[bill->team], *bill);
    } else if (const auto* pin = std::get_if<SessionPin>(&record.entry)) {
        auto [known, isNew] = m_pins.try_emplace(record.key, record);
        if (!isNew && std::get<SessionPin>(known->second.entry).generation < pin->generation)
            known->second = record;
    }
}

void LedgerIndex::clear()
{
    *this = {};
}

void LedgerIndex::begin(const LedgerTotals& totals)
{
    m_totals = totals.teams;
    m_compactedUntil = totals.compactedUntil;
}

void LedgerIndex::removeSegment(const LedgerSegment& segment, const LedgerTotals& totals)
{
    for (const auto& batch : segment.batches) {
        for (const auto& record : batch.records) {
            if (std::holds_alternative<Bill>(record.entry))
                m_billed.erase(record.key);
            else if (const auto* release = std::get_if<Release>(&record.entry))
                m_released.erase(release->request.value);
            else if (std::holds_alternative<Claim>(record.entry))
                m_claims.erase(record.key);
            else if (std::holds_alternative<Outcome>(record.entry))
                m_outcomes.erase(record.key);
            else
                m_pins.erase(record.key);
        }
    }
    m_compactedUntil = totals.compactedUntil;
}

AppendDecision LedgerIndex::decideClaim(const LedgerRecord& record, const Claim& claim) const
{
    using Kind = AppendDecision::Kind;
    if (m_released.contains(claim.request.value))
        return { Kind::Refused, ErrorKind::StoreUnavailable, {} };
    auto known = m_claims.find(record.key);
    if (known == m_claims.end())
        return {};
    const auto& winner = std::get<Claim>(known->second.entry);
    if (winner.request == claim.request)
        return { Kind::Duplicate, {}, {} };
    if (winner.bodyDigest != claim.bodyDigest)
        return { Kind::Refused, ErrorKind::IdempotencyKeyReused, known->second };
    auto outcome = m_outcomes.find(record.key);
    return { Kind::Refused, ErrorKind::CallInFlight, outcome == m_outcomes.end() ? known->second : outcome->second };
}

AppendDecision LedgerIndex::decideAppend(const LedgerRecord& record) const
{
    using Kind = AppendDecision::Kind;
    auto appendUnless = [](bool exists) { return AppendDecision { exists ? Kind::Duplicate : Kind::Append, {}, {} }; };
    if (const auto* claim = std::get_if<Claim>(&record.entry))
        return decideClaim(record, *claim);
    if (const auto* release = std::get_if<Release>(&record.entry))
        return appendUnless(m_released.contains(release->request.value));
    if (std::holds_alternative<Outcome>(record.entry))
        return appendUnless(m_outcomes.contains(record.key));
    if (std::holds_alternative<Bill>(record.entry))
        return appendUnless(record.at <= m_compactedUntil || m_billed.contains(record.key));
    auto known = m_pins.find(record.key);
    bool existingWins = known != m_pins.end() && std::get<SessionPin>(known->second.entry).generation >= std::get<SessionPin>(record.entry).generation;
    return existingWins ? AppendDecision { Kind::Duplicate, {}, known->second } : AppendDecision {};
}

}
