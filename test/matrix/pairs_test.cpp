// Injects pairs of faults sampled by rapidcheck. RC_PARAMS sets the seed and the number of pairs. rapidcheck shrinks a
// failing pair towards the first rows of the tables and prints it with its seed.

#include "matrix/fault_table.h"
#include "matrix/site_checks.h"

#include <cstdio>
#include <rapidcheck.h>

using namespace skylarkhitch;

namespace {

constexpr int steps = 10;

bool hasClaim(std::size_t kind) { return std::string(requestTable()[kind].name) == "booking with a key"; }

bool isCall(std::size_t kind) { return std::string(requestTable()[kind].name).starts_with("booking"); }

// Whether a request of this kind can reach the step; other steps are not sampled.
bool comesTo(std::size_t kind, Step step)
{
    if (step == Step::ClaimSent || step == Step::ClaimCommitted)
        return hasClaim(kind);
    if (step == Step::FirstByte || step == Step::MidStream)
        return !isCall(kind);
    return true;
}

Strike sampleStrike(std::size_t kind)
{
    auto fault = *rc::gen::inRange<std::size_t>(0, faultTable().size());
    auto step = static_cast<Step>(*rc::gen::suchThat(rc::gen::inRange(0, steps), [&](int it) { return comesTo(kind, static_cast<Step>(it)); }));
    return { fault, step };
}

}

int main()
{
    int bothStruck = 0;
    int all = 0;
    bool holds = rc::check("the invariants hold after two faults in one run", [&] {
        auto kind = *rc::gen::inRange<std::size_t>(0, requestTable().size());
        std::vector<Strike> strikes { sampleStrike(kind), sampleStrike(kind) };
        auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        auto run = runSite(requestTable()[kind], strikes, seed);
        ++all;
        bothStruck += run.struck ? 1 : 0;
        for (const auto& it : checkSite(*run.site)) {
            for (const auto& strike : strikes)
                RC_LOG() << requestTable()[kind].name << " | " << faultTable()[strike.fault].name << " at '" << nameOf(strike.step) << "' | seed " << seed << "\n";
            RC_FAIL(it.invariant + ": " + it.what);
        }
    });
    std::printf("pairs: %d run, %d of them with both faults injected\n", all, bothStruck);
    return holds ? 0 : 1;
}
