// Shows that the checks can fail: each mutation breaks one promise of the core, and a named cell of the matrix catches it.

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
    // One fault, or two that strike together.
    struct At {
        const char* fault;
        Step step;
    };
    std::vector<At> faults;
    // The invariant that must be reported as broken.
    const char* invariant;
};

const Mutation mutations[] = {
    { "no claim before a call", &Mutations::skipClaim, "booking with a key", { { "entry killed, back after 3 s", Step::AttemptSent } }, "at most once" },
    { "a call is sent again after its answer was cut", &Mutations::retryNonIdempotent, "booking with a key", { { "answers cut", Step::AttemptSent } }, "at most once" },
    { "two bills", &Mutations::billTwice, "chat through a cascade", { { "store slow", Step::BillSent } }, "billed once" },
    { "the answer goes out before its bill", &Mutations::releaseBeforeBill, "chat through a cascade", { { "entry cut from peers and store", Step::FirstByte }, { "entry killed, back after 3 s", Step::AnswerReleased } }, "billed once" },
    { "no session pin", &Mutations::dropPin, "streamed chat of a session", { { "operators race", Step::AnswerReleased } }, "session" },
    { "a lower revision is taken", &Mutations::takeLowerRevision, "streamed chat", { { "store goes back to an old configuration", Step::Accepted } }, "revision" },
    { "every refusal says not run", &Mutations::falseNotRun, "booking without a key", { { "answers cut", Step::AttemptSent } }, "true refusal" },
    { "a withdrawn version is used", &Mutations::ignoreWithdrawal, "streamed chat of a session", { { "version withdrawn", Step::Accepted } }, "withdrawn" },
    { "a cut stream ends cleanly", &Mutations::cleanEndAfterCut, "streamed chat", { { "answers cut", Step::FirstByte } }, "whole answer" },
    { "a stop cuts what is in flight", &Mutations::closeOnDrain, "streamed chat", { { "entry drains", Step::FirstByte } }, "graceful stop" },
};

template <typename Table>
std::size_t indexOf(const Table& table, const char* name)
{
    for (std::size_t n = 0; n < table.size(); ++n) {
        if (std::strcmp(table[n].name, name) == 0)
            return n;
    }
    throw std::runtime_error(std::string("no row is named ") + name);
}

std::string violationsOf(const Mutation& it, bool mutated)
{
    Mutations flags;
    flags.*it.flag = mutated;
    std::vector<Strike> strikes;
    for (const auto& at : it.faults)
        strikes.push_back({ indexOf(faultTable(), at.fault), at.step });
    auto run = runSite(requestTable()[indexOf(requestTable(), it.kind)], strikes, 2, flags);
    std::string found;
    for (const auto& violation : checkSite(*run.site))
        found += violation.invariant + ": " + violation.what + "; ";
    return found;
}

}

TEST_CASE("each broken promise is caught by a named cell")
{
    for (const auto& it : mutations) {
        auto whole = violationsOf(it, false);
        auto broken = violationsOf(it, true);
        bool caught = broken.find(std::string(it.invariant) + ":") != std::string::npos;
        std::printf("%-48s %-28s %-42s %-16s %s\n", it.name, it.kind, it.faults.back().fault, nameOf(it.faults.back().step), caught ? "caught" : "NOT CAUGHT");
        INFO(it.name << "; found: " << broken);
        CHECK(whole.empty());
        CHECK(caught);
    }
}
