#pragma once

// Checks the required invariants against what callers, upstreams and the store observed.

#include "fakes/simulated_site.h"

namespace skylarkhitch {

struct Violation {
    std::string invariant;
    // Describes how the invariant was violated.
    std::string what;
};

std::vector<Violation> checkSite(const SimulatedSite&);

}
