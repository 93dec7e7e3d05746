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

}

RolloutController::RolloutController(EventLoop& loop, StoreClient& store, std::function<void()> onChange)
    : m_loop(loop)
    , m_store(store)
    , m_onChange(std::move(onChange))
{
}

void RolloutController::orderChanged(const ServiceId& service, const StoreMirror::Item* item, bool isNew)
{
    m_onChange();
    if (!item) {
        m_orders.erase(service);
        return;
    }
    platform::DecodeError error;
    auto order = platform::decodeRolloutOrder(service.value, storeRevision(item->revision), item->value, error);
    if (!order) {
        LogLine(LogLevel::Error, "rollout_order_unreadable").with("service", service.value).with("error", error.message);
        return;
    }
    LogLine(LogLevel::Info, "rollout_ordered").with("service", service.value).with("target", order->target).with("ms", order->duration.count()).with("revision", order->revision);
    m_orders[service] = { *order, isNew ? std::optional(bootNow()) : std::nullopt, false };
}

void RolloutController::recordChanged(const ServiceId& service, const StoreMirror::Item* item)
{
    m_onChange();
    if (!item) {
        m_records.erase(service);
        return;
    }
    platform::DecodeError error;
    auto record = platform::decodeRolloutRecord(item->value, error);
    if (!record) {
        LogLine(LogLevel::Error, "rollout_record_unreadable").with("service", service.value).with("error", error.message);
        return;
    }
    LogLine(LogLevel::Info, "rollout_stage").with("service", service.value).with("target", record->target).with("stage", stageName(record->stage)).with("order", record->orderRevision);
    m_records[service] = { *record, item->revision };
}

void RolloutController::advance(const RolloutInputs& inputs, TimePoint now)
{
    for (auto& [service, order] : m_orders) {
        const auto* record = recordOf(service, order);
        if (!record)
            startRollout(service, order, inputs);
        else if (!isFinal(record->record.stage))
            evaluate(service, order, *record, inputs, now);
    }
}

const RolloutController::Record* RolloutController::recordOf(const ServiceId& service, const Order& order) const
{
    auto it = m_records.find(service);
    return it != m_records.end() && it->second.record.orderRevision == order.order.revision ? &it->second : nullptr;
}

void RolloutController::startRollout(const ServiceId& service, const Order& order, const RolloutInputs& inputs)
{
    if (!inputs.isCoordinator || !mayWrite(service))
        return;
    startRecordWrite(service, { order.order.revision, order.order.target, RolloutStage::Canary, wallNow(), {} });
}

void RolloutController::evaluate(const ServiceId& service, Order& order, const Record& record, const RolloutInputs& inputs, TimePoint now)
{
    const auto& current = record.record;
    auto verdict = judgeRelease(order.order, inputs.evidence, current.baseline, current.stage);
    if (verdict.isBad && !order.suspended) {
        order.suspended = true;
        m_onChange();
        LogLine(LogLevel::Warning, "release_bad").with("service", service.value).with("target", order.order.target).with("reason", verdict.reason).with("answers", verdict.finishedRequests);
    }
    verdict.isBad = order.suspended;
    auto sinceStart = toMilliseconds(order.appearedAt ? now - *order.appearedAt : wallNow() - current.startedAt);
    bool stopsWaiting = static_cast<double>(sinceStart.count()) > oldReleaseWaitFraction * static_cast<double>(order.order.duration.count());
    auto stage = nextStage(order.order, current, verdict, sinceStart, stopsWaiting || inputs.oldReleaseIsIdle(order.order));
    // Any instance that finds the release bad reverts it. The condition of the write prevents conflicts between instances.
    bool mayAdvance = inputs.isCoordinator || stage == RolloutStage::Reverted;
    if (stage == current.stage || !mayAdvance || !mayWrite(service))
        return;
    LogLine(LogLevel::Info, "rollout_decision").with("service", service.value).with("target", order.order.target).with("from", stageName(current.stage)).with("to", stageName(stage)).with("ms", sinceStart.count()).with("answers", verdict.finishedRequests).with("slowness_percent", static_cast<std::int64_t>(100 * verdict.latencyRatio)).with("typical_percent", static_cast<std::int64_t>(100 * verdict.typicalRatio));
    auto next = current;
    next.stage = stage;
    if (current.stage == RolloutStage::Canary)
        next.baseline = baselineOf(order.order, inputs.evidence);
    startRecordWrite(service, std::move(next));
}

bool RolloutController::mayWrite(const ServiceId& service) const
{
    return m_store.isReachable() && !m_pendingWrites.contains(service);
}

void RolloutController::startRecordWrite(const ServiceId& service, RolloutRecord record)
{
    auto it = m_records.find(service);
    m_pendingWrites.insert(service);
    spawn(m_loop, writeRecord(service, std::move(record), it == m_records.end() ? 0 : it->second.revision), "write_rollout");
}

Awaitable<void> RolloutController::writeRecord(ServiceId service, RolloutRecord record, std::int64_t recordRevision)
{
    auto request = platform::transactionRequest(platform::rolloutTransaction(service, record, recordRevision));
    auto response = co_await m_store.call(std::move(request), "rollout");
    // After a conflict or without a response, the watch delivers the current record, and the next evaluation decides again.
    if (!response.isOk())
        LogLine(LogLevel::Warning, "rollout_not_written").with("service", service.value).with("stage", stageName(record.stage)).with("status", response.status);
    co_await sleepFor(m_loop, writePause);
    m_pendingWrites.erase(service);
}

bool RolloutController::isRollingOut(const ServiceId& service) const
{
    auto order = m_orders.find(service);
    if (order == m_orders.end())
        return false;
    const auto* record = recordOf(service, order->second);
    return !record || !isFinal(record->record.stage);
}

std::map<ServiceId, RolloutView> RolloutController::rolloutViews() const
{
    std::map<ServiceId, RolloutView> all;
    for (const auto& [service, order] : m_orders) {
        const auto* record = recordOf(service, order);
        auto stage = record ? record->record.stage : RolloutStage::Canary;
        all[service] = { order.order.target, stage, !record || (order.suspended && !isFinal(stage)), order.appearedAt.value_or(TimePoint {}) };
    }
    return all;
}

}
