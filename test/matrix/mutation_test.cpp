// Verifies that the checks can fail: each mutation breaks one guarantee of the core and must be detected by a given cell of
// the matrix.

#include "matrix/fault_table.h"
#include "matrix/site_checks.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstring>

using namespace skylarkhitch;

namespace {

struct Mutation {
    const char* name;
    bool Mutations::*flag;
    const char* kind;
    // One fault, or two in the same run.
    struct FaultAtStep {
        const char* fault;
        Step step;
    };
    std::vector<FaultAtStep> faults;
    // The invariant that checkSite must report as violated.
    const char* invariant;
};

const Mutation mutations[] = {
    { "no claim before a call", &Mutations::skipClaim, "booking with a key", { { "entry killed, restarted after 3 s", Step::AttemptSent } }, "at most once" },
    { "a call is retried after its response was cut", &Mutations::retryNonIdempotent, "booking with a key", { { "responses cut", Step::AttemptSent } }, "at most once" },
    { "a request is billed twice", &Mutations::billTwice, "chat through a cascade", { { "store slow", Step::BillSent } }, "billed once" },
    { "the response is released before its bill", &Mutations::releaseBeforeBill, "chat through a cascade", { { "entry partitioned from peers and store", Step::FirstByte }, { "entry killed, restarted after 3 s", Step::AnswerReleased } }, "billed once" },
    { "no session pin", &Mutations::dropPin, "streamed chat of a session", { { "concurrent edits", Step::AnswerReleased } }, "session" },
    { "a lower revision is accepted", &Mutations::takeLowerRevision, "streamed chat", { { "store reverts to an old configuration", Step::Accepted } }, "revision" },
    { "every refusal reports not run", &Mutations::falseNotRun, "booking without a key", { { "responses cut", Step::AttemptSent } }, "accurate refusal" },
    { "a withdrawn version is used", &Mutations::ignoreWithdrawal, "streamed chat of a session", { { "version withdrawn", Step::Accepted } }, "withdrawn" },
    { "a cut stream ends cleanly", &Mutations::cleanEndAfterCut, "streamed chat", { { "responses cut", Step::FirstByte } }, "complete response" },
    { "a stop cuts requests in flight", &Mutations::closeOnDrain, "streamed chat", { { "entry drains", Step::FirstByte } }, "graceful stop" },
};

template <typename Table>
std::size_t indexOf(const Table& table, const char* name)
{
    for (std::size_t n = 0; n < table.size(); ++n) {
        if (std::strcmp(table[n].name, name) == 0)
            return n;
    }
    throw std::runtime_error(std::string("no table row is named ") + name);
}

std::string violationsOf(const Mutation& it, bool mutated)
{
    Mutations flags;
    flags.*it.flag = mutated;
    std::vector<FaultInjection> injections;
    for (const auto& at : it.faults)
        injections.push_back({ indexOf(faultTable(), at.fault), at.step });
    auto run = runScenario(requestKinds()[indexOf(requestKinds(), it.kind)], injections, 2, flags);
    std::string found;
    for (const auto& violation : checkSite(*run.site))
        found += violation.invariant + ": " + violation.what + "; ";
    return found;
}

}

TEST_CASE("each mutation is detected by its cell")
{
    for (const auto& it : mutations) {
        auto baselineViolations = violationsOf(it, false);
        auto mutantViolations = violationsOf(it, true);
        bool detected = mutantViolations.find(std::string(it.invariant) + ":") != std::string::npos;
        std::printf("%-48s %-28s %-42s %-16s %s\n", it.name, it.kind, it.faults.back().fault, nameOf(it.faults.back().step), detected ? "detected" : "NOT DETECTED");
        INFO(it.name << "; found: " << mutantViolations);
        CHECK(baselineViolations.empty());
        CHECK(detected);
    }
}
