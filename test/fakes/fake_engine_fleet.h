#pragma once

// Engines with caches of prompt prefixes, and instances that choose among them with their own knowledge and an old view of the work.
// Engines read prompts one after the other. There is no network and no time but that of the requests.

#include "core/scheduling/prompt_placement.h"

#include <list>
#include <queue>
#include <random>

namespace skylarkhitch::test {

struct FakeFleetSettings {
    std::size_t instances = 73;
    std::size_t engines = 60;
    std::size_t domains = 3;
    std::int64_t memoryTokens = 470000;
    std::int64_t slots = 32;
    double tokensPerMillisecond = 101;
    // Age of what an instance knows of the work of others.
    Milliseconds viewAge { 250 };
    // Target latency of all requests.
    Milliseconds targetLatency { 2000 };
    // Whether instances tell each other what engines have read, each 250 ms or with each view.
    bool tellsReads = true;
    // Chooses as an UpstreamBalancer does: a fixed credit at one home for each part.
    bool hasFixedCredit = false;
};

struct FakeResult {
    std::size_t engine = 0;
    std::int64_t found = 0;
    std::int64_t shared = 0;
    Milliseconds firstEvent {};
    bool crossesDomain = false;
    // Work of reading what was not cached.
    double readWork = 0;
    // Engines that refused it before.
    std::size_t refusals = 0;
};

class FakeEngineFleet {
public:
    explicit FakeEngineFleet(FakeFleetSettings);

    // A request arrives at an instance. Times must not decrease.
    FakeResult send(std::size_t instance, const RoutedRequest&, const ModelId&, double modelWeight, TimePoint now);
    // Replaces the process of an engine by a new one with an empty cache.
    void restart(std::size_t engine, TimePoint now);

    PromptPlacement& placement(std::size_t instance) { return m_instances[instance].placement; }
    const std::vector<UpstreamEntry>& engines() const { return m_entries; }
    // All engines, with their whole memory.
    std::vector<PromptCandidate> memories() const;
    std::int64_t runningOn(std::size_t engine, TimePoint now);

private:
    struct Running {
        TimePoint end;
        std::int64_t tokens = 0;
    };
    struct Engine {
        std::list<PromptPrefix> cache;
        std::int64_t cachedTokens = 0;
        TimePoint busyUntil;
        std::vector<Running> running;
    };
    struct Seen {
        double work = 0;
        std::int64_t requests = 0;
        std::int64_t committedTokens = 0;
    };
    struct Instance {
        PromptPlacement placement;
        // Added to the view by its own requests since the view was made.
        std::vector<Seen> own;
    };
    // A first event that has not arrived yet.
    struct Read {
        TimePoint at;
        std::size_t instance = 0;
        PromptRead read;
        bool operator<(const Read& other) const { return at > other.at; }
    };

    void deliverUntil(TimePoint now);
    void refreshView(TimePoint now);
    void exchangeNews(TimePoint now);
    void setFleet(TimePoint now);
    bool isInOtherDomain(std::size_t instance, std::size_t engine) const;
    Seen seenBy(const Instance&, std::size_t engine) const;
    // Reads the prompt; returns the shared tokens that were cached.
    std::int64_t readPrompt(Engine&, const PromptPrefixes&, const RoutedRequest&);

    FakeFleetSettings m_settings;
    std::vector<UpstreamEntry> m_entries;
    std::vector<Engine> m_engines;
    std::vector<Instance> m_instances;
    std::vector<Seen> m_view;
    std::int64_t m_viewNumber = -1;
    std::int64_t m_newsNumber = -1;
    std::priority_queue<Read> m_reads;
    std::mt19937_64 m_random { 7 };
};

}
