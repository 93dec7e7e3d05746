// Compares the router's decision policies with baselines under load and faults, in virtual time with at least ten seeds for each
// case. Prints one line for each case and policy: the median over the seeds, with the minimum and the maximum.

#include "core/hashing.h"
#include "fakes/simulated_site.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <future>
#include <thread>

using namespace skylarkhitch;

namespace {

constexpr int seedCount = 10;
constexpr Milliseconds warmUp { 3000 };
constexpr int loadSeconds = 30;
constexpr std::int64_t responseTokens = 50;
constexpr Milliseconds timePerToken { 20 };
constexpr std::size_t slotsPerWorker = 8;
constexpr int smallWorkers = 7;
constexpr int largeWorkers = 3;
// Requests per second that all workers together can run, including the second attempts of cascades.
constexpr double capacity = 50;
constexpr int teamCount = 10;
constexpr double qualityTarget = 0.7;

struct Policy {
    const char* name;
    AdmissionPolicy admission;
    CascadePolicy cascade;
    ChoicePolicy choice;
};

const Policy policies[] = {
    { "default", AdmissionPolicy::RankAndTeam, CascadePolicy::LeastExpectedCost, ChoicePolicy::RoundRobin },
    { "first in, first out", AdmissionPolicy::FirstInFirstOut, CascadePolicy::LeastExpectedCost, ChoicePolicy::RoundRobin },
    { "always the best model", AdmissionPolicy::RankAndTeam, CascadePolicy::AlwaysLast, ChoicePolicy::RoundRobin },
    { "two choices", AdmissionPolicy::RankAndTeam, CascadePolicy::LeastExpectedCost, ChoicePolicy::PowerOfTwoChoices },
};

// A stream of requests with exponentially distributed intervals.
struct Arrivals {
    double perSecond = 0;
    int rank = 0;
    // -1 selects a random team for each request.
    int team = -1;
    const char* target = "small";
};

struct Case {
    const char* name;
    std::vector<Arrivals> arrivals;
    void (*injectFault)(SimulatedSite&);
    Milliseconds loadLag { 0 };
};

const char* rankNames[] = { "urgent", "standard", "later" };

// The standard mix of ranks at a fraction of the capacity.
std::vector<Arrivals> standardMix(double fraction)
{
    return { { capacity * fraction * 0.2, 0 }, { capacity * fraction * 0.4, 1 }, { capacity * fraction * 0.4, 2 } };
}

std::vector<Arrivals> withExtra(std::vector<Arrivals> base, const Arrivals& more)
{
    base.push_back(more);
    return base;
}

void injectNothing(SimulatedSite&) { }

void failSmallWorkers(SimulatedSite& site)
{
    site.after(Seconds(8), [&site] {
        for (auto& [id, it] : site.upstreams) {
            if (id.value[0] == 's')
                it.errorsToReturn = 1000000;
        }
    });
}

void crashWorkers(SimulatedSite& site)
{
    for (int n = 0; n < 3; ++n) {
        site.after(Seconds(6 + 4 * n), [&site, n] {
            UpstreamId id { "s" + std::to_string(n) };
            site.crash(id);
            site.after(Seconds(6), [&site, id] { site.upstreams[id].down = false; });
        });
    }
}

void dropHalfOfPeerMessages(SimulatedSite& site) { site.peerLoss = 0.5; }

void lowerSmallModelQuality(SimulatedSite& site)
{
    site.after(Seconds(8), [&site] { site.versionQuality[{ "small-1" }] = 0.15; });
}

const std::vector<Case>& cases()
{
    static const std::vector<Case> list {
        { "steady, 0.6 of capacity", standardMix(0.6), &injectNothing },
        { "steady cascade, 0.4 of capacity", { { capacity * 0.4, 1, -1, "draft" } }, &injectNothing },
        { "flood of the lowest rank, 10 times", withExtra(standardMix(0.6), { capacity * 10, 2 }), &injectNothing },
        { "flood of the most urgent rank, 10 times", withExtra(standardMix(0.6), { capacity * 10, 0 }), &injectNothing },
        { "one team asks for 20 times its share", withExtra(standardMix(0.6), { capacity * 2, 1, 0 }), &injectNothing },
        { "load 1.5 times capacity", standardMix(1.5), &injectNothing },
        { "load reports 5 s late", standardMix(0.6), &injectNothing, Milliseconds(5000) },
        { "half of the heartbeats lost", standardMix(0.6), &dropHalfOfPeerMessages },
        { "workers crash and come back", standardMix(0.6), &crashWorkers },
        { "a patch raises errors, cascade", { { capacity * 0.4, 1, -1, "draft" } }, &failSmallWorkers },
        { "a patch lowers quality, cascade", { { capacity * 0.4, 1, -1, "draft" } }, &lowerSmallModelQuality },
        { "flood of the lowest rank and half of the heartbeats lost", withExtra(standardMix(0.6), { capacity * 10, 2 }), &dropHalfOfPeerMessages },
    };
    return list;
}

std::string keyDigest(int team) { return absl::StrFormat("%064x", team + 1); }

std::string siteConfiguration()
{
    std::string text = R"(ranks:
  urgent: { order: 0, deadline_ms: 5000, guaranteed_share: 0.3 }
  standard: { order: 1, deadline_ms: 10000, guaranteed_share: 0.2 }
  later: { order: 2, deadline_ms: 20000, guaranteed_share: 0.1 }
models:
  small: { current: small-1 }
  large: { current: large-1 }
versions:
  small-1: { model: small, cost_per_input_token: 1, cost_per_output_token: 2, quality: 0.75 }
  large-1: { model: large, cost_per_input_token: 10, cost_per_output_token: 20, quality: 0.95 }
cascades:
  draft: { steps: [small, large], quality_target: 0.7 }
limits: { rated_share: 0.1 }
teams:
)";
    for (int n = 0; n < teamCount; ++n)
        absl::StrAppend(&text, "  team-", n, ": { key_sha256: ['", keyDigest(n), "'], models: [small, large], cascades: [draft] }\n");
    text += "upstreams:\n";
    for (int n = 0; n < smallWorkers + largeWorkers; ++n) {
        bool isSmall = n < smallWorkers;
        absl::StrAppend(&text, "  ", isSmall ? "s" : "l", n, ": { address: \"10.0.0.", n + 1, ":1\", domain: d", n % 3, ", version: ", isSmall ? "small-1" : "large-1", ", slots: ", slotsPerWorker, ", tokens_per_second: 50 }\n");
    }
    return text;
}

// The rating of a response depends on the request and the version only, so that the cost of an ideal choice can be computed.
double ratingOf(const SimulatedSite& site, const RequestId& request, const VersionId& version)
{
    double passes = version.value == "large-1" ? 0.95 : site.versionQuality.at(version);
    return unitHash(request.value, version.value) < passes ? 0.9 : 0.4;
}

void scheduleArrival(SimulatedSite& site, const Arrivals& arrivals, std::shared_ptr<std::mt19937_64> random, TimePoint end)
{
    std::exponential_distribution<double> gap(arrivals.perSecond);
    site.after(Milliseconds(1 + static_cast<int>(gap(*random) * 1000)), [&site, arrivals, random, end] {
        if (site.now() >= end)
            return;
        auto request = chatRequest(arrivals.target, false);
        request.rank = rankNames[arrivals.rank];
        request.maxTokens = responseTokens;
        auto team = arrivals.team >= 0 ? arrivals.team : static_cast<int>((*random)() % teamCount);
        request.keyDigest = keyDigest(team);
        site.send((*random)() % 8, request);
        scheduleArrival(site, arrivals, random, end);
    });
}

struct Metrics {
    double costPerAccepted = 0;
    double oracleRatio = 0;
    double p99[3] {};
    double goodput[3] {};
    double totalGoodput = 0;
    double otherTeamGoodput = 0;
    double jainIndex = 0;
    double refusalP50 = 0;
    double lateRefusalShare = 0;
    double lateRunsOnSmall = 0;
    double retriesPerRequest = 0;
};

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

int indexOf(const std::string& rank)
{
    return static_cast<int>(std::find(std::begin(rankNames), std::end(rankNames), rank) - std::begin(rankNames));
}

int teamOf(const CallerRequest& request) { return static_cast<int>(std::stol(request.keyDigest.substr(56), nullptr, 16)) - 1; }

Metrics computeMetrics(const SimulatedSite& site)
{
    Metrics metrics;
    std::vector<double> times[3];
    std::vector<double> refusals;
    std::vector<double> goodputByTeam(teamCount, 0);
    double cost = 0;
    double oracleCost = 0;
    int acceptedCount = 0;
    for (const auto& it : site.callers) {
        auto ms = std::chrono::duration<double, std::milli>(it.endedAt.value_or(site.now()) - it.sentAt).count();
        if (!it.succeeded()) {
            refusals.push_back(ms);
            continue;
        }
        auto rank = indexOf(it.request.rank);
        times[rank].push_back(ms);
        ++metrics.goodput[rank];
        goodputByTeam[static_cast<std::size_t>(teamOf(it.request))] += 1;
        cost += static_cast<double>(it.head.cost);
        bool meetsTarget = ratingOf(site, it.request.id, { it.head.version }) >= qualityTarget;
        acceptedCount += meetsTarget ? 1 : 0;
        bool smallModelSuffices = ratingOf(site, it.request.id, { "small-1" }) >= qualityTarget;
        oracleCost += smallModelSuffices ? 20 + 2 * responseTokens : 200 + 20 * responseTokens;
    }
    for (int rank = 0; rank < 3; ++rank) {
        metrics.p99[rank] = percentile(times[rank], 0.99);
        metrics.goodput[rank] /= loadSeconds;
        metrics.totalGoodput += metrics.goodput[rank];
    }
    metrics.costPerAccepted = acceptedCount > 0 ? cost / acceptedCount : 0;
    metrics.oracleRatio = oracleCost > 0 ? cost / oracleCost : 0;
    double sum = 0;
    double squares = 0;
    for (int n = 1; n < teamCount; ++n) {
        sum += goodputByTeam[static_cast<std::size_t>(n)];
        squares += goodputByTeam[static_cast<std::size_t>(n)] * goodputByTeam[static_cast<std::size_t>(n)];
    }
    metrics.otherTeamGoodput = sum / (teamCount - 1) / loadSeconds;
    metrics.jainIndex = squares > 0 ? sum * sum / ((teamCount - 1) * squares) : 0;
    metrics.refusalP50 = percentile(refusals, 0.5);
    auto late = std::count_if(refusals.begin(), refusals.end(), [](double ms) { return ms > 50; });
    metrics.lateRefusalShare = refusals.empty() ? 0 : static_cast<double>(late) / static_cast<double>(refusals.size());
    double lateRuns = 0;
    for (const auto& run : site.runs)
        lateRuns += run.version.value == "small-1" && run.at > TimePoint { Seconds(1000000) } + warmUp + Seconds(8) ? 1 : 0;
    metrics.lateRunsOnSmall = lateRuns;
    metrics.retriesPerRequest = static_cast<double>(site.retries) / static_cast<double>(std::max<std::size_t>(1, site.callers.size()));
    return metrics;
}

Metrics runCase(const Case& it, const Policy& policy, std::uint64_t seed)
{
    SimulatedSite::Options options { .entries = 8, .seed = seed, .configuration = siteConfiguration() };
    options.admission = policy.admission;
    options.cascade = policy.cascade;
    options.choice = policy.choice;
    options.loadLag = it.loadLag;
    SimulatedSite site(options);
    site.rating = [&site](const RequestId& request, const VersionId& version) { return ratingOf(site, request, version); };
    for (auto& [id, upstream] : site.upstreams) {
        upstream.slots = slotsPerWorker;
        upstream.perToken = timePerToken;
    }
    site.run(warmUp);
    it.injectFault(site);
    auto random = std::make_shared<std::mt19937_64>(seed);
    for (const auto& arrivals : it.arrivals)
        scheduleArrival(site, arrivals, random, site.now() + Seconds(loadSeconds));
    site.run(Seconds(loadSeconds + 25));
    return computeMetrics(site);
}

// Formats the median, minimum and maximum over the seeds.
std::string formatSpread(const std::vector<Metrics>& all, const std::function<double(const Metrics&)>& metric, const char* format)
{
    std::vector<double> values;
    for (const auto& it : all)
        values.push_back(metric(it));
    std::sort(values.begin(), values.end());
    char buf[96];
    std::snprintf(buf, sizeof buf, format, values[values.size() / 2], values.front(), values.back());
    return buf;
}

void printCase(const Case& it, const Policy& policy, const std::vector<Metrics>& all)
{
    const char* ms = "%.0f (%.0f..%.0f)";
    std::printf("%-56s %-22s cost/good %s cost/oracle %s | p99 ms urgent %s standard %s later %s | goodput/s %s: %s %s %s | goodput/s of each other team %s Jain %s | refusal p50 ms %s, share after 50 ms %s | runs on small-1 after 8 s %s | retries per request %s\n",
        it.name, policy.name, formatSpread(
                                  all, [](const auto& f) { return f.costPerAccepted; }, ms)
                                  .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.oracleRatio; }, "%.2f (%.2f..%.2f)")
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.p99[0]; }, ms)
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.p99[1]; }, ms)
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.p99[2]; }, ms)
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.totalGoodput; }, "%.1f (%.1f..%.1f)")
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.goodput[0]; }, "%.1f (%.1f..%.1f)")
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.goodput[1]; }, "%.1f (%.1f..%.1f)")
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.goodput[2]; }, "%.1f (%.1f..%.1f)")
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.otherTeamGoodput; }, "%.2f (%.2f..%.2f)")
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.jainIndex; }, "%.3f (%.3f..%.3f)")
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.refusalP50; }, ms)
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.lateRefusalShare; }, "%.3f (%.3f..%.3f)")
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.lateRunsOnSmall; }, "%.0f (%.0f..%.0f)")
            .c_str(),
        formatSpread(
            all, [](const auto& f) { return f.retriesPerRequest; }, "%.4f (%.4f..%.4f)")
            .c_str());
}

}

// An optional argument selects the cases whose names contain it.
int main(int argc, char** argv)
{
    std::string filter = argc > 1 ? argv[1] : "";
    for (const auto& it : cases()) {
        if (std::string(it.name).find(filter) == std::string::npos)
            continue;
        for (const auto& policy : policies) {
            // The cascade policy has no effect in cases without a cascade.
            bool hasCascade = it.arrivals.front().target == std::string("draft");
            if (policy.cascade == CascadePolicy::AlwaysLast && !hasCascade)
                continue;
            std::vector<Metrics> all(seedCount);
            std::atomic<int> next = 0;
            std::vector<std::future<void>> workers;
            for (unsigned n = 0; n < std::max(1U, std::thread::hardware_concurrency()); ++n) {
                workers.push_back(std::async(std::launch::async, [&] {
                    for (int at = next++; at < seedCount; at = next++)
                        all[static_cast<std::size_t>(at)] = runCase(it, policy, static_cast<std::uint64_t>(at) + 1);
                }));
            }
            for (auto& worker : workers)
                worker.get();
            printCase(it, policy, all);
            std::fflush(stdout);
        }
    }
    return 0;
}
