#include "edge/quarantine_keeper.h"

#include "adapters/log.h"
#include "adapters/wall_clock.h"
#include "core/limits/prompt_part_guard.h"

namespace skylarkhitch {

namespace {

    // The age of what was recorded in wall-clock time, which need not be that of this instance.
    Milliseconds ageOf(TimePoint recordedAt)
    {
        return std::clamp(toMilliseconds(wallNow() - recordedAt), Milliseconds(0), Milliseconds(PromptPartGuard::quarantineRetention));
    }

    QuarantinedParts quarantinedParts(const QuarantineRecord& record)
    {
        return { .parts = record.parts, .age = ageOf(record.startedAt), .crashes = record.crashes, .probes = record.probes, .probeAge = ageOf(record.probedAt), .trialAge = std::nullopt, .trialCrashes = record.trialCrashes };
    }

}

QuarantineKeeper::QuarantineKeeper(EventLoop& loop, StoreClient& store, EdgeMetrics& metrics, std::function<void(QuarantinedParts)> onParts)
    : m_loop(loop)
    , m_store(store)
    , m_metrics(metrics)
    , m_onParts(std::move(onParts))
{
}

void QuarantineKeeper::recordChanged(const std::string& name, const StoreMirror::Item* item)
{
    if (!item) {
        LogLine(LogLevel::Info, "quarantine_record_gone").with("name", name);
        m_records.removed(name);
        return;
    }
    platform::DecodeError error;
    auto record = platform::decodeQuarantine(name, item->value, error);
    if (!error.message.empty())
        LogLine(LogLevel::Warning, "quarantine_record_unreadable").with("name", name).with("error", error.message).with("used", record ? "yes" : "no");
    if (!record)
        return;
    bool isNew = m_records.read(name, *record, item->revision, bootNow());
    if (!isNew)
        return;
    LogLine(LogLevel::Info, "quarantine_record").with("name", name).with("crashes", record->crashes).with("probes", record->probes).with("age_ms", ageOf(record->startedAt).count());
    if (!record->isOfRequests())
        m_onParts(quarantinedParts(*record));
}

void QuarantineKeeper::setParts(std::vector<QuarantinedParts> parts, TimePoint now)
{
    m_parts = std::move(parts);
    m_partsAt = now;
}

std::vector<QuarantineRecord> QuarantineKeeper::held(TimePoint now) const
{
    std::vector<QuarantineRecord> held;
    for (const auto& [fingerprint, crashes] : m_crashes.refused())
        held.push_back({ .fingerprint = fingerprint, .crashes = crashes, .startedAt = wallNow() });
    auto wallTime = wallNow() - (now - m_partsAt);
    for (const auto& it : m_parts) {
        QuarantineRecord record { .parts = it.parts, .crashes = it.crashes, .probes = it.probes, .trialCrashes = it.trialCrashes, .startedAt = wallTime - it.age };
        if (it.probes > 0)
            record.probedAt = wallTime - it.probeAge;
        held.push_back(std::move(record));
    }
    return held;
}

void QuarantineKeeper::advance(bool isWriter, TimePoint now)
{
    m_crashes.forget(now - CrashGuard::retention);
    m_records.hold(held(now), now);
    if (!isWriter || m_isWriting || !m_store.isReachable())
        return;
    auto due = m_records.nextWrite(now);
    if (m_records.notKept() > m_loggedNotKept) {
        LogLine(LogLevel::Warning, "quarantine_not_recorded").with("cause", "too_many").with("records", static_cast<std::int64_t>(m_records.size())).with("not_kept", m_records.notKept());
        m_loggedNotKept = m_records.notKept();
    }
    if (!due)
        return;
    m_isWriting = true;
    spawn(m_loop, write(*std::move(due)), "write_quarantine");
}

Awaitable<void> QuarantineKeeper::write(Write due)
{
    bool isOk = false;
    try {
        isOk = co_await tryToWrite(due);
    } catch (const std::exception& e) {
        LogLine(LogLevel::Error, "quarantine_not_recorded").with("name", due.name).with("cause", e.what());
    }
    m_records.written(due, isOk, bootNow());
    m_isWriting = false;
}

Awaitable<bool> QuarantineKeeper::tryToWrite(const Write& due)
{
    std::int64_t lease = 0;
    if (due.record) {
        auto granted = co_await m_store.call(platform::grantLeaseRequest(due.record->lifetime()), "quarantine_lease");
        lease = granted.isOk() ? platform::decodeLease(granted.body).value_or(0) : 0;
        if (lease == 0) {
            LogLine(LogLevel::Warning, "quarantine_not_recorded").with("name", due.name).with("cause", "no_lease").with("status", granted.status);
            co_return false;
        }
    }
    auto request = platform::transactionRequest(platform::quarantineTransaction(due, lease));
    auto response = co_await m_store.call(std::move(request), "quarantine");
    // After a conflict or without a response, the watch delivers what the store holds, and the next call decides again.
    if (response.isOk())
        LogLine(LogLevel::Info, due.record ? "quarantine_recorded" : "quarantine_record_removed").with("name", due.name).with("crashes", due.record ? due.record->crashes : 0);
    else
        LogLine(LogLevel::Warning, "quarantine_not_recorded").with("name", due.name).with("cause", "not_written").with("status", response.status);
    co_return response.isOk();
}

bool QuarantineKeeper::updateRequests(TimePoint now)
{
    auto requests = m_records.requests(now);
    bool isChanged = requests != m_requests;
    m_requests = std::move(requests);
    return isChanged;
}

void QuarantineKeeper::publishMetrics() const
{
    m_metrics.setState("quarantine_records", static_cast<double>(m_records.size()));
    m_metrics.setState("quarantines_not_recorded", static_cast<double>(m_records.notKept()));
}

}
