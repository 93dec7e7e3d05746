// Injects pairs of faults sampled by rapidcheck. RC_PARAMS sets the seed and the number of pairs. rapidcheck shrinks a
// failing pair towards the first rows of the tables and prints it with its seed.

#include "matrix/fault_table.h"
#include "matrix/site_checks.h"

#include <cstdio>
#include <rapidcheck.h>

using namespace skylarkhitch;

namespace {

constexpr int stepCount = 10;

bool hasClaim(std::size_t kind) { return std::string(requestKinds()[kind].name) == "booking with a key"; }

bool isCall(std::size_t kind) { return std::string(requestKinds()[kind].name).starts_with("booking"); }

// Whether a request of this kind can reach the step; other steps are not sampled.
bool canReach(std::size_t kind, Step step)
{
    if (step == Step::ClaimSent || step == Step::ClaimCommitted)
        return hasClaim(kind);
    if (step == Step::FirstByte || step == Step::MidStream)
        return !isCall(kind);
    return true;
}

FaultInjection sampleInjection(std::size_t kind)
{
    auto fault = *rc::gen::inRange<std::size_t>(0, faultTable().size());
    auto step = static_cast<Step>(*rc::gen::suchThat(rc::gen::inRange(0, stepCount), [&](int it) { return canReach(kind, static_cast<Step>(it)); }));
    return { fault, step };
}

}

int main()
{
    int bothInjected = 0;
    int runCount = 0;
    bool passed = rc::check("the invariants hold after two faults in one run", [&] {
        auto kind = *rc::gen::inRange<std::size_t>(0, requestKinds().size());
        std::vector<FaultInjection> injections { sampleInjection(kind), sampleInjection(kind) };
        auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        auto run = runScenario(requestKinds()[kind], injections, seed);
        ++runCount;
        bothInjected += run.allInjected ? 1 : 0;
        for (const auto& it : checkSite(*run.site)) {
            for (const auto& injection : injections)
                RC_LOG() << requestKinds()[kind].name << " | " << faultTable()[injection.fault].name << " at '" << nameOf(injection.step) << "' | seed " << seed << "\n";
            RC_FAIL(it.invariant + ": " + it.what);
        }
    });
    std::printf("pairs: %d run, %d of them with both faults injected\n", runCount, bothInjected);
    return passed ? 0 : 1;
}
