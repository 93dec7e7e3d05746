#include "edge/rollout_controller.h"

#include "adapters/log.h"
#include "adapters/wall_clock.h"
#include "core/membership/store_revision.h"

namespace skylarkhitch {

namespace {

    // Fraction of the rollout's duration after which it no longer waits for requests on the old release to finish.
    constexpr double oldReleaseWaitFraction = 0.92;
    // Delay after a write, so that the watch delivers its result before the next write.
    constexpr Milliseconds writePause { 300 };
    // Time after the start in which the heartbeats of the peers arrive: they send four a second, in a large site to this instance
    // only some of them.
    constexpr Milliseconds peerNewsTime { 1000 };

}

RolloutController::RolloutController(EventLoop& loop, StoreClient& store, std::function<void()> onChange)
    : m_loop(loop)
    , m_store(store)
    , m_onChange(std::move(onChange))
    , m_startedAt(bootNow())
{
}

void RolloutController::orderChanged(const ServiceId& service, const StoreMirror::Item& item, bool isNew)
{
    m_onChange();
    platform::DecodeError error;
    auto order = platform::decodeRolloutOrder(service.value, storeRevision(item.revision), item.value, error);
    if (!order) {
        LogLine(LogLevel::Error, "rollout_order_unreadable").with("service", service.value).with("error", error.message);
        return;
    }
    constexpr const char* events[] = { "rollout_ordered", "rollout_order_repeated", "rollout_order_outdated" };
    auto change = m_orders.readOrder({ *order, item.revision }, isNew, bootNow());
    LogLine(LogLevel::Info, events[static_cast<int>(change)]).with("service", service.value).with("target", order->target).with("ms", order->duration.count()).with("revision", order->revision).with("era", eraOf(item.revision));
}

void RolloutController::orderRemoved(const ServiceId& service, bool isLostWithCopy)
{
    m_onChange();
    LogLine(LogLevel::Info, "rollout_order_removed").with("service", service.value).with("kept_for_return", isLostWithCopy ? "yes" : "no");
    m_orders.orderMissing(service, isLostWithCopy, bootNow());
}

void RolloutController::recordChanged(const ServiceId& service, const StoreMirror::Item* item)
{
    m_onChange();
    if (!item) {
        m_orders.recordMissing(service);
        return;
    }
    platform::DecodeError error;
    auto record = platform::decodeRolloutRecord(item->value, error);
    if (!record) {
        LogLine(LogLevel::Error, "rollout_record_unreadable").with("service", service.value).with("error", error.message);
        return;
    }
    LogLine(LogLevel::Info, "rollout_stage").with("service", service.value).with("target", record->target).with("stage", stageName(record->stage)).with("order", record->orderRevision);
    m_orders.readRecord(service, { *record, item->revision });
}

void RolloutController::learn(const std::vector<RolloutNews>& news)
{
    for (const auto& it : news) {
        if (!m_orders.learn(it))
            continue;
        m_onChange();
        LogLine(LogLevel::Info, "rollout_stage_learned").with("service", it.service.value).with("target", it.target).with("stage", stageName(it.stage)).with("order", storeRevision(it.revision));
    }
}

void RolloutController::advance(const RolloutInputs& inputs, TimePoint now)
{
    for (auto& [service, rollout] : m_orders.all()) {
        if (!rollout.furthest)
            startRollout(rollout, inputs, now);
        else if (isFinal(rollout.furthest->stage) || !evaluate(rollout, inputs, now))
            restoreRecord(service, inputs);
    }
}

void RolloutController::startRollout(const Rollout& rollout, const RolloutInputs& inputs, TimePoint now)
{
    const auto& order = rollout.order();
    // Peers may know that an order which was there before this instance has a record that the store lost.
    bool mayBeKnownToPeers = !rollout.appearedAt && now - m_startedAt < peerNewsTime;
    if (!inputs.isCoordinator || mayBeKnownToPeers || !mayWrite(order.service))
        return;
    startRecordWrite(order.service, { order.revision, order.target, RolloutStage::Canary, wallNow(), {} });
}

void RolloutController::restoreRecord(const ServiceId& service, const RolloutInputs& inputs)
{
    auto record = m_orders.recordToRestore(service, m_store.era());
    if (!record || !inputs.isCoordinator || !mayWrite(service))
        return;
    LogLine(LogLevel::Info, "rollout_restored").with("service", service.value).with("target", record->target).with("stage", stageName(record->stage)).with("order", record->orderRevision);
    startRecordWrite(service, *std::move(record));
}

bool RolloutController::evaluate(Rollout& rollout, const RolloutInputs& inputs, TimePoint now)
{
    const auto& order = rollout.order();
    const auto& current = *rollout.furthest;
    auto verdict = judgeRelease(order, inputs.evidence, current.baseline, current.stage);
    if (verdict.isBad && !rollout.isSuspended) {
        rollout.isSuspended = true;
        m_onChange();
        LogLine(LogLevel::Warning, "release_bad").with("service", order.service.value).with("target", order.target).with("reason", verdict.reason).with("answers", verdict.finishedRequests);
    }
    verdict.isBad = rollout.isSuspended;
    auto sinceStart = toMilliseconds(rollout.appearedAt ? now - *rollout.appearedAt : wallNow() - current.startedAt);
    bool stopsWaiting = static_cast<double>(sinceStart.count()) > oldReleaseWaitFraction * static_cast<double>(order.duration.count());
    auto stage = nextStage(order, current, verdict, sinceStart, stopsWaiting || inputs.oldReleaseIsIdle(order));
    // Any instance that finds the release bad reverts it. The condition of the write prevents conflicts between instances.
    bool mayAdvance = inputs.isCoordinator || stage == RolloutStage::Reverted;
    if (stage == current.stage || !mayAdvance || !mayWrite(order.service))
        return false;
    LogLine(LogLevel::Info, "rollout_decision").with("service", order.service.value).with("target", order.target).with("from", stageName(current.stage)).with("to", stageName(stage)).with("ms", sinceStart.count()).with("answers", verdict.finishedRequests).with("slowness_percent", static_cast<std::int64_t>(100 * verdict.latencyRatio)).with("typical_percent", static_cast<std::int64_t>(100 * verdict.typicalRatio));
    auto next = current;
    next.stage = stage;
    if (current.stage == RolloutStage::Canary)
        next.baseline = baselineOf(order, inputs.evidence);
    startRecordWrite(order.service, std::move(next));
    return true;
}

bool RolloutController::mayWrite(const ServiceId& service) const
{
    return m_store.isReachable() && !m_pendingWrites.contains(service);
}

void RolloutController::startRecordWrite(const ServiceId& service, RolloutRecord record)
{
    m_pendingWrites.insert(service);
    spawn(m_loop, writeRecord(service, std::move(record), m_orders.recordRevision(service)), "write_rollout");
}

Awaitable<void> RolloutController::writeRecord(ServiceId service, RolloutRecord record, std::int64_t recordRevision)
{
    try {
        co_await tryToWriteRecord(service, record, recordRevision);
    } catch (const std::exception& e) {
        LogLine(LogLevel::Error, "rollout_not_written").with("service", service.value).with("stage", stageName(record.stage)).with("error", e.what());
    }
    co_await sleepFor(m_loop, writePause);
    m_pendingWrites.erase(service);
}

Awaitable<void> RolloutController::tryToWriteRecord(const ServiceId& service, const RolloutRecord& record, std::int64_t recordRevision)
{
    auto request = platform::transactionRequest(platform::rolloutTransaction(service, record, recordRevision));
    auto response = co_await m_store.call(std::move(request), "rollout");
    // After a conflict or without a response, the watch delivers the current record, and the next evaluation decides again.
    if (response.isOk()) {
        m_orders.recordWritten(service, record, response.era);
        m_onChange();
    } else
        LogLine(LogLevel::Warning, "rollout_not_written").with("service", service.value).with("stage", stageName(record.stage)).with("status", response.status);
}

std::map<ServiceId, RolloutView> RolloutController::rolloutViews() const
{
    std::map<ServiceId, RolloutView> all;
    for (const auto& [service, it] : m_orders.all()) {
        auto stage = it.furthest ? it.furthest->stage : RolloutStage::Canary;
        all[service] = { it.order().target, stage, !it.furthest || (it.isSuspended && !isFinal(stage)), it.appearedAt.value_or(TimePoint {}) };
    }
    return all;
}

}
