#pragma once

// The table of faults that the matrix injects. Each fault also schedules its own recovery, if it has one.

#include "fakes/simulated_site.h"

namespace skylarkhitch {

// Where in the site a fault is injected.
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
    // Index in faultTable().
    std::size_t fault = 0;
    Step step = Step::Accepted;
};

struct ScenarioResult {
    // False if the watched request did not reach the step of some fault.
    bool allInjected = true;
    std::unique_ptr<SimulatedSite> site;
};

// Runs a site with a watched request among others and injects each fault the first time that its step is reached.
ScenarioResult runScenario(const RequestKind&, const std::vector<FaultInjection>&, std::uint64_t seed, const Mutations& = {});

}
