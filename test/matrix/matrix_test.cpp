#include "matrix/fault_table.h"
#include "matrix/site_checks.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <future>
#include <thread>

using namespace skylarkhitch;

namespace {

constexpr int stepCount = 10;

struct Cell {
    std::size_t kind;
    std::vector<FaultInjection> injections;
    std::uint64_t seed;
};

struct CellResult {
    bool injected = false;
    std::string failure;
};

std::string describe(const Cell& cell)
{
    std::string text = requestKinds()[cell.kind].name;
    for (const auto& it : cell.injections)
        text += std::string(" | ") + faultTable()[it.fault].name + " at '" + nameOf(it.step) + "'";
    return text + " | seed " + std::to_string(cell.seed);
}

CellResult runCell(const Cell& cell)
{
    auto run = runScenario(requestKinds()[cell.kind], cell.injections, cell.seed);
    CellResult result { run.allInjected, {} };
    for (const auto& it : checkSite(*run.site))
        result.failure += "\n    " + it.invariant + ": " + it.what;
    return result;
}

// Runs the cells in parallel, each with its own site. The results are in the order of the cells.
std::vector<CellResult> runCells(const std::vector<Cell>& cells)
{
    std::vector<CellResult> results(cells.size());
    std::atomic<std::size_t> nextCell = 0;
    std::vector<std::future<void>> workers;
    for (unsigned n = 0; n < std::max(1U, std::thread::hardware_concurrency()); ++n) {
        workers.push_back(std::async(std::launch::async, [&] {
            for (auto at = nextCell++; at < cells.size(); at = nextCell++)
                results[at] = runCell(cells[at]);
        }));
    }
    for (auto& it : workers)
        it.get();
    return results;
}

struct Totals {
    int run = 0;
    int notRun = 0;
    int failing = 0;
};

Totals report(const std::vector<Cell>& cells, const std::vector<CellResult>& results)
{
    Totals totals;
    for (std::size_t n = 0; n < cells.size(); ++n) {
        if (!results[n].injected)
            ++totals.notRun;
        else
            ++totals.run;
        if (results[n].failure.empty())
            continue;
        ++totals.failing;
        if (totals.failing <= 20)
            UNSCOPED_INFO("failing: " << describe(cells[n]) << results[n].failure);
    }
    return totals;
}

}

TEST_CASE("every request gets a complete response without faults")
{
    for (const auto& kind : requestKinds()) {
        auto run = runScenario(kind, {}, 3);
        CHECK(checkSite(*run.site).empty());
        for (const auto& it : run.site->callers) {
            INFO(kind.name << ": " << it.request.id.value << " " << it.errorKind());
            CHECK(it.succeeded());
        }
    }
}

TEST_CASE("the invariants hold after every fault at every step")
{
    std::vector<Cell> cells;
    for (std::size_t kind = 0; kind < requestKinds().size(); ++kind)
        for (std::size_t fault = 0; fault < faultTable().size(); ++fault)
            for (int step = 0; step < stepCount; ++step)
                cells.push_back({ kind, { { fault, static_cast<Step>(step) } }, 1 + fault % 3 });
    auto results = runCells(cells);
    auto totals = report(cells, results);
    // A cell is not run if its request never reaches the step; a chat has no claim, for example.
    for (std::size_t kind = 0; kind < requestKinds().size(); ++kind) {
        for (int step = 0; step < stepCount; ++step) {
            int notRun = 0;
            for (std::size_t n = 0; n < cells.size(); ++n)
                notRun += cells[n].kind == kind && static_cast<int>(cells[n].injections[0].step) == step && !results[n].injected ? 1 : 0;
            if (notRun > 0)
                std::printf("not run: %-30s at '%s': %d of %zu faults\n", requestKinds()[kind].name, nameOf(static_cast<Step>(step)), notRun, faultTable().size());
        }
    }
    std::printf("matrix: %d cells run, %d not run, %d failing\n", totals.run, totals.notRun, totals.failing);
    CHECK(totals.failing == 0);
    CHECK(totals.run > 900);
}
