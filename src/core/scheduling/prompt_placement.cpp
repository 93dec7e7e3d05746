#include "core/scheduling/prompt_placement.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    // Gain of the moving average of homes that hold what they are expected to; the first samples count more.
    constexpr double homeHitGain = 0.02;
    constexpr double initialSamples = 5;
    // Gain of the moving average of the work of requests.
    constexpr double meanWorkGain = 0.05;
    // The engines after the last home get a credit for later requests too, each this part of the one before, so that all instances that
    // find the homes busy choose the same additional ones.
    constexpr std::size_t nextHomes = 4;
    constexpr double nextHomeFraction = 0.5;

    // Probability of an arrival within the time.
    double arrivalProbability(double perSecond, Milliseconds time)
    {
        return 1 - std::exp(-perSecond * std::chrono::duration<double>(time).count());
    }

    // The credit for later requests at an engine, as part of that at a home.
    double homeFraction(PromptPlacement::HomeRank it)
    {
        if (it.isHome())
            return 1;
        return it.rank < it.homes + nextHomes ? std::pow(nextHomeFraction, it.rank - it.homes + 1) : 0;
    }

}

void PromptPlacement::setFleet(EngineFleet fleet, const std::vector<std::string>& processes, TimePoint now)
{
    m_fleet = { std::max<std::size_t>(1, fleet.engines), std::max<std::size_t>(1, fleet.instances) };
    m_memory.keepOnly(processes);
    absl::flat_hash_map<std::string, TimePoint> startedAt;
    auto startOfNew = m_startedAt.empty() ? now - PromptMemory::maxRetention : now;
    for (const auto& it : processes) {
        auto known = m_startedAt.find(it);
        startedAt[it] = known == m_startedAt.end() ? startOfNew : known->second;
    }
    m_startedAt = std::move(startedAt);
}

void PromptPlacement::recordRequest(const PromptPrefixes& prefixes, double work, TimePoint now)
{
    m_homes.recordRequest(prefixes, work, m_fleet.engines, now);
}

std::vector<PromptOutlook> PromptPlacement::outlook(const PromptPrefixes& prefixes, const std::vector<PromptCandidate>& engines, TimePoint now) const
{
    std::vector<PromptOutlook> result(engines.size());
    if (prefixes.empty())
        return result;
    std::vector<const UpstreamEntry*> entries;
    entries.reserve(engines.size());
    for (const auto& it : engines)
        entries.push_back(it.entry);
    auto candidates = homeCandidates(prefixes, entries);
    auto homes = homeCount(prefixes.back(), static_cast<std::size_t>(std::count(candidates.begin(), candidates.end(), true)));
    auto ranks = homeRanks(prefixes.back(), entries, candidates, homes + nextHomes);
    auto rates = ratesPerEngine(prefixes, now);
    for (std::size_t n = 0; n < engines.size(); ++n)
        result[n] = outlookOf(engines[n], prefixes, rates, { ranks[n], homes }, now);
    return result;
}

PromptOutlook PromptPlacement::outlookOf(const PromptCandidate& engine, const PromptPrefixes& prefixes, const std::vector<double>& rates, HomeRank home, TimePoint now) const
{
    auto process = processName(*engine.entry);
    auto retention = m_memory.retention(engine.freeTokens);
    auto filled = filledTime(process, retention, now);
    auto known = m_memory.heldProbability(process, prefixes.back(), retention, now);
    auto expectedAtHome = m_homeHitRate * std::chrono::duration<double>(filled) / std::chrono::duration<double>(retention);
    auto held = home.isHome() ? std::max(known, expectedAtHome) : known;
    double cached = 0, later = 0;
    for (std::size_t n = prefixes.size(); n-- > 0;) {
        // Each use of a prefix is one of all that it begins with, so these stay at least as long.
        if (n + 1 < prefixes.size())
            held = std::max({ held, m_memory.heldProbability(process, prefixes[n], retention, now), arrivalProbability(rates[n], filled) });
        auto tokens = static_cast<double>(prefixes[n].tokens);
        cached += held * tokens;
        later += (1 - held) * m_homeHitRate * homeFraction(home) * tokens;
    }
    return { std::llround(cached), std::llround(later), home.isHome() && known < expectedAtHome, home.rank == 0 };
}

std::vector<PromptCredit> PromptPlacement::credits(const PromptPrefixes& prefixes, PromptDemand demand, const std::vector<PromptCandidate>& engines, TimePoint now) const
{
    auto outlooks = outlook(prefixes, engines, now);
    std::vector<EngineOutlook> expected;
    expected.reserve(engines.size());
    double waitingWork = 0;
    demand.fastestFirstEvent = Milliseconds::max();
    for (std::size_t n = 0; n < engines.size(); ++n) {
        const auto& it = engines[n];
        auto cached = static_cast<double>(outlooks[n].cachedTokens);
        expected.push_back({ it.waitingWork, it.speed, cached, static_cast<double>(outlooks[n].laterTokens), it.freeTokens });
        waitingWork += it.waitingWork;
        demand.fastestFirstEvent = std::min(demand.fastestFirstEvent, expectedFirstEvent(demand, expected.back(), cached));
    }
    demand.waitingRequests = waitingWork / static_cast<double>(std::max<std::size_t>(1, engines.size())) / m_meanRequestWork;
    std::vector<PromptCredit> credits;
    credits.reserve(engines.size());
    for (std::size_t n = 0; n < engines.size(); ++n) {
        auto preference = outlooks[n].isFirstHome ? m_settings.firstHomePreference : 0;
        credits.push_back({ outlooks[n], savedWork(demand, expected[n], m_settings.saving) + preference });
    }
    return credits;
}

void PromptPlacement::recordRead(const PromptRead& read, TimePoint now)
{
    auto shared = totalTokens(read.prefixes);
    auto evidence = shared > 0 ? cacheEvidence(read.firstEvent, read.expectedIfCached, read.expectedIfUncached) : CacheEvidence::None;
    m_counts.asked += shared;
    m_counts.believedCached += read.outlook.cachedTokens;
    auto found = read.outlook.cachedTokens;
    if (evidence == CacheEvidence::Cached) {
        m_counts.shownCached += shared;
        found = shared;
    } else if (evidence == CacheEvidence::Uncached) {
        m_counts.shownUncached += shared;
        found = 0;
    }
    if (read.outlook.isExpectedHome && evidence != CacheEvidence::None)
        recordHomeEvidence(evidence == CacheEvidence::Cached);
    m_memory.recordEvidence(read.process, read.prefixes, evidence);
    m_memory.recordRead(read.process, read.prefixes, now);
    if (shared > 0 && !read.outlook.isFirstHome)
        m_news.record(read.prefixes.back().key, hashOf(read.process), shared, now);
    auto unread = static_cast<double>(std::max<std::int64_t>(0, read.promptTokens - found));
    m_meanRequestWork += meanWorkGain * (unread * read.modelWeight + m_settings.workPerRequest - m_meanRequestWork);
    m_storedTokens.add(unread, now);
    m_memory.setStoredTokensPerSecond(m_storedTokens.perSecond(now) * static_cast<double>(m_fleet.instances) / static_cast<double>(m_fleet.engines));
}

std::vector<PromptHolding> PromptPlacement::news(bool passesOn, TimePoint now)
{
    m_news.forget(now);
    return m_news.news(passesOn, now);
}

void PromptPlacement::learn(const std::vector<PromptHolding>& holdings, TimePoint now)
{
    for (const auto& it : holdings) {
        if (m_news.learn(it, now))
            m_memory.learnRead(it.process, it.prefix, now - it.age);
    }
}

void PromptPlacement::recordHomeEvidence(bool wasCached)
{
    auto gain = std::max(homeHitGain, 1 / (static_cast<double>(++m_homeSamples) + initialSamples));
    m_homeHitRate += gain * ((wasCached ? 1 : 0) - m_homeHitRate);
}

Milliseconds PromptPlacement::filledTime(const std::string& process, Milliseconds retention, TimePoint now) const
{
    auto it = m_startedAt.find(process);
    return it == m_startedAt.end() ? retention : std::clamp(toMilliseconds(now - it->second), Milliseconds(0), retention);
}

std::vector<double> PromptPlacement::ratesPerEngine(const PromptPrefixes& prefixes, TimePoint now) const
{
    auto scale = static_cast<double>(m_fleet.instances) / static_cast<double>(m_fleet.engines);
    std::vector<double> rates;
    rates.reserve(prefixes.size());
    for (const auto& it : prefixes)
        rates.push_back(m_homes.requestsPerSecond(it, now) * scale);
    return rates;
}

std::vector<bool> PromptPlacement::homeCandidates(const PromptPrefixes& prefixes, const std::vector<const UpstreamEntry*>& engines) const
{
    std::vector<bool> candidates(engines.size(), true);
    bool hasOwn = std::any_of(engines.begin(), engines.end(), [&](const auto* it) { return it->domain == m_domain; });
    if (totalTokens(prefixes) >= m_settings.minCrossDomainTokens || !hasOwn)
        return candidates;
    for (std::size_t n = 0; n < engines.size(); ++n)
        candidates[n] = engines[n]->domain == m_domain;
    return candidates;
}

std::size_t PromptPlacement::homeCount(const PromptPrefix& prefix, std::size_t candidates) const
{
    auto part = static_cast<double>(candidates) / static_cast<double>(m_fleet.engines);
    auto count = static_cast<std::size_t>(std::ceil(static_cast<double>(m_homes.homeCount(prefix)) * std::min(1.0, part)));
    return std::clamp<std::size_t>(count, 1, std::max<std::size_t>(1, candidates));
}

}
