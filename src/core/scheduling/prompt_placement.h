#pragma once

// Estimates for each request which engines hold the shared beginning of its prompt, from own requests, homes and the rates of the
// prompt's leading parts, and corrects the estimates by what answers show.

#include "core/routing/routing_configuration.h"
#include "core/scheduling/prompt_homes.h"
#include "core/scheduling/prompt_memory.h"
#include "core/scheduling/prompt_news.h"
#include "core/scheduling/prompt_saving.h"

namespace skylarkhitch {

struct PromptPlacementSettings {
    // Prefixes with fewer shared tokens have their homes among the engines of the own domain, since a transfer between domains costs
    // more than they save.
    std::int64_t minCrossDomainTokens = 750;
    // Work of generating the response to one request.
    double workPerRequest = 150;
    // Work by which the first home is preferred to engines that hold as much, so that copies that retries leave elsewhere are evicted.
    double firstHomePreference = 250;
    PromptSavingSettings saving;
};

// What an engine is expected to hold of a prompt.
struct PromptOutlook {
    // Expected shared tokens in its cache for the model.
    std::int64_t cachedTokens = 0;
    // Expected tokens that later requests find there if the engine reads them now. Zero for an engine that is neither a home nor one
    // of the next.
    std::int64_t laterTokens = 0;
    // It is a home of the longest prefix, and no request or peer has shown that it holds it.
    bool isExpectedHome = false;
    // It is the first home, where all instances expect the prefix.
    bool isFirstHome = false;
};

// Shared tokens of prompts, summed over the requests whose first event arrived.
struct PromptTokenCounts {
    std::int64_t asked = 0;
    // Believed to be in the cache of the engine when it was chosen.
    std::int64_t believedCached = 0;
    // Of the requests whose time to the first event showed it.
    std::int64_t shownCached = 0;
    std::int64_t shownUncached = 0;
};

// The size of a service's fleet and of the site, which rates are scaled by.
struct EngineFleet {
    std::size_t engines = 1;
    // Live instances that send to them.
    std::size_t instances = 1;
};

// An engine that may get a request.
struct PromptCandidate {
    const UpstreamEntry* entry = nullptr;
    // Memory that running requests leave, in tokens.
    std::int64_t freeTokens = 0;
    // Work ahead of the request, and the speed relative to the usual one, see EngineOutlook.
    double waitingWork = 0;
    double speed = 1;
};

// What a candidate is expected to hold, and the work that this is worth, see savedWork().
struct PromptCredit {
    PromptOutlook outlook;
    double savedWork = 0;
};
using PromptCredits = absl::flat_hash_map<UpstreamId, PromptCredit>;

// The first event of a response.
struct PromptRead {
    // Of the engine's process, see processName().
    std::string process;
    PromptPrefixes prefixes;
    std::int64_t promptTokens = 0;
    double modelWeight = 1;
    // What was expected of the engine when it was chosen.
    PromptOutlook outlook;
    // Time from sending the request to the first event, and what was expected with and without the shared tokens cached.
    Milliseconds firstEvent {};
    Milliseconds expectedIfCached {};
    Milliseconds expectedIfUncached {};
};

class PromptPlacement {
public:
    // Position of an engine in the order of homes of a prefix, and the number of homes.
    struct HomeRank {
        std::size_t rank = 0;
        std::size_t homes = 1;

        bool isHome() const { return rank < homes; }
    };

    PromptPlacement(DomainId domain, PromptPlacementSettings settings = {})
        : m_domain(std::move(domain))
        , m_settings(settings)
    {
    }

    // Sets the size of the fleet and its processes, see processName(). What other processes held is forgotten. Those that were not
    // there before start with empty caches, except at the first call.
    void setFleet(EngineFleet, const std::vector<std::string>& processes, TimePoint now);
    // Records that a request arrived whose prompt is this much work, in prompt tokens. Once for each request and model.
    void recordRequest(const PromptPrefixes&, double work, TimePoint now);
    // What each of these engines is expected to hold.
    std::vector<PromptOutlook> outlook(const PromptPrefixes&, const std::vector<PromptCandidate>&, TimePoint now) const;
    // The same with the weighing. The demand's fields on all engines are filled in here.
    std::vector<PromptCredit> credits(const PromptPrefixes&, PromptDemand, const std::vector<PromptCandidate>&, TimePoint now) const;
    // Records the first event of a response.
    void recordRead(const PromptRead&, TimePoint now);

    // What to tell peers about prefixes that engines have read, with what others told only if this instance passes it on.
    std::vector<PromptHolding> news(bool passesOn, TimePoint now);
    // Takes in what a peer told.
    void learn(const std::vector<PromptHolding>&, TimePoint now);

    const PromptTokenCounts& counts() const { return m_counts; }
    // Mean work of a request, without what engines find in their caches.
    double meanRequestWork() const { return m_meanRequestWork; }
    // Probability that a home holds a prefix for which nothing else is known.
    double homeHitRate() const { return m_homeHitRate; }
    const PromptHomes& homes() const { return m_homes; }
    const PromptMemory& memory() const { return m_memory; }

private:
    PromptOutlook outlookOf(const PromptCandidate&, const PromptPrefixes&, const std::vector<double>& rates, HomeRank, TimePoint now) const;
    // Requests of the whole site per second and engine, for each prefix.
    std::vector<double> ratesPerEngine(const PromptPrefixes&, TimePoint now) const;
    // Records whether an engine held what was expected of it as a home.
    void recordHomeEvidence(bool wasCached);
    // The part of the retention time for which the process has run.
    Milliseconds filledTime(const std::string& process, Milliseconds retention, TimePoint now) const;
    // Whether each engine may be a home of the prompt.
    std::vector<bool> homeCandidates(const PromptPrefixes&, const std::vector<const UpstreamEntry*>&) const;
    // Number of homes among so many of the engines.
    std::size_t homeCount(const PromptPrefix&, std::size_t candidates) const;

    DomainId m_domain;
    PromptPlacementSettings m_settings;
    EngineFleet m_fleet;
    PromptMemory m_memory;
    PromptHomes m_homes;
    PromptNews m_news;
    // When the processes started, as far as known; long ago for those that were there at the first call of setFleet().
    absl::flat_hash_map<std::string, TimePoint> m_startedAt;
    // Tokens that this instance's requests added to caches.
    DecayingSum m_storedTokens;
    double m_meanRequestWork = 1000;
    double m_homeHitRate = 0.6;
    // Number of answers that it was learned from.
    std::int64_t m_homeSamples = 0;
    PromptTokenCounts m_counts;
};

}
