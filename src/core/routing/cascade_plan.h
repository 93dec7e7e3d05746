#pragma once

// Chooses the step of a cascade to run next, and whether its response is rated before it is returned, to minimize the expected
// cost of a response that meets the quality target. Solved backwards over the steps by dynamic programming. The probability
// that a step's response passes is estimated per team, task and version from ratings, as the mean of a beta distribution whose
// prior is the configured quality.

#include "core/configuration/configuration.h"

#include <absl/container/flat_hash_map.h>

namespace skylarkhitch {

// One step of a cascade, as input to the choice.
struct PlanStep {
    VersionId version;
    // Estimated probability that the response meets the quality target.
    double passProbability = 1;
    // Expected cost of one attempt.
    double cost = 0;
    // False if the step cannot run now.
    bool usable = true;
};

struct CascadeChoice {
    // Index of the step to run next, or steps.size() if none is usable.
    std::size_t step = 0;
    // Whether the response must be rated before it is returned.
    bool check = false;
    // Expected cost of this step, its check and the later steps that may follow.
    double expectedCost = 0;
};

// AlwaysLast and AlwaysFirst choose the last or the first usable step and never check its response.
enum class CascadePolicy { LeastExpectedCost,
    AlwaysLast,
    AlwaysFirst };

// Chooses among the steps from `first` on; `checkCost` is the cost of one rating. The response of the last usable step is never
// checked, since no step follows it.
CascadeChoice chooseCascadeStep(const std::vector<PlanStep>&, std::size_t first, double checkCost, CascadePolicy = CascadePolicy::LeastExpectedCost);

// Estimated probabilities that a response meets the quality target.
class PassEstimates {
public:
    // `prior` is the estimate without any ratings.
    double passProbability(const TeamId&, const std::string& task, const VersionId&, double prior) const;
    void observe(const TeamId&, const std::string& task, const VersionId&, bool passed);

private:
    struct Counts {
        double passed = 0;
        double failed = 0;
    };
    static std::string keyOf(const TeamId&, const std::string& task, const VersionId&);
    absl::flat_hash_map<std::string, Counts> m_counts;
};

}
