#include "core/scheduling/prompt_memory.h"

#include "core/hashing.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    // A difference that is smaller than this, or than this part of the shorter time, is hidden by the variation of waits.
    constexpr Milliseconds minEvidence { 20 };
    constexpr double minEvidenceFraction = 0.5;
    // An event that is later than this many times the longer time was delayed by something else.
    constexpr double maxDelay = 2;

    // An answer changes the estimated retention time by these factors. Early answers are common where the estimate is right, so they
    // count less.
    constexpr double retentionGrowth = 1.005;
    constexpr double retentionDrop = 0.95;
    constexpr double minRetentionFactor = 0.1;
    constexpr double maxRetentionFactor = 10;

    // The probability falls linearly between these multiples of the retention time.
    constexpr double certainlyHeld = 0.5;
    constexpr double certainlyEvicted = 1.5;

    std::string_view bytesOf(const std::uint64_t& value)
    {
        return { reinterpret_cast<const char*>(&value), sizeof(value) };
    }

}

PromptPrefixes sharedPrefixes(const ModelId& model, const RoutedRequest& request)
{
    PromptPrefixes prefixes;
    auto key = hashOf(model.value);
    for (std::size_t n = 0; n < std::min(sharedPartCount(request), maxPromptPrefixes); ++n) {
        const auto& part = request.promptParts[n];
        key = hashOf(bytesOf(key), part.id);
        prefixes.push_back({ key, std::max<std::int64_t>(0, part.tokens) });
    }
    return prefixes;
}

std::int64_t totalTokens(const PromptPrefixes& prefixes)
{
    std::int64_t sum = 0;
    for (const auto& it : prefixes)
        sum += it.tokens;
    return sum;
}

CacheEvidence cacheEvidence(Milliseconds measured, Milliseconds expectedIfCached, Milliseconds expectedIfUncached)
{
    auto difference = expectedIfUncached - expectedIfCached;
    if (difference < minEvidence || static_cast<double>(difference.count()) < minEvidenceFraction * static_cast<double>(expectedIfCached.count()))
        return CacheEvidence::None;
    if (measured < expectedIfCached + difference / 2)
        return CacheEvidence::Cached;
    return static_cast<double>(measured.count()) <= maxDelay * static_cast<double>(expectedIfUncached.count()) ? CacheEvidence::Uncached : CacheEvidence::None;
}

void PromptMemory::recordRead(const std::string& process, const PromptPrefixes& prefixes, TimePoint now)
{
    auto id = hashOf(process);
    for (const auto& it : prefixes)
        learnRead(id, it.key, now);
}

void PromptMemory::learnRead(std::uint64_t process, std::uint64_t prefix, TimePoint usedAt)
{
    auto& holders = m_prefixes.touch(prefix);
    auto it = std::find_if(holders.begin(), holders.end(), [&](const auto& holder) { return holder.process == process; });
    if (it == holders.end() && holders.size() < maxHoldersPerPrefix)
        it = holders.insert(it, { process, usedAt });
    else if (it == holders.end())
        it = std::min_element(holders.begin(), holders.end(), [](const auto& a, const auto& b) { return a.usedAt < b.usedAt; });
    if (it->usedAt <= usedAt)
        *it = { process, usedAt };
}

void PromptMemory::recordEvidence(const std::string& process, const PromptPrefixes& prefixes, CacheEvidence evidence)
{
    if (evidence == CacheEvidence::None || prefixes.empty())
        return;
    auto id = hashOf(process);
    const auto* holders = m_prefixes.find(prefixes.back().key);
    if (!holders)
        return;
    auto it = std::find_if(holders->begin(), holders->end(), [&](const auto& holder) { return holder.process == id; });
    if (it == holders->end())
        return;
    auto& evictedBefore = m_evictedBefore[id];
    if (it->usedAt <= evictedBefore)
        return;
    if (evidence == CacheEvidence::Uncached)
        evictedBefore = it->usedAt;
    m_retentionFactor = std::clamp(m_retentionFactor * (evidence == CacheEvidence::Cached ? retentionGrowth : retentionDrop), minRetentionFactor, maxRetentionFactor);
}

Milliseconds PromptMemory::retention(std::int64_t freeTokens) const
{
    if (m_storedTokensPerSecond <= 0)
        return maxRetention;
    constexpr double millisecondsPerSecond = 1000;
    auto time = static_cast<double>(std::max<std::int64_t>(0, freeTokens)) / m_storedTokensPerSecond * m_retentionFactor * millisecondsPerSecond;
    return Milliseconds(static_cast<std::int64_t>(std::clamp(time, static_cast<double>(minRetention.count()), static_cast<double>(maxRetention.count()))));
}

double PromptMemory::heldProbability(const std::string& process, const PromptPrefix& prefix, Milliseconds retention, TimePoint now) const
{
    const auto* holders = m_prefixes.find(prefix.key);
    if (!holders)
        return 0;
    auto id = hashOf(process);
    auto it = std::find_if(holders->begin(), holders->end(), [&](const auto& holder) { return holder.process == id; });
    if (it == holders->end())
        return 0;
    auto evicted = m_evictedBefore.find(id);
    if (evicted != m_evictedBefore.end() && it->usedAt <= evicted->second)
        return 0;
    auto age = static_cast<double>((now - it->usedAt).count()) / static_cast<double>(Microseconds(retention).count());
    return std::clamp((certainlyEvicted - age) / (certainlyEvicted - certainlyHeld), 0.0, 1.0);
}

void PromptMemory::keepOnly(const std::vector<std::string>& processes)
{
    absl::flat_hash_set<std::uint64_t> known;
    for (const auto& it : processes)
        known.insert(hashOf(it));
    absl::erase_if(m_evictedBefore, [&](const auto& it) { return !known.contains(it.first); });
    m_prefixes.retainIf([&](Holders& holders) {
        std::erase_if(holders, [&](const auto& it) { return !known.contains(it.process); });
        return !holders.empty();
    });
}

}
