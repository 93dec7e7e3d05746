#include "core/limits/quarantine_records.h"

#include "core/hashing.h"
#include "core/limits/crash_guard.h"
#include "core/limits/prompt_part_guard.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace skylarkhitch {

std::string QuarantineRecord::name() const
{
    return isOfRequests() ? absl::StrCat("request/", fingerprint) : absl::StrCat("parts/", absl::Hex(hashOf(absl::StrJoin(parts, ","))));
}

Seconds QuarantineRecord::lifetime() const { return isOfRequests() ? CrashGuard::retention : PromptPartGuard::quarantineRetention; }

bool QuarantineRecords::read(const std::string& name, const QuarantineRecord& record, std::int64_t revision, TimePoint now)
{
    auto [it, isAdded] = m_stored.try_emplace(name, Stored { record, revision, now });
    it->second.revision = revision;
    m_settling.erase(name);
    if (isAdded)
        return true;
    if (it->second.record == record)
        return false;
    it->second.record = record;
    it->second.readAt = now;
    return true;
}

void QuarantineRecords::hold(std::vector<QuarantineRecord> held, TimePoint now)
{
    m_held.clear();
    for (auto& it : held) {
        auto name = it.name();
        m_heldAt[name] = now;
        m_held.emplace(std::move(name), std::move(it));
    }
    std::erase_if(m_heldAt, [&](const auto& it) { return it.second < now - heldMemory; });
    std::erase_if(m_settling, [&](const auto& it) { return it.second < now - visibleTime; });
    std::erase_if(m_skipped, [&](const auto& it) { return !m_held.contains(it); });
}

bool QuarantineRecords::isFull(bool isOfRequests) const
{
    auto n = std::count_if(m_stored.begin(), m_stored.end(), [&](const auto& it) { return it.second.record.isOfRequests() == isOfRequests; });
    return static_cast<std::size_t>(n) + m_settling.size() >= maxRecords;
}

bool QuarantineRecords::isSettling(const std::string& name, TimePoint now) const
{
    auto it = m_settling.find(name);
    return it != m_settling.end() && now < it->second + visibleTime;
}

bool QuarantineRecords::isOutdated(const QuarantineRecord& stored, const QuarantineRecord& held)
{
    return held.probes > stored.probes || held.trialCrashes > stored.trialCrashes;
}

std::optional<QuarantineRecords::Write> QuarantineRecords::nextWrite(TimePoint now)
{
    if (now < m_nextWriteAt)
        return std::nullopt;
    for (const auto& [name, it] : m_stored) {
        bool hasEnded = m_heldAt.contains(name) && !m_held.contains(name);
        if (hasEnded && !isSettling(name, now))
            return Write { name, std::nullopt, it.revision };
    }
    for (const auto& [name, it] : m_held) {
        auto stored = m_stored.find(name);
        bool isKept = stored != m_stored.end() && !isOutdated(stored->second.record, it);
        if (isKept || isSettling(name, now))
            continue;
        if (stored == m_stored.end() && isTooLarge(it)) {
            m_notKept += m_skipped.insert(name).second ? 1 : 0;
            continue;
        }
        return Write { name, it, stored == m_stored.end() ? 0 : stored->second.revision };
    }
    return std::nullopt;
}

void QuarantineRecords::written(const Write& write, bool isOk, TimePoint now)
{
    m_nextWriteAt = now + (isOk ? writePeriod : retryPause);
    if (isOk)
        m_settling[write.name] = now;
}

std::set<std::string> QuarantineRecords::requests(TimePoint now) const
{
    std::set<std::string> fingerprints;
    for (const auto& [name, it] : m_stored) {
        if (it.record.isOfRequests() && now < it.readAt + it.record.lifetime())
            fingerprints.insert(it.record.fingerprint);
    }
    return fingerprints;
}

}
