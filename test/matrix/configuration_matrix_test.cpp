// Injects every fault at every step of a configuration edit.

#include "matrix/fault_table.h"
#include "matrix/site_checks.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace skylarkhitch;

namespace {

constexpr int stepCount = 5;
constexpr Seconds changePropagationLimit { 16 };

struct EditRun {
    bool injected = false;
    std::unique_ptr<SimulatedSite> site;
};

EditRun runEdit(const Fault& fault, ConfigurationStep at, std::uint64_t seed)
{
    EditRun run;
    run.site = std::make_unique<SimulatedSite>(SimulatedSite::Options { .entries = 3, .seed = seed });
    auto& site = *run.site;
    site.run(Milliseconds(3000));
    FaultTarget target { static_cast<std::size_t>(seed % 3) };
    site.watchedRequest = { "r1" };
    site.onConfigurationStep = [&](ConfigurationStep step) {
        if (run.injected || step != at)
            return;
        run.injected = true;
        fault.inject(site, target);
    };
    site.edit(target.entry, sampleConfiguration() + "rollouts:\n  small: { from: small-1, to: small-2, share: 1 }\n", 1);
    site.run(Milliseconds(25000));
    site.onConfigurationStep = nullptr;
    for (std::size_t n = 0; n < 3; ++n)
        site.restart(n);
    site.run(changePropagationLimit + Seconds(4));
    return run;
}

// Checks the invariants of edits in addition to those of checkSite.
std::string checkEdit(SimulatedSite& site)
{
    std::string failures;
    for (const auto& it : checkSite(site))
        failures += it.invariant + ": " + it.what + "; ";
    for (const auto& it : site.edits) {
        bool accepted = !it.ec;
        bool inHistory = false;
        for (const auto& note : site.newestDocument.history)
            inHistory = inHistory || note.editId == "edit-" + std::to_string(it.ticket);
        if (accepted && !inHistory)
            failures += "an accepted edit is lost; ";
        if (kindOf(it.ec) == ErrorKind::EditConflict && inHistory)
            failures += "an edit that took effect was reported as a conflict; ";
    }
    for (std::size_t n = 0; n < 3; ++n) {
        if (site.alive(n) && site.router(n).configManager().revision() != site.newestDocument.revision)
            failures += "entry " + std::to_string(n) + " is at revision " + std::to_string(site.router(n).configManager().revision()) + " of " + std::to_string(site.newestDocument.revision) + "; ";
    }
    return failures;
}

}

TEST_CASE("all entries converge on one configuration after any fault at any step of an edit")
{
    int run = 0;
    int notRun = 0;
    int failing = 0;
    for (const auto& fault : faultTable()) {
        for (int step = 0; step < stepCount; ++step) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                auto result = runEdit(fault, static_cast<ConfigurationStep>(step), seed);
                ++(result.injected ? run : notRun);
                auto failures = checkEdit(*result.site);
                failing += failures.empty() ? 0 : 1;
                INFO(fault.name << " at '" << nameOf(static_cast<ConfigurationStep>(step)) << "' seed " << seed << ": " << failures);
                CHECK(failures.empty());
            }
        }
    }
    std::printf("configuration matrix: %d cells run, %d not run, %d failing\n", run, notRun, failing);
}
