#pragma once

// The faults of the brief as a table: what each does to a site, and how it heals.

#include "fakes/simulated_site.h"

namespace skylarkhitch {

// Where a fault strikes.
struct FaultPlace {
    // The entry that has the watched request.
    std::size_t entry = 0;
};

struct Fault {
    const char* name;
    void (*strike)(SimulatedSite&, const FaultPlace&);
};

const std::vector<Fault>& faultTable();

// The kinds of request that the matrix sends.
struct RequestKind {
    const char* name;
    CallerRequest (*make)(int seed);
};

const std::vector<RequestKind>& requestTable();

// One run: a watched request among others, with faults at steps. Returns whether every fault struck.
struct Strike {
    std::size_t fault = 0;
    Step step = Step::Accepted;
};

struct RunResult {
    bool struck = true;
    std::unique_ptr<SimulatedSite> site;
};

RunResult runSite(const RequestKind&, const std::vector<Strike>&, std::uint64_t seed, const Mutations& = {});

}
