#include "core/ledger_index.h"

namespace skylarkhitch {

void addTo(Bill& sum, const Bill& bill)
{
    sum.team = bill.team;
    sum.cost += bill.cost;
    sum.inputTokens += bill.inputTokens;
    sum.outputTokens += bill.outputTokens;
}

void LedgerIndex::add(const LedgerRecord& record)
{
    auto& state = m_keys[record.key];
    if (std::holds_alternative<Claim>(record.entry)) {
        state.claim = record;
    } else if (const auto* release = std::get_if<Release>(&record.entry)) {
        m_released.insert(release->request.value);
        if (state.claim && std::get<Claim>(state.claim->entry).request == release->request)
            state.claim.reset();
    } else if (const auto* outcome = std::get_if<Outcome>(&record.entry)) {
        if (!state.outcome && outcome->bill)
            addTo(m_totals[outcome->bill->team], *outcome->bill);
        if (!state.outcome)
            state.outcome = record;
    } else if (const auto* bill = std::get_if<Bill>(&record.entry)) {
        if (!state.billed)
            addTo(m_totals[bill->team], *bill);
        state.billed = true;
    } else if (const auto* pin = std::get_if<SessionPin>(&record.entry)) {
        if (!state.pin || std::get<SessionPin>(state.pin->entry).generation < pin->generation)
            state.pin = record;
    }
}

void LedgerIndex::clear()
{
    m_keys.clear();
    m_released.clear();
    m_totals.clear();
}

AppendVerdict LedgerIndex::judgeClaim(const KeyState& state, const Claim& claim) const
{
    using Kind = AppendVerdict::Kind;
    if (m_released.contains(claim.request.value))
        return { Kind::Refused, ErrorKind::StoreUnavailable, {} };
    if (!state.claim)
        return {};
    const auto& winner = std::get<Claim>(state.claim->entry);
    if (winner.request == claim.request)
        return { Kind::AlreadyThere, {}, {} };
    if (winner.bodyDigest != claim.bodyDigest)
        return { Kind::Refused, ErrorKind::IdempotencyKeyReused, state.claim };
    return { Kind::Refused, ErrorKind::CallInFlight, state.outcome ? state.outcome : state.claim };
}

AppendVerdict LedgerIndex::judge(const LedgerRecord& record) const
{
    using Kind = AppendVerdict::Kind;
    auto it = m_keys.find(record.key);
    static const KeyState empty;
    const auto& state = it == m_keys.end() ? empty : it->second;
    if (const auto* claim = std::get_if<Claim>(&record.entry))
        return judgeClaim(state, *claim);
    if (const auto* release = std::get_if<Release>(&record.entry))
        return { m_released.contains(release->request.value) ? Kind::AlreadyThere : Kind::Append, {}, {} };
    if (std::holds_alternative<Outcome>(record.entry))
        return { state.outcome ? Kind::AlreadyThere : Kind::Append, {}, {} };
    if (std::holds_alternative<Bill>(record.entry))
        return { state.billed ? Kind::AlreadyThere : Kind::Append, {}, {} };
    const auto& pin = std::get<SessionPin>(record.entry);
    if (state.pin && std::get<SessionPin>(state.pin->entry).generation >= pin.generation)
        return { Kind::AlreadyThere, {}, state.pin };
    return {};
}

}
