#pragma once

// Which shared beginnings of prompts the engines are believed to hold in their caches, from the requests of this instance. An
// engine holds a prefix from the first event of a response with it until other tokens have displaced it; a process that ends takes
// its records along.

#include "core/requests/routed_request.h"
#include "core/scheduling/generation_table.h"

#include <vector>

namespace skylarkhitch {

// A shared prefix of a prompt: all parts up to one that other requests may share.
struct PromptPrefix {
    // Hash of the model and the ids of all parts of the prefix, since a cached part serves only the same model, after the same parts.
    std::uint64_t key = 0;
    // Tokens of the prefix's last part.
    std::int64_t tokens = 0;
};
using PromptPrefixes = std::vector<PromptPrefix>;

// Returns the shared prefixes of a prompt, shortest first. Prefixes beyond maxPromptPrefixes are left out.
constexpr std::size_t maxPromptPrefixes = 16;
PromptPrefixes sharedPrefixes(const ModelId&, const RoutedRequest&);

// Sum of the prefixes' tokens.
std::int64_t totalTokens(const PromptPrefixes&);

// What the time to the first event of a response shows about the engine's cache.
enum class CacheEvidence { None,
    Cached,
    Uncached };

// Compares the time to the first event with those expected with and without the cached tokens. The result is None if the two are
// too close to tell them apart, or if the event is so late that something else delayed it.
CacheEvidence cacheEvidence(Milliseconds measured, Milliseconds expectedIfCached, Milliseconds expectedIfUncached);

class PromptMemory {
public:
    // Bounds of what is stored, see GenerationTable.
    static constexpr std::size_t maxPrefixesPerGeneration = 4096;
    static constexpr std::size_t maxHoldersPerPrefix = 32;
    // Bounds of the estimated retention time.
    static constexpr Milliseconds minRetention { 1000 };
    static constexpr Milliseconds maxRetention { 120000 };

    // Records that a process has read, or found in its cache, all of these prefixes.
    void recordRead(const std::string& process, const PromptPrefixes&, TimePoint now);
    // Records what a peer told: a process, given by the hash of its name, used a prefix at this time.
    void learnRead(std::uint64_t process, std::uint64_t prefix, TimePoint usedAt);
    // Records what an answer showed about prefixes that the process was believed to hold. If they were not cached, what the process
    // used before them was evicted too. Call it before recordRead() for the same answer.
    void recordEvidence(const std::string& process, const PromptPrefixes&, CacheEvidence);

    // Sets the tokens that a typical engine adds to its cache per second.
    void setStoredTokensPerSecond(double tokens) { m_storedTokensPerSecond = tokens; }
    // Estimated time after its last use at which a prefix is evicted from a cache that has this much memory left by running
    // requests, in tokens.
    Milliseconds retention(std::int64_t freeTokens) const;

    // Probability that the process still holds the prefix because of a request of this instance.
    double heldProbability(const std::string& process, const PromptPrefix&, Milliseconds retention, TimePoint now) const;

    // Drops the state of processes that are not listed.
    void keepOnly(const std::vector<std::string>& processes);
    std::size_t prefixCount() const { return m_prefixes.size(); }

private:
    struct Holder {
        std::uint64_t process = 0;
        TimePoint usedAt;
    };
    // At most maxHoldersPerPrefix, in no order.
    using Holders = std::vector<Holder>;

    GenerationTable<Holders> m_prefixes { maxPrefixesPerGeneration };
    // Of processes whose cache turned over: what was last used at that time or before is evicted.
    absl::flat_hash_map<std::uint64_t, TimePoint> m_evictedBefore;
    double m_storedTokensPerSecond = 0;
    // Correction of the estimated retention time, from answers.
    double m_retentionFactor = 1;
};

}
