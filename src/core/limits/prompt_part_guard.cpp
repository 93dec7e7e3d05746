#include "core/limits/prompt_part_guard.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    // Connections to a process that are lost within this time are lost by one crash.
    constexpr Milliseconds crashSpread { 1000 };
    // How long peers are told that a process was found running, and of crashes that a quarantined part explains.
    constexpr Seconds settledCrashNewsTime { 10 };
    // Differences that the transmission of an age causes. Without a margin, two instances would make a time later and later by
    // telling it each other.
    constexpr Milliseconds ageTolerance { 100 };
    constexpr std::size_t maxRequestsPerCrash = 2;
    constexpr std::size_t maxPartsPerRequest = 64;
    constexpr std::size_t maxPartBytes = 32;

    // Keeps the elements that come first in the order.
    template <typename Element, typename Order>
    void keepFirst(std::vector<Element>& elements, std::size_t count, Order order)
    {
        if (elements.size() <= count)
            return;
        std::nth_element(elements.begin(), elements.begin() + static_cast<std::ptrdiff_t>(count), elements.end(), order);
        elements.resize(count);
    }

    Milliseconds ageOf(TimePoint at, TimePoint now) { return std::max(Milliseconds(0), toMilliseconds(now - at)); }

}

std::vector<std::string> sharedParts(const RoutedRequest& request)
{
    std::vector<std::string> parts;
    for (std::size_t n = 0; n < std::min(maxPartsPerRequest, sharedPartCount(request)); ++n) {
        const auto& id = request.promptParts[n].id;
        parts.push_back(id.size() <= maxPartBytes ? id : absl::StrCat(absl::Hex(hashOf(id))));
    }
    return parts;
}

PromptPartGuard::Crash& PromptPartGuard::crashOf(const std::string& process, TimePoint lostAt)
{
    auto& crash = m_crashes.try_emplace(process, Crash { .at = lostAt }).first->second;
    bool isAnother = lostAt > crash.at + crashSpread || (!isCrash(crash) && lostAt > *crash.runningAt);
    if (isAnother)
        crash = { .at = lostAt };
    crash.at = std::min(crash.at, lostAt);
    return crash;
}

void PromptPartGuard::addPart(Crash& crash, const std::string& part)
{
    if (crash.parts.size() >= maxPartsPerCrash && !crash.parts.contains(part)) {
        ++m_dropped;
        return;
    }
    crash.parts.insert(part);
}

void PromptPartGuard::recordLost(const LostRequest& request, TimePoint now)
{
    auto known = m_crashes.find(request.process);
    // Sent to a process that had crashed already.
    if (known != m_crashes.end() && isCrash(known->second) && request.sentAt > known->second.at && now <= known->second.at + crashSpread)
        return;
    auto& crash = crashOf(request.process, now);
    if (crash.requests.size() < maxRequestsPerCrash)
        crash.requests.insert(hashOf(request.id.value));
    for (const auto& it : request.parts)
        addPart(crash, it);
    m_isUrgent = true;
    m_unevaluated.insert(request.process);
    limitSizes();
}

void PromptPartGuard::recordRunning(const std::string& process, TimePoint runningAt)
{
    auto it = m_crashes.find(process);
    if (it == m_crashes.end())
        return;
    auto& known = it->second.runningAt;
    known = std::max(known.value_or(runningAt), runningAt);
}

void PromptPartGuard::recordServed(const std::vector<std::string>& parts, TimePoint now)
{
    for (const auto& it : parts)
        markServed(it, now);
    limitSizes();
}

void PromptPartGuard::markServed(const std::string& part, TimePoint at)
{
    auto& servedAt = m_servedAt.try_emplace(part, at).first->second;
    servedAt = std::max(servedAt, at);
    auto quarantine = m_quarantined.find(part);
    if (quarantine == m_quarantined.end())
        return;
    // A part that was served before its quarantine needs more crashes, which may not have been known here or at the peer.
    if (quarantine->second.since < at || quarantine->second.crashes < static_cast<std::int64_t>(crashesOfServedPart))
        release(part);
}

PromptPartGuard::Verdict PromptPartGuard::decide(const std::vector<std::string>& parts, bool mayProbe, TimePoint now)
{
    const auto* part = quarantinedPart(parts);
    if (!part)
        return Verdict::Allowed;
    auto& quarantine = m_quarantined.at(*part);
    quarantine.lastRequestAt = now;
    auto delay = firstProbeDelay;
    for (std::int64_t n = 0; n < quarantine.probes && delay < quarantineRetention; ++n)
        delay *= probeDelayFactor;
    if (!mayProbe || now < std::max(quarantine.since, quarantine.lastProbeAt) + delay)
        return Verdict::Refused;
    ++quarantine.probes;
    quarantine.lastProbeAt = now;
    m_isUrgent = true;
    m_events.push_back({ PromptPartEvent::Kind::Probed, *part, quarantine.crashes, {} });
    return Verdict::Probe;
}

const std::string* PromptPartGuard::quarantinedPart(const std::vector<std::string>& parts) const
{
    if (m_quarantined.empty())
        return nullptr;
    auto it = std::find_if(parts.begin(), parts.end(), [&](const auto& part) { return m_quarantined.contains(part); });
    return it == parts.end() ? nullptr : &*it;
}

std::int64_t PromptPartGuard::crashesOf(const std::string& part) const
{
    auto it = m_quarantined.find(part);
    return it == m_quarantined.end() ? 0 : it->second.crashes;
}

bool PromptPartGuard::isSuspected(const std::vector<std::string>& parts) const
{
    if (m_crashes.empty())
        return false;
    return std::any_of(parts.begin(), parts.end(), [&](const auto& it) { return !m_servedAt.contains(it) && !crashesWith(it).empty(); });
}

bool PromptPartGuard::isRetryUnsafe(const std::vector<std::string>& parts) const
{
    return std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
        if (m_quarantined.contains(part))
            return true;
        if (m_servedAt.contains(part))
            return false;
        auto crashes = crashesWith(part);
        return countCauses(crashes) > 1 || std::any_of(crashes.begin(), crashes.end(), [](const auto* it) { return isConfirmed(it->second); });
    });
}

bool PromptPartGuard::lostConnections(const std::string& process) const
{
    auto it = m_crashes.find(process);
    return it != m_crashes.end() && isCrash(it->second);
}

bool PromptPartGuard::isExplained(const Crash& crash) const
{
    return !m_quarantined.empty() && std::any_of(crash.parts.begin(), crash.parts.end(), [&](const auto& it) { return m_quarantined.contains(it); });
}

bool PromptPartGuard::wasServedSince(const std::string& part, TimePoint time) const
{
    auto it = m_servedAt.find(part);
    return it != m_servedAt.end() && it->second > time;
}

std::vector<const PromptPartGuard::Crashes::value_type*> PromptPartGuard::crashesWith(const std::string& part) const
{
    std::vector<const Crashes::value_type*> crashes;
    for (const auto& it : m_crashes) {
        if (isCrash(it.second) && it.second.parts.contains(part) && !wasServedSince(part, it.second.at) && !isExplained(it.second))
            crashes.push_back(&it);
    }
    return crashes;
}

std::size_t PromptPartGuard::countCauses(const std::vector<const Crashes::value_type*>& crashes)
{
    std::multiset<TimePoint> times;
    for (const auto* it : crashes)
        times.insert(it->second.at);
    std::size_t causes = 0;
    std::optional<TimePoint> last;
    for (auto it : times) {
        if (last && it < *last + commonCauseTime)
            continue;
        ++causes;
        last = it;
    }
    return causes;
}

bool PromptPartGuard::isOnlySuspect(const std::string& part, const std::vector<const Crashes::value_type*>& crashes) const
{
    const auto& others = crashes.front()->second.parts;
    return std::none_of(others.begin(), others.end(), [&](const auto& other) {
        return other != part && !m_servedAt.contains(other) && std::all_of(crashes.begin(), crashes.end(), [&](const auto* it) { return it->second.parts.contains(other); });
    });
}

void PromptPartGuard::evaluate(TimePoint now)
{
    std::vector<std::string> processes;
    std::erase_if(m_unevaluated, [&](const auto& it) {
        auto crash = m_crashes.find(it);
        if (crash != m_crashes.end() && now < crash->second.at + evaluationDelay)
            return false;
        processes.push_back(it);
        return true;
    });
    if (processes.empty())
        return;
    for (const auto& it : findCrashingParts(processes))
        quarantine(it, now);
    releaseExplained(now);
}

std::vector<std::string> PromptPartGuard::findCrashingParts(const std::vector<std::string>& processes) const
{
    std::set<std::string> suspects;
    for (const auto& it : processes) {
        auto crash = m_crashes.find(it);
        if (crash != m_crashes.end() && isCrash(crash->second) && !isExplained(crash->second))
            suspects.insert(crash->second.parts.begin(), crash->second.parts.end());
    }
    std::vector<std::string> crashing;
    std::size_t mostCauses = 0;
    for (const auto& it : suspects) {
        auto crashes = crashesWith(it);
        auto causes = countCauses(crashes);
        auto needed = crashesOfSuspect;
        if (m_servedAt.contains(it))
            needed = crashesOfServedPart;
        else if (causes >= crashesOfOnlySuspect && isOnlySuspect(it, crashes))
            needed = crashesOfOnlySuspect;
        if (causes < needed || causes < mostCauses)
            continue;
        if (causes > mostCauses)
            crashing.clear();
        mostCauses = causes;
        crashing.push_back(it);
    }
    return crashing;
}

void PromptPartGuard::quarantine(const std::string& part, TimePoint now)
{
    PromptPartEvent event { PromptPartEvent::Kind::Quarantined, part, 0, {} };
    for (const auto& [process, crash] : m_crashes) {
        if (isCrash(crash) && crash.parts.contains(part))
            event.processes.push_back(process);
    }
    event.crashes = static_cast<std::int64_t>(event.processes.size());
    m_quarantined[part] = { .since = now, .lastRequestAt = now, .crashes = event.crashes };
    m_events.push_back(std::move(event));
    m_isUrgent = true;
}

bool PromptPartGuard::isExplainedBy(const std::string& part, const std::string& other) const
{
    std::size_t ofPart = 0, ofBoth = 0, ofOther = 0;
    for (const auto& [process, crash] : m_crashes) {
        if (!isCrash(crash))
            continue;
        bool hasPart = crash.parts.contains(part), hasOther = crash.parts.contains(other);
        ofPart += hasPart ? 1 : 0;
        ofOther += hasOther ? 1 : 0;
        ofBoth += hasPart && hasOther ? 1 : 0;
    }
    return ofPart > 0 && ofPart == ofBoth && ofOther > ofPart;
}

void PromptPartGuard::releaseExplained(TimePoint now)
{
    std::vector<std::string> quarantined, explained;
    for (const auto& [part, it] : m_quarantined)
        quarantined.push_back(part);
    for (const auto& part : quarantined) {
        if (std::any_of(quarantined.begin(), quarantined.end(), [&](const auto& other) { return isExplainedBy(part, other); }))
            explained.push_back(part);
    }
    // Counts as served, so that peers release the part too.
    for (const auto& it : explained)
        markServed(it, now);
}

void PromptPartGuard::release(const std::string& part)
{
    m_events.push_back({ PromptPartEvent::Kind::Released, part, crashesOf(part), {} });
    m_quarantined.erase(part);
    m_isUrgent = true;
}

void PromptPartGuard::learn(const PromptPartNews& news, TimePoint now)
{
    for (const auto& it : news.served) {
        auto at = now - it.age;
        if (!wasServedSince(it.part, at - ageTolerance))
            markServed(it.part, at);
    }
    for (const auto& it : news.quarantined)
        learnQuarantine(it, now);
    for (const auto& it : news.crashes)
        learnCrash(it, now);
    evaluate(now);
    limitSizes();
}

void PromptPartGuard::learnCrash(const SuspectedCrash& news, TimePoint now)
{
    auto at = now - news.age;
    auto known = m_crashes.find(news.process);
    bool isOld = at < now - evidenceRetention || (known != m_crashes.end() && at < known->second.at - crashSpread);
    if (isOld)
        return;
    auto& crash = crashOf(news.process, at);
    auto knownCount = crash.parts.size() + crash.requests.size();
    for (const auto& it : news.parts)
        addPart(crash, it);
    for (auto it : news.requests) {
        if (crash.requests.size() < maxRequestsPerCrash)
            crash.requests.insert(it);
    }
    if (news.runningAge)
        recordRunning(news.process, now - *news.runningAge);
    if (crash.parts.size() + crash.requests.size() == knownCount)
        return;
    // Peers learn at once what this instance adds: that a part was served, for example.
    m_isUrgent = true;
    m_unevaluated.insert(news.process);
}

void PromptPartGuard::learnQuarantine(const QuarantinedPart& news, TimePoint now)
{
    auto since = now - news.age, lastRequestAt = now - news.idle;
    bool isPremature = m_servedAt.contains(news.part) && news.crashes < static_cast<std::int64_t>(crashesOfServedPart);
    if (isPremature || wasServedSince(news.part, since) || lastRequestAt < now - quarantineRetention)
        return;
    auto [it, isNew] = m_quarantined.try_emplace(news.part, Quarantine { .since = since, .lastRequestAt = lastRequestAt });
    auto& known = it->second;
    known.since = std::min(known.since, since);
    if (lastRequestAt > known.lastRequestAt + ageTolerance)
        known.lastRequestAt = lastRequestAt;
    known.crashes = std::max(known.crashes, news.crashes);
    if (news.probes > known.probes) {
        known.probes = news.probes;
        known.lastProbeAt = now - news.probeAge;
    }
    if (!isNew)
        return;
    m_isUrgent = true;
    m_events.push_back({ PromptPartEvent::Kind::Quarantined, news.part, news.crashes, {} });
}

PromptPartNews PromptPartGuard::news(TimePoint now) const
{
    PromptPartNews news;
    std::vector<const Crashes::value_type*> crashes;
    std::set<std::string> parts;
    for (const auto& it : m_crashes) {
        parts.insert(it.second.parts.begin(), it.second.parts.end());
        bool isSettled = !isCrash(it.second) || isExplained(it.second);
        if (!isSettled || now - it.second.at < settledCrashNewsTime)
            crashes.push_back(&it);
    }
    keepFirst(crashes, maxSentCrashes, [](const auto* a, const auto* b) { return a->second.at > b->second.at; });
    for (const auto* it : crashes) {
        SuspectedCrash crash { it->first, ageOf(it->second.at, now), std::nullopt, {}, { it->second.requests.begin(), it->second.requests.end() } };
        if (it->second.runningAt)
            crash.runningAge = ageOf(*it->second.runningAt, now);
        bool isCrashExplained = isExplained(it->second);
        for (const auto& part : it->second.parts) {
            if (isCrashExplained ? m_quarantined.contains(part) : !wasServedSince(part, it->second.at))
                crash.parts.push_back(part);
        }
        keepFirst(crash.parts, maxSentPartsPerCrash, [&](const auto& a, const auto& b) { return crashesWith(a).size() > crashesWith(b).size(); });
        news.crashes.push_back(std::move(crash));
    }
    for (const auto& it : parts) {
        if (auto served = m_servedAt.find(it); served != m_servedAt.end())
            news.served.push_back({ it, ageOf(served->second, now) });
    }
    keepFirst(news.served, maxSentServedParts, [](const auto& a, const auto& b) { return a.age < b.age; });
    for (const auto& [part, it] : m_quarantined)
        news.quarantined.push_back({ part, ageOf(it.since, now), ageOf(it.lastRequestAt, now), it.crashes, it.probes, ageOf(it.lastProbeAt, now) });
    keepFirst(news.quarantined, maxSentQuarantined, [](const auto& a, const auto& b) { return a.idle < b.idle; });
    return news;
}

bool PromptPartGuard::takeUrgent() { return std::exchange(m_isUrgent, false); }

std::vector<PromptPartEvent> PromptPartGuard::takeEvents() { return std::exchange(m_events, {}); }

void PromptPartGuard::forget(TimePoint now)
{
    absl::erase_if(m_crashes, [&](const auto& it) { return it.second.at < now - evidenceRetention; });
    absl::erase_if(m_servedAt, [&](const auto& it) { return it.second < now - evidenceRetention; });
    absl::erase_if(m_quarantined, [&](const auto& it) {
        if (it.second.lastRequestAt >= now - quarantineRetention)
            return false;
        m_events.push_back({ PromptPartEvent::Kind::Released, it.first, it.second.crashes, {} });
        return true;
    });
}

void PromptPartGuard::limitSizes()
{
    auto dropOldest = [&](auto& entries, std::size_t max, std::size_t keep, auto timeOf) {
        if (entries.size() <= max)
            return;
        std::vector<TimePoint> times;
        for (const auto& it : entries)
            times.push_back(timeOf(it.second));
        auto limit = times.begin() + static_cast<std::ptrdiff_t>(times.size() - keep);
        std::nth_element(times.begin(), limit, times.end());
        auto before = entries.size();
        absl::erase_if(entries, [&](const auto& it) { return timeOf(it.second) < *limit; });
        m_dropped += static_cast<std::int64_t>(before - entries.size());
    };
    dropOldest(m_crashes, maxCrashes, maxCrashes, [](const Crash& it) { return it.at; });
    dropOldest(m_servedAt, maxServedParts, maxServedParts / 2, [](TimePoint it) { return it; });
    dropOldest(m_quarantined, maxQuarantined, maxQuarantined, [](const Quarantine& it) { return it.lastRequestAt; });
}

}
