#pragma once

// Which engines are the homes of a prompt prefix: the first ones in the order of rendezvous hashing of prefix and engine, which all
// instances agree on without messages. A prefix that many requests ask for gets more homes, and loses them when it cools down.

#include "core/routing/upstream_registry.h"
#include "core/scheduling/decaying_sum.h"
#include "core/scheduling/generation_table.h"
#include "core/scheduling/prompt_memory.h"

#include <vector>

namespace skylarkhitch {

class PromptHomes {
public:
    // Bound of what is stored, see GenerationTable.
    static constexpr std::size_t maxPrefixesPerGeneration = 4096;
    // Part of an engine's fair share of work that one prefix may have there before it gets another home.
    static constexpr double maxEngineFraction = 0.5;
    // Homes are taken away only when there are too many by this number.
    static constexpr double shrinkMargin = 1.5;

    // Records a request with these prefixes, and the work that its prompt is, and updates the number of homes of the longest prefix
    // among so many engines.
    void recordRequest(const PromptPrefixes&, double work, std::size_t engines, TimePoint now);
    // Number of homes according to the last request; 1 if the prefix is not known.
    std::size_t homeCount(const PromptPrefix&) const;
    // Requests of this instance per second that had the prefix.
    double requestsPerSecond(const PromptPrefix&, TimePoint now) const;

private:
    struct Heat {
        DecayingSum requests;
        // Of the requests with it as their longest prefix.
        DecayingSum work;
        std::size_t homes = 1;
    };

    GenerationTable<Heat> m_prefixes { maxPrefixesPerGeneration };
    // Of all requests.
    DecayingSum m_totalWork;
};

// For each engine its position in the rendezvous order of the prefix, or `count` if that is not below it. Engines for which
// `isCandidate` is false have no position.
std::vector<std::size_t> homeRanks(const PromptPrefix&, const std::vector<const UpstreamEntry*>& engines, const std::vector<bool>& isCandidate, std::size_t count);

}
