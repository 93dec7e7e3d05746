#pragma once

// The table of faults that the matrix injects. Each fault also schedules its own recovery, if it has one.

#include "fakes/simulated_site.h"

namespace skylarkhitch {

// The part of the site that a fault affects.
struct FaultTarget {
    // The entry that received the watched request.
    std::size_t entry = 0;
};

struct Fault {
    const char* name;
    void (*inject)(SimulatedSite&, const FaultTarget&);
};

const std::vector<Fault>& faultTable();

// The kinds of request that the matrix sends.
struct RequestKind {
    const char* name;
    CallerRequest (*make)(int seed);
};

const std::vector<RequestKind>& requestKinds();

// A fault that is injected when the watched request reaches a step.
struct FaultInjection {
    std::size_t fault = 0;
    Step step = Step::Accepted;
};

struct ScenarioResult {
    // Whether every fault was injected: its step may never be reached.
    bool allInjected = true;
    std::unique_ptr<SimulatedSite> site;
};

// Runs a site with a watched request among others and injects the given faults.
ScenarioResult runScenario(const RequestKind&, const std::vector<FaultInjection>&, std::uint64_t seed, const Mutations& = {});

}
