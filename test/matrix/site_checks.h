#pragma once

// The invariants of the brief, checked on what callers, upstreams and the store saw.

#include "fakes/simulated_site.h"

namespace skylarkhitch {

// One broken invariant.
struct Violation {
    std::string invariant;
    std::string what;
};

std::vector<Violation> checkSite(const SimulatedSite&);

}
