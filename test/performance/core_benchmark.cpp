// Benchmarks the CPU time of the core's decisions and message encoding at several sizes, and the memory of its state.

#include "core/ledger/ledger_shard.h"
#include "core/limits/admission.h"
#include "core/membership/fleet_membership.h"
#include "core/membership/membership.h"
#include "core/rollout/version_evidence.h"
#include "core/routing/session_pins.h"
#include "core/routing/upstream_balancer.h"
#include "core/routing/upstream_table.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace skylarkhitch;

namespace {

const TimePoint start { Seconds(1000) };

ConfigurationPtr makeConfiguration(int upstreams, int versions)
{
    auto configuration = std::make_shared<Configuration>();
    for (int n = 0; n < versions; ++n) {
        VersionId id { "version-" + std::to_string(n) };
        configuration->versions[id] = { .id = id, .model = { "m" } };
    }
    for (int n = 0; n < upstreams; ++n) {
        UpstreamId id { "upstream-" + std::to_string(n) };
        configuration->upstreams[id] = { .id = id, .address = "10.0.0.1:1", .domain = { "d" + std::to_string(n % 6) }, .version = { "version-" + std::to_string(n % versions) } };
    }
    return configuration;
}

// Chooses an upstream, then starts and ends an attempt on it.
void chooseUpstream(benchmark::State& state)
{
    UpstreamTable table({ "d0" }, {}, 1);
    auto configuration = makeConfiguration(static_cast<int>(state.range(0)), 7);
    table.configure(configuration);
    Outbox out;
    UpstreamRequirements requirements { .version = { "version-3" } };
    for (auto _ : state) {
        auto id = table.choose(requirements, start);
        table.attemptStarted(*id);
        table.attemptEnded(*id, AttemptEnd::Completed, start, out);
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(chooseUpstream)->Arg(10)->Arg(100)->Arg(455)->Arg(910)->Complexity();

Heartbeat makeHeartbeat(int upstreams)
{
    Heartbeat heartbeat { .domain = { "d0" }, .entryAddress = "10.0.0.1:8080", .revision = 9, .sequence = 1 };
    for (int n = 0; n < upstreams; ++n)
        heartbeat.upstreams[{ "upstream-" + std::to_string(n) }] = { n % 8, 100000 + n, n % 50, 0 };
    for (int n = 0; n < 7; ++n)
        heartbeat.versions[{ "version-" + std::to_string(n) }] = { 100000, 50, 10000, 8000000 };
    return heartbeat;
}

// Encodes a heartbeat, decodes it and applies it to the state of the receiver.
void takeHeartbeat(benchmark::State& state)
{
    UpstreamTable table({ "d0" }, {}, 1);
    auto configuration = makeConfiguration(910, 7);
    table.configure(configuration);
    VersionEvidence evidence;
    evidence.configure(configuration);
    Membership membership({ { "self" }, 1 }, { "d0" }, "a", {});
    Outbox out;
    auto heartbeat = makeHeartbeat(static_cast<int>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state) {
        ++heartbeat.sequence;
        auto frame = encodeEnvelope({ { { "peer" }, 1 }, heartbeat });
        bytes = frame.size();
        auto envelope = decodeEnvelope(frame);
        const auto& received = std::get<Heartbeat>(envelope->message);
        membership.onHeartbeat(envelope->from, received, start, out);
        table.learn(envelope->from.instance, received.upstreams);
        evidence.learn(envelope->from, received.versions, start, out);
        out.clear();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.SetComplexityN(state.range(0));
}
BENCHMARK(takeHeartbeat)->Arg(10)->Arg(100)->Arg(455)->Arg(910)->Complexity();

// Chooses one of so many engines for a prompt with a shared part, with estimates or without, and counts the attempt.
void chooseEngine(benchmark::State& state)
{
    auto engines = static_cast<int>(state.range(0));
    UpstreamBalancer balancer(7, { .usesEngineEstimates = state.range(1) != 0 });
    std::vector<UpstreamEntry> entries;
    for (int n = 0; n < engines; ++n)
        entries.push_back({ .id = { "upstream-" + std::to_string(n) }, .service = { "assist" }, .domain = { "d" + std::to_string(n % 6) }, .slots = 64, .born = 1 });
    absl::flat_hash_map<UpstreamId, UpstreamWork> work;
    for (const auto& it : entries) {
        balancer.recordFirstEvent(it, { "large" }, { 20000, 4000, Milliseconds(300) }, start);
        work[it.id] = { 3, 24000, { 60000, 90000 }, { -2, 12 } };
    }
    balancer.setPeerWork(work, start);
    RoutedService service { { "assist" }, "/", 0, EngineProfile { 64, 400000, 1, {} } };
    RoutedRequest request;
    request.promptTokens = 12000;
    request.promptParts = { { "shared", 5000 }, { "own", 7000 } };
    std::vector<UpstreamId> tried;
    UpstreamQuery query { &request, &service, {}, &tried, { "d0" } };
    for (const auto& it : entries)
        query.allowed.push_back(&it);
    for (auto _ : state) {
        const auto* it = balancer.choose(query, start + Milliseconds(100));
        balancer.sent(it->id, 12000);
        balancer.ended(it->id, 12000, false);
    }
}
BENCHMARK(chooseEngine)->ArgsProduct({ { 10, 60, 910 }, { 0, 1 } });

FleetHeartbeat makeFleetHeartbeat(int instance, int upstreams, std::uint64_t sequence)
{
    FleetHeartbeat it;
    it.from = { { "edge-" + std::to_string(instance) }, 1 };
    it.domain = { "d" + std::to_string(instance % 5) };
    it.addresses = { "10.1.0.1:80", "10.1." + std::to_string(instance / 250) + "." + std::to_string(instance % 250) + ":70" };
    it.sequence = sequence;
    it.ready = it.storeReachable = it.readsDigests = true;
    for (int n = 0; n < upstreams; ++n)
        it.work[{ "upstream-" + std::to_string(n) }] = { 1, 2000 };
    return it;
}

// The same with what an instance that uses estimates tells of each upstream.
FleetHeartbeat makeEstimatingHeartbeat(int instance, int upstreams, std::uint64_t sequence)
{
    auto it = makeFleetHeartbeat(instance, upstreams, sequence);
    for (auto& [id, work] : it.work) {
        work.committed = { 12400, 60000 };
        work.speed = { -0.35, 0.82 };
    }
    return it;
}

// One heartbeat of an instance of a large site: encoded, decoded and taken in by a hub that knows the given number of peers.
void takeFleetHeartbeat(benchmark::State& state)
{
    auto peers = static_cast<int>(state.range(0)), upstreams = static_cast<int>(state.range(1));
    FleetMembership hub({ { "hub" }, 1 }, { "d0" }, "10.0.0.1:70");
    for (int n = 0; n < peers; ++n)
        hub.onHeartbeat(makeFleetHeartbeat(n, 4, 1), start);
    std::uint64_t sequence = 1;
    std::size_t bytes = 0;
    for (auto _ : state) {
        auto encoded = encodeHeartbeat(makeFleetHeartbeat(0, upstreams, ++sequence));
        bytes = encoded.size();
        hub.onHeartbeat(*decodeHeartbeat(encoded), start);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(takeFleetHeartbeat)->ArgsProduct({ { 24, 60, 300 }, { 4, 40, 245 } });

// The same with estimates.
void takeEstimatingHeartbeat(benchmark::State& state)
{
    FleetMembership hub({ { "hub" }, 1 }, { "d0" }, "10.0.0.1:70");
    std::uint64_t sequence = 1;
    std::size_t bytes = 0;
    for (auto _ : state) {
        auto encoded = encodeHeartbeat(makeEstimatingHeartbeat(0, static_cast<int>(state.range(0)), ++sequence));
        bytes = encoded.size();
        hub.onHeartbeat(*decodeHeartbeat(encoded), start);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(takeEstimatingHeartbeat)->Arg(4)->Arg(40)->Arg(245);

// One digest of the whole site: made and encoded by a hub, decoded and taken in by an instance of its domain.
void takeDigest(benchmark::State& state)
{
    auto peers = static_cast<int>(state.range(0)), upstreams = static_cast<int>(state.range(1));
    FleetMembership hub({ { "hub" }, 1 }, { "d0" }, "10.0.0.1:70");
    FleetMembership member({ { "member" }, 1 }, { "d0" }, "10.0.0.2:70");
    auto own = makeFleetHeartbeat(400, upstreams, 1);
    for (int n = 0; n < peers; ++n)
        hub.onHeartbeat(makeFleetHeartbeat(n, std::max(1, upstreams / 10), 1), start);
    std::size_t bytes = 0;
    auto now = start + FleetMembership::relayedLifetime;
    for (auto _ : state) {
        ++own.sequence;
        own.digest = hub.digest(own, FleetMembership::DigestScope::WholeSite, now);
        auto encoded = encodeHeartbeat(own);
        bytes = encoded.size();
        member.onHeartbeat(*decodeHeartbeat(encoded), now);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(takeDigest)->ArgsProduct({ { 24, 60, 300 }, { 4, 40, 245 } });

void admit(benchmark::State& state)
{
    Admission admission;
    auto waiting = [](int n) {
        return WaitingRequest { { "r" + std::to_string(n) }, { "p" }, { "r" }, n % 3, 0.1, { "team-" + std::to_string(n % 100) }, 1, 256, start, start + Seconds(10), start + Seconds(10) };
    };
    for (int n = 0; n < state.range(0); ++n)
        admission.enqueue(waiting(n));
    int next = 0;
    for (auto _ : state) {
        auto request = waiting(next++);
        benchmark::DoNotOptimize(admission.workAhead(request));
        admission.enqueue(request);
        benchmark::DoNotOptimize(admission.next({ "p" }, start));
    }
}
BENCHMARK(admit)->Arg(10)->Arg(1000);

void encodeBill(benchmark::State& state)
{
    LedgerBatch batch { "entry-1/1/1", {}, false };
    for (int n = 0; n < state.range(0); ++n)
        batch.records.push_back({ "bill/team/r-entry-1-661c5bdd8d6f2-" + std::to_string(n), start, Bill { { "team" }, 1000, 100, 200, { "version-1" } } });
    std::size_t bytes = 0;
    for (auto _ : state) {
        auto text = encodeBatch(batch);
        bytes = text.size();
        benchmark::DoNotOptimize(text);
    }
    state.counters["bytes_each"] = static_cast<double>(bytes) / static_cast<double>(state.range(0));
    state.counters["us_each"] = benchmark::Counter(static_cast<double>(state.range(0)), benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
BENCHMARK(encodeBill)->Arg(1)->Arg(60);

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

// Measures the heap memory of one item. The time of these benchmarks has no meaning.
template <typename Fill>
void memoryOf(benchmark::State& state, Fill fill)
{
    constexpr int items = 20000;
    for (auto _ : state) {
        auto before = heapBytes();
        auto kept = fill(items);
        state.counters["bytes_each"] = (heapBytes() - before) / items;
        benchmark::DoNotOptimize(kept);
    }
}

void sessionMemory(benchmark::State& state)
{
    memoryOf(state, [](int items) {
        auto pins = std::make_unique<SessionPins>();
        for (int n = 0; n < items; ++n)
            pins->learn("pin/team/session-" + std::to_string(n) + "/model", { { "version-1" }, 0 });
        return pins;
    });
}
BENCHMARK(sessionMemory)->Iterations(1);

void ledgerKeyMemory(benchmark::State& state)
{
    memoryOf(state, [](int items) {
        auto index = std::make_unique<LedgerIndex>();
        for (int n = 0; n < items; ++n)
            index->add({ "bill/team/r-entry-1-661c5bdd8d6f2-" + std::to_string(n), start, Bill { { "team" }, 1000, 100, 200, { "version-1" } } });
        return index;
    });
}
BENCHMARK(ledgerKeyMemory)->Iterations(1);

void upstreamMemory(benchmark::State& state)
{
    memoryOf(state, [](int items) {
        auto table = std::make_unique<UpstreamTable>(DomainId { "d0" }, UpstreamSettings {}, 1);
        table->configure(makeConfiguration(items, 7));
        return table;
    });
}
BENCHMARK(upstreamMemory)->Iterations(1);

void memberMemory(benchmark::State& state)
{
    constexpr int members = 350;
    for (auto _ : state) {
        auto before = heapBytes();
        UpstreamTable table({ "d0" }, {}, 1);
        auto configuration = makeConfiguration(910, 7);
        table.configure(configuration);
        Membership membership({ { "self" }, 1 }, { "d0" }, "a", {});
        Outbox out;
        for (int n = 0; n < members; ++n) {
            auto heartbeat = makeHeartbeat(static_cast<int>(state.range(0)));
            membership.onHeartbeat({ { "entry-" + std::to_string(n) }, 1 }, heartbeat, start, out);
            table.learn({ "entry-" + std::to_string(n) }, heartbeat.upstreams);
        }
        state.counters["bytes_each"] = (heapBytes() - before) / members;
    }
}
BENCHMARK(memberMemory)->Arg(10)->Arg(50)->Arg(910)->Iterations(1);

// Reads a heartbeat of an entry instance with this many upstreams in use and as many counters of releases.
void decodeFleetHeartbeat(benchmark::State& state)
{
    FleetHeartbeat heartbeat;
    heartbeat.from = { { "edge-delta-c-1" }, 1 };
    heartbeat.domain = { "delta-c" };
    heartbeat.addresses = { "10.0.0.1:8080", "10.0.0.1:7340" };
    for (int n = 0; n < static_cast<int>(state.range(0)); ++n) {
        heartbeat.work[{ "i-774cc643bb" + std::to_string(n) }] = { n % 8, 1000 + n };
        heartbeat.evidence[{ { "assist" }, "v" + std::to_string(n % 2), "cards-" + std::to_string(n), { "small" } }] = { 700, 1, Milliseconds(90000), { 700, 3300.5, 16100.25 }, 2 };
        heartbeat.sessions.push_back({ 0x774cc643bbULL + static_cast<std::uint64_t>(n), "v2", Milliseconds(300) });
    }
    auto bytes = encodeHeartbeat(heartbeat);
    for (auto _ : state)
        benchmark::DoNotOptimize(decodeHeartbeat(bytes));
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(decodeFleetHeartbeat)->Arg(2)->Arg(20)->Arg(200);

}

BENCHMARK_MAIN();
