#pragma once

// Where a cascade starts and whether an answer is checked before it is given, so that the expected cost of an answer
// that meets the quality target is least. Solved backwards over the steps (dynamic programming); the chance that a step's answer
// passes is learned for each team, task and model from ratings (a beta estimate with the configured quality as prior).

#include "core/configuration/configuration.h"

#include <absl/container/flat_hash_map.h>

namespace skylarkhitch {

// One step as the plan sees it.
struct PlanStep {
    VersionId version;
    double passProbability = 1;
    // Expected cost of one attempt.
    double cost = 0;
    // False for a step that can not run now.
    bool usable = true;
};

struct CascadeChoice {
    // Index of the step to run next; steps.size() if none is usable.
    std::size_t step = 0;
    // Whether its answer is to be rated before it is given.
    bool check = false;
    double expectedCost = 0;
};

enum class CascadePolicy { LeastExpectedCost,
    AlwaysLast,
    AlwaysFirst };

// Chooses among the steps from `first` on. The last usable step is never checked: there is nothing after it.
CascadeChoice chooseCascadeStep(const std::vector<PlanStep>&, std::size_t first, double checkCost, CascadePolicy = CascadePolicy::LeastExpectedCost);

// Learned chances that an answer meets the target.
class PassEstimates {
public:
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
