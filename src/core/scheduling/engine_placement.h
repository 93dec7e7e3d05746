#pragma once

// Chooses the engine that is expected to read a request's prompt first, among engines of unlike speed, when many instances choose by
// the same outdated reports.

#include "core/routing/upstream_registry.h"
#include "core/scheduling/engine_memory.h"

#include <array>
#include <optional>
#include <random>

namespace skylarkhitch {

struct EnginePlacementSettings {
    // Load that generating the response to one request adds to an engine, in prompt tokens.
    std::int64_t workPerRequest = 150;
    // Work that one cached token saves.
    double cachedTokenCredit = 3;
    // Penalty for an engine in another failure domain, as extra work, since traffic between domains is charged for.
    std::int64_t crossDomainPenalty = 1500;
    // Fraction of an engine's work that is served before a request of the most urgent rank, since engines admit by rank.
    double urgentWorkFraction = 0.4;
};

// An engine and what is known of it. Work is in prompt tokens of the most expensive model.
struct EngineCandidate {
    const UpstreamEntry* entry = nullptr;
    // Work of prompts that are not read yet.
    std::int64_t unreadWork = 0;
    std::int64_t requests = 0;
    std::int64_t slots = 1;
    // Relative to the mean of the service.
    double speed = 1;
    MemoryCommitment committed;
    // Capacity of the engine's key-value cache, in tokens; 0 if unknown.
    std::int64_t memoryTokens = 0;
    // Tokens of the prompt that the engine has cached, or is likely to have.
    std::int64_t cachedTokens = 0;
    // Work that its cache is worth, see savedWork(); cachedTokenCredit for each cached token if not set.
    std::optional<double> savedWork;
    bool crossesDomain = false;
};

struct PlacementRequest {
    std::int64_t promptTokens = 0;
    // See modelWeight().
    double modelWeight = 1;
    // 0 is the most urgent.
    std::int64_t rank = 0;
    MemoryCommitment memory;
    // Time until the route's target latency.
    Milliseconds timeLeft = Milliseconds::max();
    // Time that an engine of the speed 1 takes per unit of work.
    double millisecondsPerToken = 0.05;
    // Work that other instances are expected to have sent to these engines since the reports that the candidates rest on.
    double unreportedWork = 0;
    // The part of that which has the same engine as this request in preference for its cache, from 0 to 1.
    double unreportedShare = 0;
    // Where the engine is drawn among those with the least work, see EngineDraws; random if not set.
    std::optional<double> drawPosition;
};

// Positions in [0, 1) by which instances draw engines. Those of one instance are evenly spread, and so are those of all instances
// together, so that fewer of them coincide than of random ones. Prompts of similar length have a sequence of their own.
class EngineDraws {
public:
    // The place of this instance among all instances, in an order that is the same for all.
    void setInstance(std::size_t place, std::size_t instances);
    double next(std::int64_t promptTokens);

private:
    static constexpr std::size_t lengthClasses = 16;

    double m_offset = 0;
    std::array<double, lengthClasses> m_positions {};
};

// The choice, with the figures that it rests on.
struct Placement {
    // Null if there is no candidate.
    const UpstreamEntry* entry = nullptr;
    // Work ahead of the request on the chosen engine over its speed, with the unreported work that is expected there.
    double workAhead = 0;
    double speed = 1;
    std::int64_t cachedTokens = 0;
    Milliseconds expectedFirstEvent {};
    // Candidates that were left out since the request does not fit their memory.
    std::size_t withoutMemory = 0;
    // The request was placed on one of these, since no other was expected to answer in time.
    bool exceedsMemory = false;
};

Placement placeOnEngine(const std::vector<EngineCandidate>&, const PlacementRequest&, const EnginePlacementSettings&, std::mt19937_64& random);

}
