#include "core/limits/prompt_part_guard.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <numeric>

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
    constexpr std::size_t maxPartBytes = 32;
    // So many more crashes with one part than with another speak for the one. A single one may have any other cause.
    constexpr std::size_t decidingCrashes = 2;
    // How often peers are told other suspects of crashes that have more than can be told at a time.
    constexpr Milliseconds suspectNewsPeriod { 250 };

    // For each of some crashes, whether a part is its suspect.
    using CrashMarks = std::vector<bool>;

    bool isProperSubset(const CrashMarks& a, const CrashMarks& b)
    {
        return a != b && std::equal(a.begin(), a.end(), b.begin(), b.end(), [](bool isInA, bool isInB) { return !isInA || isInB; });
    }

    std::string nameOf(const std::set<std::string>& parts) { return absl::StrJoin(parts, ","); }

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
    parts.reserve(sharedPartCount(request));
    for (std::size_t n = 0; n < sharedPartCount(request); ++n) {
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
    release(part, at);
}

void PromptPartGuard::release(const std::string& part, TimePoint servedAt)
{
    std::vector<Quarantines::node_type> released;
    for (auto it = m_quarantined.begin(); it != m_quarantined.end();) {
        // A part that was served before its quarantine needs more crashes, which may not have been known here or at the peer.
        bool isWrong = it->first.contains(part) && (it->second.since < servedAt || it->second.crashes < static_cast<std::int64_t>(crashesOfServedPart));
        auto next = std::next(it);
        if (isWrong)
            released.push_back(m_quarantined.extract(it));
        it = next;
    }
    if (released.empty())
        return;
    m_events.push_back({ PromptPartEvent::Kind::Released, part, released.front().mapped().crashes, {} });
    m_isUrgent = true;
    for (auto& it : released) {
        it.key().erase(part);
        it.mapped().lastTrialAt.reset();
        if (!it.key().empty())
            m_quarantined.insert(std::move(it));
    }
}

PromptPartGuard::Matches PromptPartGuard::findMatches(const std::vector<std::string>& parts)
{
    Matches matches;
    if (m_quarantined.empty())
        return matches;
    absl::flat_hash_set<std::string_view> present(parts.begin(), parts.end());
    for (auto& it : m_quarantined) {
        auto count = std::count_if(it.first.begin(), it.first.end(), [&](const auto& part) { return present.contains(part); });
        if (count == std::ssize(it.first))
            matches.complete.push_back(&it);
        else if (count > 0)
            matches.partial.push_back(&it);
    }
    return matches;
}

PromptPartGuard::Verdict PromptPartGuard::decide(const std::vector<std::string>& parts, bool mayProbe, TimePoint now)
{
    return decide(
        parts, [mayProbe](const auto&) { return mayProbe ? std::optional<std::size_t>(0) : std::nullopt; }, now);
}

PromptPartGuard::Verdict PromptPartGuard::decide(const std::vector<std::string>& parts, const ProbeRank& rank, TimePoint now)
{
    auto matches = findMatches(parts);
    if (matches.complete.empty() && matches.partial.empty())
        return Verdict::Allowed;
    for (auto* it : matches.complete)
        it->second.lastRequestAt = now;
    auto verdict = Verdict::Probe;
    for (const auto* it : matches.partial) {
        if (!isTrialDue(*it, rank, now))
            verdict = rank(nameOf(it->first)) ? Verdict::Deferred : Verdict::Refused;
    }
    if (!matches.complete.empty() && (verdict != Verdict::Probe || !isProbeDue(matches.complete, rank, now)))
        verdict = Verdict::Refused;
    if (verdict == Verdict::Probe)
        recordProbed(matches, now);
    return verdict;
}

bool PromptPartGuard::isTrialDue(const Quarantines::value_type& it, const ProbeRank& rankOf, TimePoint now) const
{
    const auto& quarantine = it.second;
    auto rank = rankOf(nameOf(it.first));
    if (!rank)
        return false;
    auto delay = trialTime;
    if (quarantine.trialCrashes > maxQuickTrialCrashes)
        delay = firstProbeDelay;
    for (auto n = maxQuickTrialCrashes + 1; n < quarantine.trialCrashes && delay < quarantineRetention; ++n)
        delay *= probeDelayFactor;
    auto dueAt = quarantine.lastTrialAt ? *quarantine.lastTrialAt + delay : quarantine.since;
    return now >= dueAt + std::min(maxTrialWait, Milliseconds(static_cast<std::int64_t>(*rank) * trialTurn));
}

bool PromptPartGuard::isProbeDue(const std::vector<Quarantines::value_type*>& quarantines, const ProbeRank& rank, TimePoint now) const
{
    return std::all_of(quarantines.begin(), quarantines.end(), [&](const auto* it) {
        const auto& quarantine = it->second;
        auto delay = firstProbeDelay;
        for (std::int64_t n = 0; n < quarantine.probes && delay < quarantineRetention; ++n)
            delay *= probeDelayFactor;
        // A request with the parts of one quarantine tells more than one with those of several.
        if (quarantines.size() > 1)
            delay += firstProbeDelay;
        return now >= std::max(quarantine.since, quarantine.lastProbeAt) + delay && rank(nameOf(it->first)) == std::size_t { 0 };
    });
}

void PromptPartGuard::recordProbed(const Matches& matches, TimePoint now)
{
    for (auto* it : matches.complete) {
        ++it->second.probes;
        it->second.lastProbeAt = now;
    }
    for (auto* it : matches.partial)
        it->second.lastTrialAt = now;
    const auto& named = *(matches.complete.empty() ? matches.partial : matches.complete).front();
    m_isUrgent = true;
    m_events.push_back({ PromptPartEvent::Kind::Probed, nameOf(named.first), named.second.crashes, {} });
}

const std::string* PromptPartGuard::quarantinedPart(const std::vector<std::string>& parts) const
{
    for (const auto& [set, quarantine] : m_quarantined) {
        bool isComplete = std::all_of(set.begin(), set.end(), [&](const auto& it) { return std::find(parts.begin(), parts.end(), it) != parts.end(); });
        if (isComplete)
            return &*set.begin();
    }
    return nullptr;
}

bool PromptPartGuard::isHeldBack(const std::vector<std::string>& parts) const
{
    return std::any_of(m_quarantined.begin(), m_quarantined.end(), [&](const auto& quarantine) {
        return std::any_of(parts.begin(), parts.end(), [&](const auto& it) { return quarantine.first.contains(it); });
    });
}

std::int64_t PromptPartGuard::crashesOf(const std::string& part) const
{
    std::int64_t crashes = 0;
    for (const auto& [set, quarantine] : m_quarantined)
        crashes = std::max(crashes, set.contains(part) ? quarantine.crashes : 0);
    return crashes;
}

bool PromptPartGuard::isSuspected(const std::vector<std::string>& parts) const
{
    if (m_crashes.empty())
        return false;
    auto crashes = unexplainedCrashes();
    return std::any_of(parts.begin(), parts.end(), [&](const auto& it) { return !m_servedAt.contains(it) && !crashesWith(it, crashes).empty(); });
}

bool PromptPartGuard::isRetryUnsafe(const std::vector<std::string>& parts) const
{
    if (isHeldBack(parts))
        return true;
    auto unexplained = unexplainedCrashes();
    return std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
        if (m_servedAt.contains(part))
            return false;
        auto crashes = crashesWith(part, unexplained);
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
    return std::any_of(m_quarantined.begin(), m_quarantined.end(), [&](const auto& quarantine) {
        return std::all_of(quarantine.first.begin(), quarantine.first.end(), [&](const auto& it) { return crash.parts.contains(it); });
    });
}

bool PromptPartGuard::wasServedSince(const std::string& part, TimePoint time) const
{
    auto it = m_servedAt.find(part);
    return it != m_servedAt.end() && it->second > time;
}

PromptPartGuard::CrashPointers PromptPartGuard::unexplainedCrashes() const
{
    CrashPointers crashes;
    for (const auto& it : m_crashes) {
        if (isCrash(it.second) && !isExplained(it.second))
            crashes.push_back(&it);
    }
    return crashes;
}

PromptPartGuard::CrashPointers PromptPartGuard::crashesWith(const std::string& part, const CrashPointers& crashes) const
{
    CrashPointers found;
    std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(found), [&](const auto* it) {
        return it->second.parts.contains(part) && !wasServedSince(part, it->second.at);
    });
    return found;
}

std::size_t PromptPartGuard::countCauses(const CrashPointers& crashes)
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

void PromptPartGuard::evaluate(TimePoint now)
{
    std::vector<std::string> processes;
    std::erase_if(m_unevaluated, [&](const auto& it) {
        auto crash = m_crashes.find(it);
        if (crash == m_crashes.end())
            return true;
        bool isIncomplete = crash->second.parts.size() < crash->second.toldSuspects;
        if (now < crash->second.at + (isIncomplete ? completionTime : evaluationDelay))
            return false;
        processes.push_back(it);
        return true;
    });
    if (processes.empty())
        return;
    for (const auto& it : processes)
        narrow(m_crashes.at(it), now);
    for (const auto& it : findCrashingSets(processes))
        quarantine(it, now);
    releaseExplained(now);
}

void PromptPartGuard::narrow(const Crash& crash, TimePoint now)
{
    if (!isCrash(crash) || crash.parts.size() < crash.toldSuspects || isExplained(crash))
        return;
    std::map<PartSet, std::int64_t> narrowed;
    for (auto& [set, quarantine] : m_quarantined) {
        PartSet common;
        for (const auto& it : set) {
            if (crash.parts.contains(it) && !wasServedSince(it, crash.at))
                common.insert(it);
        }
        if (!common.empty())
            narrowed[std::move(common)] = ++quarantine.trialCrashes;
    }
    for (const auto& [set, trialCrashes] : narrowed) {
        quarantine(set, now);
        auto& added = m_quarantined.at(set);
        added.lastTrialAt = now;
        added.trialCrashes = trialCrashes;
    }
}

std::vector<PromptPartGuard::PartSet> PromptPartGuard::findCrashingSets(const std::vector<std::string>& processes) const
{
    auto crashes = unexplainedCrashes();
    absl::flat_hash_set<std::string_view> suspects;
    for (const auto* it : crashes) {
        if (std::find(processes.begin(), processes.end(), it->first) != processes.end())
            suspects.insert(it->second.parts.begin(), it->second.parts.end());
    }
    // Parts that the same crashes have in common cannot be told apart, except that one may have been served before.
    struct Group {
        std::size_t causes = 0;
        PartSet parts;
    };
    std::map<std::pair<CrashMarks, bool>, Group> groups;
    for (const auto& it : suspects) {
        std::string part(it);
        CrashMarks marks;
        for (const auto* crash : crashes)
            marks.push_back(crash->second.parts.contains(part) && !wasServedSince(part, crash->second.at));
        if (std::find(marks.begin(), marks.end(), true) == marks.end())
            continue;
        auto& group = groups[{ std::move(marks), m_servedAt.contains(part) }];
        if (group.parts.empty())
            group.causes = countCauses(crashesWith(part, crashes));
        group.parts.insert(std::move(part));
    }
    std::vector<const decltype(groups)::value_type*> crashing;
    for (const auto& it : groups) {
        const auto& [marks, wasServed] = it.first;
        const auto& group = it.second;
        bool isOnlySuspect = group.parts.size() == 1 && std::none_of(groups.begin(), groups.end(), [&marks = marks](const auto& other) {
            return !other.first.second && isProperSubset(marks, other.first.first);
        });
        auto needed = isOnlySuspect ? crashesOfOnlySuspect : crashesOfSuspect;
        if (wasServed)
            needed = crashesOfServedPart;
        auto mostCauses = crashing.empty() ? 0 : crashing.front()->second.causes;
        if (group.causes < needed || group.causes < mostCauses)
            continue;
        if (group.causes > mostCauses)
            crashing.clear();
        crashing.push_back(&it);
    }
    std::vector<PartSet> sets;
    for (const auto* it : crashing) {
        bool isExplained = std::any_of(crashing.begin(), crashing.end(), [it](const auto* other) { return isProperSubset(it->first.first, other->first.first); });
        if (!isExplained)
            sets.push_back(it->second.parts);
    }
    return sets;
}

void PromptPartGuard::quarantine(const PartSet& set, TimePoint now)
{
    PromptPartEvent event { PromptPartEvent::Kind::Quarantined, nameOf(set), 0, {} };
    for (const auto& [process, crash] : m_crashes) {
        if (isCrash(crash) && std::all_of(set.begin(), set.end(), [&parts = crash.parts](const auto& it) { return parts.contains(it); }))
            event.processes.push_back(process);
    }
    event.crashes = static_cast<std::int64_t>(event.processes.size());
    m_quarantined[set] = { .since = now, .lastRequestAt = now, .crashes = event.crashes, .lastTrialAt = {} };
    m_events.push_back(std::move(event));
    m_isUrgent = true;
}

bool PromptPartGuard::isExplainedBy(const std::string& part, const std::string& other) const
{
    CrashPointers ofPart, ofOther;
    bool hasOther = true;
    for (const auto& it : m_crashes) {
        if (!isCrash(it.second))
            continue;
        if (it.second.parts.contains(other))
            ofOther.push_back(&it);
        if (!it.second.parts.contains(part))
            continue;
        ofPart.push_back(&it);
        hasOther = hasOther && it.second.parts.contains(other);
    }
    return !ofPart.empty() && hasOther && countCauses(ofOther) >= countCauses(ofPart) + decidingCrashes;
}

void PromptPartGuard::releaseExplained(TimePoint now)
{
    // The other part is known to crash upstreams if it is in quarantine by itself.
    std::vector<std::string> explained;
    for (const auto& [set, quarantine] : m_quarantined) {
        for (const auto& part : set) {
            bool isExplained = std::any_of(m_quarantined.begin(), m_quarantined.end(), [&](const auto& other) {
                return other.first.size() == 1 && *other.first.begin() != part && isExplainedBy(part, *other.first.begin());
            });
            if (isExplained)
                explained.push_back(part);
        }
    }
    // Counts as served, so that peers release the part too.
    for (const auto& it : explained)
        markServed(it, now);
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
    limitSizes();
    evaluate(now);
}

void PromptPartGuard::learnCrash(const SuspectedCrash& news, TimePoint now)
{
    auto at = now - news.age;
    auto known = m_crashes.find(news.process);
    bool isOld = at < now - evidenceRetention || (known != m_crashes.end() && at < known->second.at - crashSpread);
    if (isOld)
        return;
    auto& crash = crashOf(news.process, at);
    crash.toldSuspects = news.allParts;
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

void PromptPartGuard::learnQuarantine(const QuarantinedParts& news, TimePoint now)
{
    auto since = now - news.age, lastRequestAt = now - news.idle;
    PartSet set;
    for (const auto& it : news.parts) {
        bool isPremature = m_servedAt.contains(it) && news.crashes < static_cast<std::int64_t>(crashesOfServedPart);
        if (!isPremature && !wasServedSince(it, since))
            set.insert(it);
    }
    if (set.empty() || lastRequestAt < now - quarantineRetention)
        return;
    auto [it, isNew] = m_quarantined.try_emplace(set, Quarantine { .since = since, .lastRequestAt = lastRequestAt, .lastTrialAt = {} });
    auto& known = it->second;
    known.since = std::min(known.since, since);
    if (lastRequestAt > known.lastRequestAt + ageTolerance)
        known.lastRequestAt = lastRequestAt;
    known.crashes = std::max(known.crashes, news.crashes);
    if (news.probes > known.probes) {
        known.probes = news.probes;
        known.lastProbeAt = now - news.probeAge;
    }
    bool areSameParts = set.size() == news.parts.size();
    if (areSameParts && news.trialAge && (!known.lastTrialAt || now - *news.trialAge > *known.lastTrialAt + ageTolerance)) {
        known.lastTrialAt = now - *news.trialAge;
        m_isUrgent = true;
    }
    known.trialCrashes = std::max(known.trialCrashes, news.trialCrashes);
    if (!isNew)
        return;
    m_isUrgent = true;
    m_events.push_back({ PromptPartEvent::Kind::Quarantined, nameOf(set), news.crashes, {} });
}

PromptPartNews PromptPartGuard::news(TimePoint now) const
{
    PromptPartNews news;
    tellCrashes(news, now);
    tellQuarantines(news, now);
    return news;
}

void PromptPartGuard::tellCrashes(PromptPartNews& news, TimePoint now) const
{
    CrashPointers told;
    absl::flat_hash_map<std::string_view, std::size_t> crashCounts;
    for (const auto& it : m_crashes) {
        bool isSettled = !isCrash(it.second) || isExplained(it.second);
        for (const auto& part : it.second.parts)
            crashCounts[part] += isSettled ? 0 : 1;
        if (!isSettled || now - it.second.at < settledCrashNewsTime)
            told.push_back(&it);
    }
    keepFirst(told, maxSentCrashes, [](const auto* a, const auto* b) { return a->second.at > b->second.at; });
    auto room = maxSentParts / std::max(std::size_t { 1 }, told.size());
    for (const auto* it : told) {
        SuspectedCrash crash { it->first, ageOf(it->second.at, now), std::nullopt, {}, { it->second.requests.begin(), it->second.requests.end() } };
        if (it->second.runningAt)
            crash.runningAge = ageOf(*it->second.runningAt, now);
        bool isCrashExplained = isExplained(it->second);
        for (const auto& part : it->second.parts) {
            bool isInQuarantine = isCrashExplained && std::any_of(m_quarantined.begin(), m_quarantined.end(), [&](const auto& quarantine) { return quarantine.first.contains(part); });
            if (isCrashExplained ? isInQuarantine : !wasServedSince(part, it->second.at))
                crash.parts.push_back(part);
        }
        if (crash.parts.size() > room) {
            crash.allParts = crash.parts.size();
            // Those in the most crashes come first, and never served ones before others; the rest in turn, a new lot each time.
            auto rankOf = [&](const auto& part) { return std::pair(!m_servedAt.contains(part), crashCounts.at(part)); };
            std::sort(crash.parts.begin(), crash.parts.end(), [&](const auto& a, const auto& b) { return std::pair(rankOf(b), a) < std::pair(rankOf(a), b); });
            auto first = std::find_if(crash.parts.begin(), crash.parts.end(), [&, last = rankOf(crash.parts[room - 1])](const auto& part) { return rankOf(part) == last; });
            auto turns = static_cast<std::size_t>(now.time_since_epoch() / suspectNewsPeriod) * (room - static_cast<std::size_t>(first - crash.parts.begin()));
            std::rotate(first, first + static_cast<std::ptrdiff_t>(turns % static_cast<std::size_t>(crash.parts.end() - first)), crash.parts.end());
            crash.parts.resize(room);
        }
        news.crashes.push_back(std::move(crash));
    }
    for (const auto& [part, count] : crashCounts) {
        if (auto served = m_servedAt.find(std::string(part)); served != m_servedAt.end())
            news.served.push_back({ served->first, ageOf(served->second, now) });
    }
    keepFirst(news.served, maxSentServedParts, [](const auto& a, const auto& b) { return a.age < b.age; });
}

std::vector<QuarantinedParts> PromptPartGuard::quarantines(TimePoint now) const
{
    std::vector<QuarantinedParts> quarantined;
    for (const auto& [set, it] : m_quarantined) {
        QuarantinedParts told { { set.begin(), set.end() }, ageOf(it.since, now), ageOf(it.lastRequestAt, now), it.crashes, it.probes, ageOf(it.lastProbeAt, now), std::nullopt, it.trialCrashes };
        if (it.lastTrialAt)
            told.trialAge = ageOf(*it.lastTrialAt, now);
        quarantined.push_back(std::move(told));
    }
    return quarantined;
}

void PromptPartGuard::tellQuarantines(PromptPartNews& news, TimePoint now) const
{
    auto quarantined = quarantines(now);
    keepFirst(quarantined, maxSentQuarantined, [](const auto& a, const auto& b) { return a.idle < b.idle; });
    // Peers find a set that does not fit by the crashes.
    std::size_t setParts = 0;
    for (auto& it : quarantined) {
        if (it.parts.size() > 1 && (setParts += it.parts.size()) > maxSentSetParts)
            continue;
        news.quarantined.push_back(std::move(it));
    }
}

bool PromptPartGuard::takeUrgent() { return std::exchange(m_isUrgent, false); }

std::vector<PromptPartEvent> PromptPartGuard::takeEvents() { return std::exchange(m_events, {}); }

void PromptPartGuard::forget(TimePoint now)
{
    absl::erase_if(m_crashes, [&](const auto& it) { return it.second.at < now - evidenceRetention; });
    absl::erase_if(m_servedAt, [&](const auto& it) { return it.second < now - evidenceRetention; });
    std::erase_if(m_quarantined, [&](const auto& it) {
        if (it.second.lastRequestAt >= now - quarantineRetention)
            return false;
        m_events.push_back({ PromptPartEvent::Kind::Released, nameOf(it.first), it.second.crashes, {} });
        return true;
    });
}

void PromptPartGuard::limitSizes()
{
    auto dropOldest = [&](auto& entries, std::size_t max, std::size_t keep, auto timeOf) {
        if (entries.size() <= max)
            return;
        std::vector<TimePoint> times;
        times.reserve(entries.size());
        for (const auto& it : entries)
            times.push_back(timeOf(it.second));
        auto limit = times.begin() + static_cast<std::ptrdiff_t>(times.size() - keep);
        std::nth_element(times.begin(), limit, times.end());
        auto before = entries.size();
        erase_if(entries, [&](const auto& it) { return timeOf(it.second) < *limit; });
        m_dropped += static_cast<std::int64_t>(before - entries.size());
    };
    dropOldest(m_crashes, maxCrashes, maxCrashes, [](const Crash& it) { return it.at; });
    auto parts = std::accumulate(m_crashes.begin(), m_crashes.end(), std::size_t { 0 }, [](std::size_t sum, const auto& it) { return sum + it.second.parts.size(); });
    while (m_crashes.size() > 1 && parts > maxParts) {
        auto oldest = std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
        parts -= oldest->second.parts.size();
        m_crashes.erase(oldest);
        ++m_dropped;
    }
    dropOldest(m_servedAt, maxServedParts, maxServedParts / 2, [](TimePoint it) { return it; });
    dropOldest(m_quarantined, maxQuarantined, maxQuarantined, [](const Quarantine& it) { return it.lastRequestAt; });
}

}
