#include "core/ledger/ledger_shard.h"

#include "core/check.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    // Maximum number of segments in one compaction.
    constexpr std::size_t maxCompactedSegments = 16;

    bool containsBatch(const std::vector<LedgerBatch>& batches, const std::string& id)
    {
        return std::any_of(batches.begin(), batches.end(), [&](const auto& it) { return it.id == id; });
    }

}

LedgerShard::LedgerShard(std::uint32_t shard, std::string batchPrefix, LedgerShardSettings settings, StoreCalls& store)
    : m_shard(shard)
    , m_batchPrefix(std::move(batchPrefix))
    , m_settings(settings)
    , m_store(store)
{
}

void LedgerShard::append(AppendTicket ticket, LedgerRecord record, TimePoint now, Outbox& out)
{
    QueuedRecord queued { ticket, std::move(record) };
    // Claims precede all other records, since a call is only sent after its claim was appended.
    if (std::holds_alternative<Claim>(queued.record.entry)) {
        auto it = std::find_if(m_queue.begin(), m_queue.end(), [](const auto& w) { return !std::holds_alternative<Claim>(w.record.entry); });
        m_queue.insert(it, std::move(queued));
    } else {
        m_queue.push_back(std::move(queued));
    }
    processQueue(now, out);
}

bool LedgerShard::cancelAppend(AppendTicket ticket)
{
    auto it = std::find_if(m_queue.begin(), m_queue.end(), [&](const auto& w) { return w.ticket == ticket; });
    if (it == m_queue.end())
        return false;
    m_queue.erase(it);
    return true;
}

void LedgerShard::wake(TimePoint now, Outbox& out)
{
    if (m_retryAt && now >= *m_retryAt) {
        m_retryAt.reset();
        if (m_state == State::ReadingBack)
            return readBack(now, out);
        if (m_state == State::OpeningSegment)
            return openNextSegment(now, out);
    }
    processQueue(now, out);
}

std::optional<TimePoint> LedgerShard::nextWake() const
{
    if (m_retryAt)
        return m_retryAt;
    if (m_state == State::Ready && !m_queue.empty())
        return m_lastSwap + m_settings.swapInterval;
    if (m_state == State::Ready && !m_sealed.empty())
        return m_compactionCheckedAt + m_settings.compactionPeriod;
    return std::nullopt;
}

std::vector<AppendResult> LedgerShard::takeResults()
{
    return std::exchange(m_results, {});
}

void LedgerShard::processQueue(TimePoint now, Outbox& out)
{
    if (m_retryAt)
        return;
    if (m_state == State::Ready && startCompaction(now, out))
        return;
    if (m_queue.empty())
        return;
    if (m_state == State::Unloaded)
        load(now, out);
    else if (m_state == State::Ready && now >= m_lastSwap + m_settings.swapInterval)
        swapNextBatch(now, out);
}

void LedgerShard::retryLater(State state, TimePoint now)
{
    m_state = state;
    m_retryDelay = std::clamp(m_retryDelay * 2, m_settings.firstRetryDelay, m_settings.maxRetryDelay);
    m_retryAt = now + m_retryDelay;
}

void LedgerShard::load(TimePoint, Outbox& out)
{
    m_state = State::Loading;
    m_store.send(
        { .operation = StoreOperation::List, .key = shardPrefix(m_shard), .timeout = m_settings.storeTimeout },
        [this](const StoreReply& reply, TimePoint now, Outbox& outbox) { onLoadReply(reply, now, outbox); }, out);
}

void LedgerShard::onLoadReply(const StoreReply& reply, TimePoint now, Outbox& out)
{
    if (reply.status == StoreStatus::Unavailable)
        return retryLater(State::Unloaded, now);
    m_retryDelay = {};
    m_index.clear();
    m_segment = 0;
    m_bytes.clear();
    m_revision = 0;
    auto contents = decodeShard(m_shard, reply.items);
    // A malformed segment must not be overwritten. The shard stays unloaded and returns no results until it can be read.
    if (!contents)
        return retryLater(State::Unloaded, now);
    m_compactionPlan.reset();
    m_sealed.clear();
    m_totals = contents->totals;
    m_totalsRevision = contents->totalsRevision;
    m_index.begin(m_totals);
    m_segment = m_totals.compactedThrough ? *m_totals.compactedThrough + 1 : 0;
    bool sealed = false;
    for (auto& it : contents->segments) {
        for (const auto& batch : it.batches)
            for (const auto& record : batch.records)
                m_index.add(record);
        m_segment = it.number;
        m_bytes = it.item.value;
        m_revision = it.item.revision;
        sealed = it.sealed;
        if (sealed)
            m_sealed.push_back(std::move(it));
    }
    m_state = State::Ready;
    m_indexVerifiedAt = now;
    if (sealed)
        return openNextSegment(now, out);
    processQueue(now, out);
}

void LedgerShard::composeBatch()
{
    m_batchId = absl::StrFormat("%s/%d", m_batchPrefix, ++m_batchNumber);
    LedgerBatch batch { m_batchId, {}, false };
    absl::flat_hash_set<std::string> keys;
    std::deque<QueuedRecord> later;
    for (auto& queued : m_queue) {
        // A second record with the same key waits for the next batch, so that it is checked against the first one.
        if (keys.contains(queued.record.key)) {
            later.push_back(std::move(queued));
            continue;
        }
        auto decision = m_index.decideAppend(queued.record);
        if (decision.kind != AppendDecision::Kind::Append) {
            m_results.push_back({ queued.ticket, decision.ec, std::move(decision.existing) });
            continue;
        }
        keys.insert(queued.record.key);
        batch.records.push_back(queued.record);
        m_batch.push_back(std::move(queued));
    }
    m_queue = std::move(later);
    m_nextBytes = m_bytes + encodeBatch(batch);
    m_batchSeals = m_nextBytes.size() > m_settings.segmentBytes;
    if (m_batchSeals) {
        batch.seals = true;
        m_nextBytes = m_bytes + encodeBatch(batch);
    }
}

bool LedgerShard::wouldRefuseQueued() const
{
    return std::any_of(m_queue.begin(), m_queue.end(), [&](const auto& it) {
        return m_index.decideAppend(it.record).kind == AppendDecision::Kind::Refused;
    });
}

void LedgerShard::verifyIndex(Outbox& out)
{
    m_state = State::Verifying;
    m_store.send(
        { .operation = StoreOperation::Get, .key = segmentKey(m_shard, m_segment), .timeout = m_settings.storeTimeout },
        [this](const StoreReply& reply, TimePoint now, Outbox& outbox) { onVerifyReply(reply, now, outbox); }, out);
}

void LedgerShard::onVerifyReply(const StoreReply& reply, TimePoint now, Outbox& out)
{
    if (reply.status == StoreStatus::Unavailable)
        return retryLater(State::Ready, now);
    bool same = reply.status == StoreStatus::Ok ? reply.items.front().revision == m_revision : m_revision == 0;
    if (!same)
        return load(now, out);
    m_state = State::Ready;
    m_indexVerifiedAt = now;
    processQueue(now, out);
}

void LedgerShard::swapNextBatch(TimePoint now, Outbox& out)
{
    if (now >= m_indexVerifiedAt + m_settings.maxIndexAge && wouldRefuseQueued())
        return verifyIndex(out);
    composeBatch();
    if (m_batch.empty())
        return;
    sendSwap(now, out);
}

void LedgerShard::sendSwap(TimePoint now, Outbox& out)
{
    m_state = State::Swapping;
    m_lastSwap = now;
    ++m_swaps;
    m_store.send(
        { .operation = StoreOperation::CompareAndSwap, .key = segmentKey(m_shard, m_segment), .value = m_nextBytes, .expected = m_revision, .timeout = m_settings.storeTimeout },
        [this](const StoreReply& reply, TimePoint at, Outbox& outbox) { onSwapReply(reply, at, outbox); }, out);
}

void LedgerShard::onSwapReply(const StoreReply& reply, TimePoint now, Outbox& out)
{
    if (reply.status == StoreStatus::Ok) {
        commitBatch(reply.items.front().revision, now);
        if (m_batchSeals)
            m_sealed.push_back({ m_segment, { {}, m_bytes, m_revision }, *decodeSegment(m_bytes), true });
        // The retained records are stored now, so the totals may replace the compacted segments.
        if (m_compactionPlan)
            return swapTotals(out);
        if (m_batchSeals)
            return openNextSegment(now, out);
        return processQueue(now, out);
    }
    readBack(now, out);
}

void LedgerShard::commitBatch(std::uint64_t revision, TimePoint now)
{
    m_indexVerifiedAt = now;
    m_retryDelay = {};
    m_bytes = std::move(m_nextBytes);
    m_revision = revision;
    m_state = State::Ready;
    for (auto& queued : m_batch) {
        m_index.add(queued.record);
        m_results.push_back({ queued.ticket, {}, {} });
    }
    m_batch.clear();
}

void LedgerShard::readBack(TimePoint, Outbox& out)
{
    m_state = State::ReadingBack;
    m_store.send(
        { .operation = StoreOperation::Get, .key = segmentKey(m_shard, m_segment), .timeout = m_settings.storeTimeout },
        [this](const StoreReply& reply, TimePoint now, Outbox& outbox) { onReadBackReply(reply, now, outbox); }, out);
}

void LedgerShard::onReadBackReply(const StoreReply& reply, TimePoint now, Outbox& out)
{
    if (reply.status == StoreStatus::Unavailable)
        return retryLater(State::ReadingBack, now);
    if (reply.status == StoreStatus::Ok) {
        auto batches = decodeSegment(reply.items.front().value);
        if (batches && containsBatch(*batches, m_batchId)) {
            // The swap was applied. Other writers may have appended batches since, so the shard is reloaded below.
            for (auto& queued : m_batch)
                m_results.push_back({ queued.ticket, {}, {} });
            m_batch.clear();
        }
    }
    // If the batch was not found, its swap may still be in flight, but it expects the old revision: either it is applied
    // before the next swap, which then fails and is read back, or the next swap makes it fail.
    requeueBatch();
    m_state = State::Unloaded;
    load(now, out);
}

void LedgerShard::requeueBatch()
{
    for (auto it = m_batch.rbegin(); it != m_batch.rend(); ++it)
        m_queue.push_front(std::move(*it));
    m_batch.clear();
}

bool LedgerShard::startCompaction(TimePoint now, Outbox& out)
{
    if (m_sealed.empty() || now < m_compactionCheckedAt + m_settings.compactionPeriod)
        return false;
    m_compactionCheckedAt = now;
    CompactionPlan plan { m_totals, {} };
    m_plannedSegments = 0;
    while (m_plannedSegments < std::min(maxCompactedSegments, m_sealed.size()) && isCompactable(m_sealed[m_plannedSegments], m_settings.compaction, now))
        compactInto(plan, m_sealed[m_plannedSegments++], m_settings.compaction, now);
    if (m_plannedSegments == 0)
        return false;
    m_compactionPlan = std::move(plan);
    if (m_compactionPlan->retained.empty()) {
        swapTotals(out);
        return true;
    }
    m_batchId = absl::StrFormat("%s/%d", m_batchPrefix, ++m_batchNumber);
    m_nextBytes = m_bytes + encodeBatch({ m_batchId, m_compactionPlan->retained, false });
    m_batchSeals = m_nextBytes.size() > m_settings.segmentBytes;
    if (m_batchSeals)
        m_nextBytes = m_bytes + encodeBatch({ m_batchId, m_compactionPlan->retained, true });
    sendSwap(now, out);
    return true;
}

void LedgerShard::swapTotals(Outbox& out)
{
    m_state = State::SwappingTotals;
    m_store.send(
        { .operation = StoreOperation::CompareAndSwap, .key = totalsKey(m_shard), .value = encodeTotals(m_compactionPlan->totals), .expected = m_totalsRevision, .timeout = m_settings.storeTimeout },
        [this](const StoreReply& reply, TimePoint now, Outbox& outbox) { onTotalsSwapReply(reply, now, outbox); }, out);
}

void LedgerShard::onTotalsSwapReply(const StoreReply& reply, TimePoint now, Outbox& out)
{
    if (reply.status != StoreStatus::Ok) {
        // The store has these totals, those of another writer or still the old ones; reloading shows which.
        m_state = State::Unloaded;
        return load(now, out);
    }
    m_totals = m_compactionPlan->totals;
    m_totalsRevision = reply.items.front().revision;
    for (; m_plannedSegments > 0; --m_plannedSegments) {
        m_index.removeSegment(m_sealed.front(), m_totals);
        // If the removal fails, decodeShard() skips the segment by its number.
        m_store.send(
            { .operation = StoreOperation::Remove, .key = segmentKey(m_shard, m_sealed.front().number), .timeout = m_settings.storeTimeout },
            [](const StoreReply&, TimePoint, Outbox&) {}, out);
        m_sealed.pop_front();
    }
    for (const auto& it : m_compactionPlan->retained)
        m_index.add(it);
    m_compactionPlan.reset();
    m_state = State::Ready;
    if (m_batchSeals && !m_sealed.empty() && m_sealed.back().number == m_segment)
        return openNextSegment(now, out);
    processQueue(now, out);
}

void LedgerShard::openNextSegment(TimePoint, Outbox& out)
{
    m_state = State::OpeningSegment;
    // The segment is created with an empty batch, since appending to it requires its revision.
    auto bytes = encodeBatch({ absl::StrFormat("%s/%d", m_batchPrefix, ++m_batchNumber), {}, false });
    m_store.send(
        { .operation = StoreOperation::CompareAndSwap, .key = segmentKey(m_shard, m_segment + 1), .value = std::move(bytes), .expected = 0, .timeout = m_settings.storeTimeout },
        [this](const StoreReply& reply, TimePoint now, Outbox& outbox) { onOpenReply(reply, now, outbox); }, out);
}

void LedgerShard::onOpenReply(const StoreReply& reply, TimePoint now, Outbox& out)
{
    if (reply.status == StoreStatus::Unavailable)
        return retryLater(State::OpeningSegment, now);
    m_state = State::Unloaded;
    load(now, out);
}

}
