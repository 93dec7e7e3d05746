#include "core/rollout/rollout_orders.h"

#include "core/membership/store_revision.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    bool haveSameContents(const RolloutOrder& a, const RolloutOrder& b) { return a.target == b.target && a.duration == b.duration; }

    bool isOf(const RolloutRecord& record, const RolloutOrder& order) { return record.orderRevision == order.revision && record.target == order.target; }

    // Whether a rollout in stage `from` may be found in stage `to` later. A final stage is left for the other one only by what the
    // store holds.
    bool isLater(RolloutStage from, RolloutStage to) { return !isFinal(from) && to > from; }

}

RolloutOrders::OrderChange RolloutOrders::readOrder(const StoredOrder& read, bool isNew, TimePoint now)
{
    const auto& service = read.order.service;
    auto era = eraOf(read.revision);
    auto it = m_rollouts.find(service);
    if (it != m_rollouts.end() && isRepetition(it->second, read, now)) {
        auto& rollout = it->second;
        // An order at the revision that is known already comes from the copy; the operator may still write it again.
        if (read.order.revision != rollout.order().revision) {
            rollout.writtenEra = era;
            rollout.returnSeenAt.reset();
        } else if (era > eraOf(rollout.stored.revision))
            rollout.returnSeenAt = now;
        rollout.stored = read;
        if (rollout.furthest)
            rollout.furthest->orderRevision = read.order.revision;
        if (const auto* record = storedRecordOf(read.order))
            advance(rollout, *record);
        return OrderChange::Repeated;
    }
    if (wasReplaced(read))
        return OrderChange::Outdated;
    if (it != m_rollouts.end())
        rememberReplaced(it->second.stored);
    Rollout rollout { .stored = read, .writtenEra = era, .appearedAt = isNew ? std::optional(now) : std::nullopt };
    if (const auto* record = storedRecordOf(read.order))
        rollout.furthest = *record;
    m_rollouts[service] = std::move(rollout);
    return OrderChange::New;
}

bool RolloutOrders::isRepetition(const Rollout& rollout, const StoredOrder& read, TimePoint now)
{
    if (eraOf(read.revision) <= rollout.writtenEra || !haveSameContents(read.order, rollout.order()))
        return false;
    return read.order.revision == rollout.order().revision || now - rollout.returnSeenAt.value_or(now) <= repetitionTime;
}

const RolloutRecord* RolloutOrders::storedRecordOf(const RolloutOrder& order) const
{
    auto it = m_records.find(order.service);
    return it != m_records.end() && isOf(it->second.record, order) ? &it->second.record : nullptr;
}

void RolloutOrders::rememberReplaced(const StoredOrder& order)
{
    auto& replaced = m_replaced[order.order.service];
    replaced.push_back(order);
    if (replaced.size() > maxReplaced)
        replaced.erase(replaced.begin());
}

bool RolloutOrders::wasReplaced(const StoredOrder& read) const
{
    auto it = m_replaced.find(read.order.service);
    return it != m_replaced.end() && std::any_of(it->second.begin(), it->second.end(), [&](const StoredOrder& earlier) {
        return eraOf(read.revision) > eraOf(earlier.revision) && read.order.revision == earlier.order.revision && haveSameContents(read.order, earlier.order);
    });
}

void RolloutOrders::orderMissing(const ServiceId& service, bool isLostWithCopy, TimePoint now)
{
    auto it = m_rollouts.find(service);
    if (it == m_rollouts.end())
        return;
    if (isLostWithCopy) {
        it->second.returnSeenAt = now;
        return;
    }
    rememberReplaced(it->second.stored);
    m_rollouts.erase(it);
}

void RolloutOrders::readRecord(const ServiceId& service, const StoredRecord& read)
{
    m_records[service] = read;
    auto it = m_rollouts.find(service);
    if (it == m_rollouts.end() || !isOf(read.record, it->second.order()))
        return;
    // Two instances may have ended the rollout differently; what the store holds decides.
    if (it->second.furthest && isFinal(it->second.furthest->stage) && isFinal(read.record.stage))
        it->second.furthest = read.record;
    advance(it->second, read.record);
}

void RolloutOrders::recordWritten(const ServiceId& service, const RolloutRecord& record, std::int64_t era)
{
    auto it = m_rollouts.find(service);
    if (it == m_rollouts.end() || !isOf(record, it->second.order()))
        return;
    advance(it->second, record);
    it->second.confirmed = record;
    it->second.confirmedEra = era;
}

bool RolloutOrders::learn(const RolloutNews& news)
{
    auto it = m_rollouts.find(news.service);
    if (it == m_rollouts.end() || it->second.stored.revision != news.revision || it->second.order().target != news.target)
        return false;
    auto& furthest = it->second.furthest;
    if (furthest && !isLater(furthest->stage, news.stage))
        return false;
    auto baseline = furthest ? furthest->baseline : ReleaseEvidence {};
    furthest = RolloutRecord { it->second.order().revision, news.target, news.stage, news.startedAt, std::move(baseline) };
    return true;
}

void RolloutOrders::advance(Rollout& rollout, const RolloutRecord& record)
{
    if (!rollout.furthest || isLater(rollout.furthest->stage, record.stage))
        rollout.furthest = record;
}

std::int64_t RolloutOrders::recordRevision(const ServiceId& service) const
{
    auto it = m_records.find(service);
    return it == m_records.end() ? 0 : it->second.revision;
}

std::optional<RolloutRecord> RolloutOrders::recordToRestore(const ServiceId& service, std::int64_t era) const
{
    auto it = m_rollouts.find(service);
    if (it == m_rollouts.end() || !it->second.furthest)
        return std::nullopt;
    const auto& rollout = it->second;
    bool isConfirmed = rollout.confirmed && rollout.confirmedEra == era && isOf(*rollout.confirmed, rollout.order()) && rollout.confirmed->stage == rollout.furthest->stage;
    const auto* stored = storedRecordOf(rollout.order());
    bool isStored = stored && !isLater(stored->stage, rollout.furthest->stage);
    return isConfirmed || isStored ? std::nullopt : std::optional(*rollout.furthest);
}

bool RolloutOrders::isUnderWay(const ServiceId& service) const
{
    auto it = m_rollouts.find(service);
    return it != m_rollouts.end() && (!it->second.furthest || !isFinal(it->second.furthest->stage));
}

std::vector<RolloutNews> RolloutOrders::news() const
{
    std::vector<RolloutNews> news;
    for (const auto& [service, it] : m_rollouts) {
        if (it.furthest)
            news.push_back({ service, it.order().target, it.stored.revision, it.furthest->stage, it.furthest->startedAt });
    }
    return news;
}

}
