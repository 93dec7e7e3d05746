// Tests the estimate of engines, their speed, memory and queued work, and the choice among them: engines of unlike speed, moments of
// slowness, many instances that choose by the same outdated reports, prompts that exceed the memory, and senseless input.

#include "core/routing/upstream_balancer.h"
#include "core/scheduling/engine_memory.h"
#include "core/scheduling/engine_placement.h"
#include "core/scheduling/engine_speed.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <iostream>
#include <numeric>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
const ModelId large { "large" };

UpstreamEntry engineEntry(std::size_t n, const std::string& domain = "a")
{
    UpstreamEntry entry;
    entry.id = { "e" + std::to_string(n) };
    entry.service = { "assist" };
    entry.domain = { domain };
    entry.slots = 64;
    entry.born = 1;
    return entry;
}

EngineProcess process(std::size_t n, std::int64_t born = 1) { return { engineEntry(n).id, { "assist" }, born }; }

// Instances that observe the same engines and tell each other every 250 ms.
struct Observers {
    explicit Observers(std::size_t count)
        : instances(count)
    {
    }

    // Time that engine n takes for work that takes 100 ms at the speed 1.
    void observe(std::size_t n, double speed)
    {
        auto time = Microseconds(static_cast<std::int64_t>(100000 / speed));
        instances[random() % instances.size()].recordFirstEvent(process(n), large, { 0, 2000, time }, now);
    }

    void exchange()
    {
        for (std::size_t n = 0; n < instances.size(); ++n) {
            absl::flat_hash_map<UpstreamId, SpeedObservations> peers;
            for (std::size_t other = 0; other < instances.size(); ++other) {
                if (other == n)
                    continue;
                for (const auto& [id, it] : instances[other].own(now)) {
                    peers[id].logSum += it.logSum;
                    peers[id].weight += it.weight;
                }
            }
            instances[n].setPeers(std::move(peers), now);
        }
    }

    // Runs for this time, in which each engine gives so many samples a second.
    void run(Milliseconds time, const std::vector<double>& speeds, int samplesPerSecond)
    {
        auto step = Milliseconds(1000 / samplesPerSecond);
        for (Milliseconds passed {}; passed < time; passed += step) {
            for (std::size_t n = 0; n < speeds.size(); ++n)
                observe(n, speeds[n]);
            now += step;
            if (now - exchangedAt >= 250ms) {
                exchange();
                exchangedAt = now;
            }
        }
    }

    double speed(std::size_t n) { return instances[0].speed({ "e" + std::to_string(n) }, now); }

    std::vector<EngineSpeeds> instances;
    std::mt19937_64 random { 17 };
    TimePoint now = start;
    TimePoint exchangedAt = start;
};

}

TEST_CASE("engines of unlike speed are told apart")
{
    SECTION("engines at 0.55 and 1.2 of the speed side by side, seen by one instance")
    {
        Observers one(1);
        one.run(10s, { 0.55, 0.55, 1.2, 1.2, 1.2 }, 10);
        CHECK(one.speed(2) / one.speed(0) == Approx(1.2 / 0.55).epsilon(0.15));
        CHECK(one.speed(0) < 0.8);
        CHECK(one.speed(2) > 1.1);
    }
    SECTION("the same, seen by 8 instances of which none has samples of all engines at once")
    {
        Observers fleet(8);
        fleet.run(20s, { 0.55, 0.55, 1.2, 1.2, 1.2 }, 10);
        CHECK(fleet.speed(2) / fleet.speed(0) == Approx(1.2 / 0.55).epsilon(0.2));
    }
    SECTION("an instance that uses only slow engines takes them for slow when its peers do")
    {
        Observers pair(2);
        for (int n = 0; n < 100; ++n) {
            pair.now += 100ms;
            auto slow = Microseconds(200000), fast = Microseconds(100000);
            pair.instances[0].recordFirstEvent(process(0), large, { 0, 2000, slow }, pair.now);
            pair.instances[1].recordFirstEvent(process(0), large, { 0, 2000, slow }, pair.now);
            pair.instances[1].recordFirstEvent(process(1), large, { 0, 2000, fast }, pair.now);
            pair.exchange();
        }
        CHECK(pair.speed(1) / pair.speed(0) > 1.5);
    }
    SECTION("a slow engine is learned within twenty samples of the whole fleet")
    {
        Observers fleet(20);
        fleet.run(20s, { 1, 1, 1, 1 }, 20);
        for (int n = 0; n < 20; ++n) {
            fleet.observe(4, 0.55);
            fleet.now += 10ms;
        }
        fleet.exchange();
        CHECK(fleet.speed(4) == Approx(0.55).epsilon(0.15));
        CHECK(fleet.speed(0) == Approx(1).epsilon(0.1));
    }
    SECTION("an engine that turns slow for good is learned, though it was fast before")
    {
        Observers fleet(4);
        fleet.run(20s, { 1, 1, 1, 1 }, 10);
        fleet.run(8s, { 0.55, 1, 1, 1 }, 10);
        CHECK(fleet.speed(0) / fleet.speed(1) == Approx(0.55).epsilon(0.2));
    }
    SECTION("gaps between events tell the speed as well")
    {
        EngineSpeeds speeds;
        auto now = start;
        for (int n = 0; n < 2000; ++n) {
            now += 5ms;
            speeds.recordGap(process(0), large, 0.5, 60ms, now);
            speeds.recordGap(process(1), large, 0.5, 30ms, now);
        }
        CHECK(speeds.speed({ "e1" }, now) / speeds.speed({ "e0" }, now) == Approx(2).epsilon(0.2));
    }
    SECTION("models of unlike cost are compared with themselves")
    {
        EngineSpeeds speeds;
        auto now = start;
        for (int n = 0; n < 200; ++n) {
            now += 20ms;
            speeds.recordFirstEvent(process(0), { "small" }, { 0, 2000, 20ms }, now);
            speeds.recordFirstEvent(process(1), large, { 0, 2000, 200ms }, now);
        }
        CHECK(speeds.speed({ "e0" }, now) == Approx(1).epsilon(0.05));
        CHECK(speeds.speed({ "e1" }, now) == Approx(1).epsilon(0.05));
    }
}

TEST_CASE("a machine that is slowed 2.5 times for moments")
{
    Observers fleet(8);
    auto samplesPerSecond = GENERATE(5, 20, 50);
    fleet.run(20s, { 1, 1, 1, 1, 1, 1 }, samplesPerSecond);

    SECTION("is at its old speed 4 s after a moment of 0.6 s")
    {
        fleet.run(600ms, { 0.4, 1, 1, 1, 1, 1 }, samplesPerSecond);
        fleet.run(3400ms, { 1, 1, 1, 1, 1, 1 }, samplesPerSecond);
        CHECK(fleet.speed(0) / fleet.speed(1) == Approx(1).epsilon(0.1));
    }
    SECTION("is avoided in such a moment if it reports its pace, and only then")
    {
        auto& instance = fleet.instances[0];
        instance.recordPace(process(0), 100, fleet.now);
        CHECK(fleet.speed(0) == Approx(1).epsilon(0.05));
        instance.recordPace(process(0), 250, fleet.now);
        CHECK(fleet.speed(0) < 0.5);
        fleet.now += 1s;
        CHECK(fleet.speed(0) > 0.9);
    }
}

TEST_CASE("what is known of an engine ends with its process and with time")
{
    Observers fleet(2);
    fleet.run(10s, { 0.5, 1, 1 }, 20);
    CHECK(fleet.speed(0) < 0.75);

    SECTION("samples fade")
    {
        CHECK(fleet.instances[0].speed({ "e0" }, fleet.now + 60s) == Approx(1).epsilon(0.1));
    }
    SECTION("own samples of an earlier process are dropped, and late ones of it are ignored")
    {
        auto& instance = fleet.instances[0];
        instance.setPeers({}, fleet.now);
        instance.recordPace(process(0, 2), 100, fleet.now);
        CHECK(instance.speed({ "e0" }, fleet.now) == 1);
        for (int n = 0; n < 50; ++n)
            instance.recordFirstEvent(process(0, 1), large, { 0, 2000, 900ms }, fleet.now);
        CHECK(instance.speed({ "e0" }, fleet.now) == 1);
    }
    SECTION("upstreams that are gone leave no state")
    {
        fleet.instances[0].keepOnly({ UpstreamId { "e1" } });
        CHECK_FALSE(fleet.instances[0].own(fleet.now).contains({ "e0" }));
    }
}

TEST_CASE("senseless figures do not become an engine's speed")
{
    EngineSpeeds speeds;
    UpstreamId id { "e0" };
    SECTION("times and loads that cannot be")
    {
        speeds.recordFirstEvent(process(0), large, { 0, 2000, -5ms }, start);
        speeds.recordFirstEvent(process(0), large, { 0, -2000, 5ms }, start);
        speeds.recordFirstEvent(process(0), large, { 0, 0, 5ms }, start);
        speeds.recordGap(process(0), large, std::nan(""), 5ms, start);
        speeds.recordGap(process(0), large, -4, 0ms, start);
        CHECK(speeds.weight(id, start) == 0);
        CHECK(speeds.speed(id, start) == 1);
    }
    SECTION("a wild pace has bounded effect, and none after a second")
    {
        auto pace = GENERATE(std::int64_t { -1 }, 0, 1, std::numeric_limits<std::int64_t>::max());
        speeds.recordPace(process(0), pace, start);
        CHECK(speeds.speed(id, start) >= EngineSpeeds::minSpeed);
        CHECK(speeds.speed(id, start) <= EngineSpeeds::maxSpeed);
        CHECK(speeds.speed(id, start + 2s) == Approx(1).epsilon(0.05));
    }
    SECTION("wild observations of a peer stay within the bounds of a speed")
    {
        speeds.setPeers({ { id, { -1e9, 1 } }, { { "e1" }, { 1e9, 1e9 } } }, start);
        CHECK(speeds.speed(id, start) == EngineSpeeds::minSpeed);
        CHECK(std::isfinite(speeds.speed({ "e1" }, start)));
        CHECK(speeds.speed({ "e1" }, start) <= EngineSpeeds::maxSpeed);
    }
    SECTION("model names without end do not grow the state of speeds without end, and known models keep theirs")
    {
        for (int n = 0; n < 5000; ++n)
            speeds.recordFirstEvent(process(0), { std::to_string(n) }, { 0, 2000, 100ms }, start);
        CHECK(speeds.speed(id, start) == Approx(1).epsilon(0.05));
    }
}

TEST_CASE("the memory that requests will need")
{
    OutputLengths lengths;

    SECTION("is their prompt and the caller's estimate, which is right at the median")
    {
        auto commitment = lengths.commitment({ "essay", 12000, 4000, 400 });
        CHECK(commitment.tokens >= 12400);
        CHECK(commitment.tokens < 12600);
        CHECK(likelyTokens(commitment) > commitment.tokens);
    }
    SECTION("has a wider spread the further estimates were off")
    {
        auto before = lengths.commitment({ "essay", 12000, 4000, 400 });
        for (int n = 0; n < 100; ++n)
            lengths.record({ "essay", 12000, 4000, 400 }, n % 2 == 0 ? 100 : 1600);
        CHECK(lengths.commitment({ "essay", 12000, 4000, 400 }).variance > 2 * before.variance);
    }
    SECTION("is at most the request's own limit")
    {
        CHECK(lengths.commitment({ "essay", 12000, 80, 100000 }).tokens == 12080);
        CHECK(likelyTokens(lengths.commitment({ "essay", 12000, 80, 79 })) <= 12100);
    }
    SECTION("falls back on the route's mean, or on half of the limit, if there is no usable estimate")
    {
        auto hint = GENERATE(std::optional<std::int64_t>(), std::optional<std::int64_t>(0), std::optional<std::int64_t>(-7));
        CHECK(lengths.commitment({ "essay", 12000, 4000, hint }).tokens == 14000);
        for (int n = 0; n < 100; ++n)
            lengths.record({ "essay", 12000, 4000, hint }, 300);
        CHECK(lengths.commitment({ "essay", 12000, 4000, hint }).tokens == Approx(12300).epsilon(0.01));
    }
    SECTION("is the prompt alone if nothing is known, and never negative")
    {
        CHECK(lengths.commitment({ "essay", 12000, 0, {} }) == MemoryCommitment { 12000, 0 });
        CHECK(lengths.commitment({ "essay", -5, -5, -5 }) == MemoryCommitment {});
        CHECK((MemoryCommitment { 5, 5 } - MemoryCommitment { 7, 9 }) == MemoryCommitment {});
    }
    SECTION("absurd estimates add up without overflow")
    {
        MemoryCommitment sum;
        for (int n = 0; n < 100000; ++n)
            sum = sum + lengths.commitment({ "essay", 1 << 24, 0, std::numeric_limits<std::int64_t>::max() });
        CHECK(sum.tokens > 0);
        CHECK(likelyTokens(sum) > 0);
        CHECK_FALSE(fitsMemory(400000, sum, {}));
    }
}

namespace {

std::vector<EngineCandidate> idleEngines(const std::vector<UpstreamEntry>& entries)
{
    std::vector<EngineCandidate> candidates;
    for (const auto& it : entries) {
        EngineCandidate candidate;
        candidate.entry = &it;
        candidate.slots = it.slots;
        candidates.push_back(candidate);
    }
    return candidates;
}

std::vector<UpstreamEntry> entriesOf(std::size_t count)
{
    std::vector<UpstreamEntry> entries;
    for (std::size_t n = 0; n < count; ++n)
        entries.push_back(engineEntry(n));
    return entries;
}

// The choice by least work alone.
std::size_t leastWork(const std::vector<EngineCandidate>& candidates, const EnginePlacementSettings& settings, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> jitter(0, 200);
    std::size_t best = 0;
    double bestWork = std::numeric_limits<double>::infinity();
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto& it = candidates[n];
        auto work = static_cast<double>(it.unreadWork + it.requests * settings.workPerRequest) + jitter(random) - static_cast<double>(it.cachedTokens) * settings.cachedTokenCredit;
        work += it.crossesDomain ? static_cast<double>(settings.crossDomainPenalty) : 0;
        work += it.requests >= it.slots ? 20000 : 0;
        if (work < bestWork) {
            best = n;
            bestWork = work;
        }
    }
    return best;
}

}

TEST_CASE("an engine is chosen by when it will have read the prompt")
{
    auto entries = entriesOf(3);
    auto candidates = idleEngines(entries);
    EnginePlacementSettings settings;
    std::mt19937_64 random(3);
    PlacementRequest request;
    request.promptTokens = 12000;
    request.rank = 1;

    SECTION("among equally fast engines with room, as by least work alone")
    {
        std::mt19937_64 other(3);
        std::mt19937_64 loads(5);
        for (int n = 0; n < 2000; ++n) {
            for (auto& it : candidates) {
                it.unreadWork = static_cast<std::int64_t>(loads() % 30000);
                it.requests = static_cast<std::int64_t>(loads() % 66);
                it.crossesDomain = loads() % 3 == 0;
                it.cachedTokens = 0;
            }
            candidates[loads() % 3].cachedTokens = 5000;
            auto expected = leastWork(candidates, settings, other);
            REQUIRE(placeOnEngine(candidates, request, settings, random).entry == &entries[expected]);
        }
    }
    SECTION("a fast engine with more work goes before a slow one with less")
    {
        candidates[0].speed = 0.55;
        candidates[0].unreadWork = 8000;
        candidates[1].speed = 1.2;
        candidates[1].unreadWork = 12000;
        candidates[2].unreadWork = 40000;
        auto placement = placeOnEngine(candidates, request, settings, random);
        CHECK(placement.entry == &entries[1]);
        CHECK(placement.speed == 1.2);
        CHECK(placement.workAhead == Approx(10000));
        CHECK(placement.expectedFirstEvent == 1000ms);
        request.rank = 0;
        CHECK(placeOnEngine(candidates, request, settings, random).expectedFirstEvent == 700ms);
    }
    SECTION("a long prompt goes to a fast engine, even if a slow one is idle")
    {
        candidates.resize(2);
        candidates[0].speed = 0.55;
        candidates[1].speed = 1.2;
        candidates[1].unreadWork = 3000;
        CHECK(placeOnEngine(candidates, request, settings, random).entry == &entries[1]);
        request.promptTokens = 800;
        CHECK(placeOnEngine(candidates, request, settings, random).entry == &entries[0]);
    }
    SECTION("without any engine, none is chosen")
    {
        CHECK(placeOnEngine({}, request, settings, random).entry == nullptr);
    }
}

TEST_CASE("a burst of long prompts that would exceed the memory of engines")
{
    auto entries = entriesOf(4);
    auto candidates = idleEngines(entries);
    for (auto& it : candidates)
        it.memoryTokens = 100000;
    EnginePlacementSettings settings;
    std::mt19937_64 random(3);
    OutputLengths lengths;
    PlacementRequest request;
    request.promptTokens = 12000;
    request.memory = lengths.commitment({ "essay", 12000, 4000, 400 });

    SECTION("goes to the engines with room, though they have more work")
    {
        for (std::size_t n = 0; n < 3; ++n)
            candidates[n].committed = { 95000, 0 };
        candidates[3].unreadWork = 30000;
        auto placement = placeOnEngine(candidates, request, settings, random);
        CHECK(placement.entry == &entries[3]);
        CHECK(placement.withoutMemory == 3);
        CHECK_FALSE(placement.exceedsMemory);
    }
    SECTION("fills each engine up to its memory and not above it")
    {
        int placed = 0;
        for (; placed < 100; ++placed) {
            auto placement = placeOnEngine(candidates, request, settings, random);
            if (placement.exceedsMemory)
                break;
            auto& it = candidates[static_cast<std::size_t>(placement.entry - entries.data())];
            it.committed = it.committed + request.memory;
            ++it.requests;
            CHECK(likelyTokens(it.committed) <= it.memoryTokens);
        }
        CHECK(placed == 28);
    }
    SECTION("exceeds it if no other engine is expected to answer in time")
    {
        candidates[0].committed = { 95000, 0 };
        for (std::size_t n = 1; n < 4; ++n)
            candidates[n].unreadWork = 100000;
        request.timeLeft = 6s;
        CHECK(placeOnEngine(candidates, request, settings, random).entry != &entries[0]);
        request.timeLeft = 2s;
        auto placement = placeOnEngine(candidates, request, settings, random);
        CHECK(placement.entry == &entries[0]);
        CHECK(placement.exceedsMemory);
    }
    SECTION("does not exceed it where that does not help either")
    {
        candidates[0].committed = { 95000, 0 };
        for (auto& it : candidates)
            it.unreadWork = 100000;
        request.timeLeft = 100ms;
        CHECK_FALSE(placeOnEngine(candidates, request, settings, random).exceedsMemory);
    }
    SECTION("goes where the least is exceeded if all are full")
    {
        for (auto& it : candidates)
            it.committed = { 150000, 0 };
        candidates[2].committed = { 101000, 0 };
        auto placement = placeOnEngine(candidates, request, settings, random);
        CHECK(placement.entry == &entries[2]);
        CHECK(placement.exceedsMemory);
    }
    SECTION("is not limited by a memory that is stated as 0")
    {
        for (auto& it : candidates) {
            it.memoryTokens = 0;
            it.committed = { 1 << 30, 0 };
        }
        auto placement = placeOnEngine(candidates, request, settings, random);
        CHECK(placement.entry);
        CHECK(placement.withoutMemory == 0);
    }
}

namespace {

// Instances that send prompts to engines, and all see the same copy of the engines' queues, which is taken every `age`. Each also knows
// what it sent itself since.
struct StaleFleet {
    static constexpr std::size_t instanceCount = 88;
    static constexpr std::size_t engineCount = 60;
    static constexpr double tokensPerSecond = 20000;
    static constexpr Milliseconds step { 10 };

    Milliseconds age;
    bool knowsUnreported = true;
    std::vector<double> speeds;
    std::vector<UpstreamEntry> entries = entriesOf(engineCount);
    std::mt19937_64 random { 11 };
    std::vector<double> queued = std::vector<double>(engineCount);
    std::vector<double> copy = queued;
    // By instance and engine, since the copy.
    std::vector<std::vector<double>> sent;
    std::vector<EngineDraws> draws = std::vector<EngineDraws>(instanceCount);
    std::vector<double> total = queued;
    double errorSquares = 0;
    double errors = 0;

    StaleFleet(Milliseconds viewAge, bool spreads)
        : age(viewAge)
        , knowsUnreported(spreads)
        , sent(instanceCount, queued)
    {
        for (std::size_t n = 0; n < engineCount; ++n)
            speeds.push_back(n % 3 == 0 ? 0.55 : 1.2);
        for (std::size_t n = 0; n < instanceCount; ++n)
            draws[n].setInstance(n, instanceCount);
    }

    void run(Milliseconds time, double requestsPerSecond)
    {
        std::poisson_distribution<int> arrivals(requestsPerSecond * static_cast<double>(step.count()) / 1000);
        for (Milliseconds now {}; now < time; now += step) {
            if (now % age < step) {
                copy = queued;
                sent.assign(instanceCount, std::vector<double>(engineCount));
            }
            for (int n = arrivals(random); n > 0; --n)
                send(now % age, requestsPerSecond);
            for (std::size_t n = 0; n < engineCount; ++n)
                queued[n] = std::max(0.0, queued[n] - speeds[n] * tokensPerSecond * static_cast<double>(step.count()) / 1000);
        }
    }

    void send(Milliseconds sinceCopy, double requestsPerSecond)
    {
        static constexpr std::int64_t lengths[] = { 12000, 800, 2400 };
        auto tokens = lengths[random() % 3];
        auto sender = random() % instanceCount;
        auto& own = sent[sender];
        auto candidates = idleEngines(entries);
        for (std::size_t n = 0; n < engineCount; ++n) {
            candidates[n].unreadWork = static_cast<std::int64_t>(copy[n] + own[n]);
            candidates[n].speed = speeds[n];
        }
        PlacementRequest request;
        request.promptTokens = tokens;
        request.drawPosition = draws[sender].next(tokens);
        if (knowsUnreported)
            request.unreportedWork = requestsPerSecond * 15200 / 3 * static_cast<double>(sinceCopy.count()) / 1000;
        auto placement = placeOnEngine(candidates, request, {}, random);
        auto n = static_cast<std::size_t>(placement.entry - entries.data());
        auto wait = queued[n] / speeds[n];
        errorSquares += std::pow((placement.workAhead - wait) / tokensPerSecond, 2);
        ++errors;
        own[n] += static_cast<double>(tokens);
        queued[n] += static_cast<double>(tokens);
        total[n] += static_cast<double>(tokens);
    }

    // The most work per unit of speed of any engine over the mean.
    double busiestOverMean() const
    {
        double busiest = 0, sum = 0, speedSum = 0;
        for (std::size_t n = 0; n < engineCount; ++n) {
            busiest = std::max(busiest, total[n] / speeds[n]);
            sum += total[n];
            speedSum += speeds[n];
        }
        return busiest / (sum / speedSum);
    }

    // Root mean square of the error of the expected wait, in seconds.
    double waitError() const { return std::sqrt(errorSquares / errors); }
};

}

TEST_CASE("88 instances that choose among engines at 0.55 and 1.2 by one view")
{
    // 80% of what the engines can read.
    auto requestsPerSecond = 0.8 * 60 * (0.55 + 2 * 1.2) / 3 * 20000 / (15200.0 / 3);
    auto age = GENERATE(250ms, 1000ms, 4000ms);
    StaleFleet fleet(age, true);
    fleet.run(60s, requestsPerSecond);
    std::cout << "view of up to " << age.count() << " ms: busiest over mean " << fleet.busiestOverMean() << ", error of the wait " << fleet.waitError() << " s\n";
    CHECK(fleet.busiestOverMean() <= 1.3);
    // One long prompt that another instance has sent since takes 0.6 s.
    CHECK(fleet.waitError() <= static_cast<double>(age.count()) / 1000 + 0.6);
}

TEST_CASE("88 instances that choose at once by one view without any news in between")
{
    StaleFleet fleet(1h, true);
    for (auto& it : fleet.copy)
        it = static_cast<double>(fleet.random() % 60000);
    fleet.queued = fleet.total = fleet.copy;
    // Each sends 100 prompts in 4 s.
    for (int n = 0; n < 88 * 100; ++n)
        fleet.send(4000ms, 88 * 25);
    std::cout << "one view for 4 s: busiest over mean " << fleet.busiestOverMean() << "\n";
    CHECK(fleet.busiestOverMean() <= 1.3);
}

TEST_CASE("a prefix that many share does not overload the one engine that has it cached")
{
    auto entries = entriesOf(20);
    auto candidates = idleEngines(entries);
    candidates[7].cachedTokens = 5000;
    std::mt19937_64 random(3);
    PlacementRequest request;
    request.promptTokens = 12000;
    request.unreportedWork = 400000;

    SECTION("few requests with that prefix all go there")
    {
        request.unreportedShare = 0.02;
        for (int n = 0; n < 100; ++n)
            CHECK(placeOnEngine(candidates, request, {}, random).entry == &entries[7]);
    }
    SECTION("of many, as many go there as make its wait equal to the others' plus the credit")
    {
        request.unreportedShare = 1;
        int sends = 0;
        for (int n = 0; n < 4000; ++n)
            sends += placeOnEngine(candidates, request, {}, random).entry == &entries[7] ? 1 : 0;
        // The level is 20,000; the credit 15,000. Draws among all engines add a twentieth of the rest.
        CHECK(sends == Approx(4000 * (35000.0 / 400000) + 4000 * (1 - 35000.0 / 400000) / 20).epsilon(0.2));
    }
}

namespace {

// A balancer that uses estimates, with three engines in its domain.
struct EstimatingBalancer {
    UpstreamBalancer balancer { 7, UpstreamBalancerSettings { .usesEngineEstimates = true } };
    std::vector<UpstreamEntry> entries = entriesOf(3);
    RoutedService service { { "assist" }, "/", 0, EngineProfile { 64, 100000, 1, {} } };
    std::vector<UpstreamId> tried;
    TimePoint now = start;

    static RoutedRequest prompt(std::int64_t tokens)
    {
        RoutedRequest request;
        request.id = { "r" };
        request.promptTokens = tokens;
        request.maxOutputTokens = 400;
        return request;
    }

    const UpstreamEntry* choose(const RoutedRequest& request, const absl::flat_hash_map<UpstreamId, std::int64_t>* cached = nullptr)
    {
        UpstreamQuery query { &request, &service, {}, &tried, { "a" } };
        query.memory = balancer.commitment("essay", request);
        query.rank = 1;
        query.cachedTokens = cached;
        for (const auto& it : entries)
            query.allowed.push_back(&it);
        return balancer.choose(query, now);
    }

    // All engines get the same work; the first takes twice the time.
    void learnSlowEngine()
    {
        for (int n = 0; n < 100; ++n) {
            now += 50ms;
            for (const auto& it : entries)
                balancer.recordFirstEvent(it, large, { 0, 4000, it.id.value == "e0" ? Microseconds(400ms) : Microseconds(200ms) }, now);
        }
    }
};

}

TEST_CASE("a balancer that uses estimates")
{
    EstimatingBalancer it;
    auto prompt = EstimatingBalancer::prompt(12000);

    SECTION("avoids an engine that takes twice the time, until the others have more work")
    {
        it.learnSlowEngine();
        for (int n = 0; n < 20; ++n)
            CHECK(it.choose(prompt) != &it.entries[0]);
        it.balancer.sent({ "e1" }, 30000);
        it.balancer.sent({ "e2" }, 30000);
        CHECK(it.choose(prompt) == &it.entries[0]);
    }
    SECTION("learns the same from the heartbeat of another instance")
    {
        EstimatingBalancer other;
        other.learnSlowEngine();
        it.now = other.now;
        auto work = other.balancer.ownWork(other.now);
        CHECK(work.at({ "e0" }).requests == 0);
        it.balancer.setPeerWork({ work.begin(), work.end() }, it.now);
        for (int n = 0; n < 20; ++n)
            CHECK(it.choose(prompt) != &it.entries[0]);
    }
    SECTION("counts the memory of own requests and of those of others, until they end")
    {
        MemoryCommitment most { 95000, 0 };
        it.balancer.sent({ "e0" }, 0, most);
        it.balancer.setPeerWork({ { { "e1" }, { 0, 0, most, {} } } }, it.now);
        for (int n = 0; n < 20; ++n)
            CHECK(it.choose(prompt) == &it.entries[2]);
        CHECK(it.balancer.lastPlacement().withoutMemory == 2);
        it.balancer.ended({ "e0" }, 0, true, most);
        CHECK(it.balancer.committedOn({ "e0" }) == MemoryCommitment {});
    }
    SECTION("prefers the engine that is known to have the prompt cached")
    {
        it.balancer.sent({ "e1" }, 10000);
        absl::flat_hash_map<UpstreamId, std::int64_t> cached { { { "e1" }, 8000 } };
        CHECK(it.choose(prompt, &cached) == &it.entries[1]);
        cached.clear();
        CHECK(it.choose(prompt, &cached) != &it.entries[1]);
    }
    SECTION("spreads over engines when others have sent work since their heartbeats")
    {
        // Heartbeats of a fleet whose prompts wait for 200 ms.
        for (const auto& engine : it.entries)
            it.balancer.recordFirstEvent(engine, large, { 0, 4000, 200ms }, it.now);
        it.balancer.setPeerWork({ { { "e0" }, { 5, 18000, {}, {} } }, { { "e1" }, { 5, 20000, {}, {} } }, { { "e2" }, { 5, 22000, {}, {} } } }, it.now);
        it.now += 500ms;
        std::map<std::string, int> chosen;
        for (int n = 0; n < 300; ++n)
            ++chosen[it.choose(prompt)->id.value];
        CHECK(chosen["e2"] > 60);
        CHECK(chosen["e0"] > chosen["e2"]);
        CHECK(chosen["e0"] < 140);
    }
    SECTION("tells peers of at most 8 engines without requests")
    {
        auto many = entriesOf(300);
        for (int n = 0; n < 40; ++n) {
            for (const auto& engine : many)
                it.balancer.recordFirstEvent(engine, large, { 0, 4000, 200ms }, it.now);
        }
        CHECK(it.balancer.ownWork(it.now).size() == 8);
        it.balancer.sent({ "e299" }, 100);
        CHECK(it.balancer.ownWork(it.now).contains({ "e299" }));
    }
}

TEST_CASE("a balancer that does not use estimates chooses and tells as if there were none")
{
    EstimatingBalancer it;
    it.balancer = UpstreamBalancer(7);
    auto prompt = EstimatingBalancer::prompt(12000);
    it.learnSlowEngine();
    it.balancer.sent({ "e1" }, 400, { 1 << 20, 0 });
    it.balancer.sent({ "e2" }, 400, { 1 << 20, 0 });
    CHECK(it.choose(prompt) == &it.entries[0]);
    CHECK(it.balancer.ownWork(it.now).size() == 2);
    CHECK(it.balancer.lastPlacement().withoutMemory == 0);
}

namespace {

// Instances with balancers of their own, which learn all they know from their own requests and from the others' heartbeats. Engines
// read one prompt after the other and generate ten events for each.
struct BalancerFleet {
    static constexpr std::size_t instanceCount = 88;
    static constexpr std::size_t engineCount = 60;
    static constexpr double tokensPerSecond = 20000;
    static constexpr Milliseconds step { 10 };

    struct Prompt {
        std::size_t instance = 0;
        std::int64_t tokens = 0;
        std::int64_t workBefore = 0;
        double unread = 0;
        TimePoint sentAt {};
    };

    Milliseconds age;
    std::vector<UpstreamBalancer> balancers;
    std::vector<UpstreamEntry> entries = entriesOf(engineCount);
    RoutedService service { { "assist" }, "/", 0, EngineProfile { 64, 400000, 1, {} } };
    std::vector<UpstreamId> tried;
    std::vector<std::deque<Prompt>> engines = std::vector<std::deque<Prompt>>(engineCount);
    std::vector<double> total = std::vector<double>(engineCount);
    std::vector<double> waits;
    std::mt19937_64 random { 11 };
    TimePoint now = start;

    BalancerFleet(Milliseconds viewAge, bool usesEstimates)
        : age(viewAge)
    {
        for (std::size_t n = 0; n < instanceCount; ++n) {
            balancers.emplace_back(n + 1, UpstreamBalancerSettings { .usesEngineEstimates = usesEstimates, .peerWorkAge = 0ms });
            balancers.back().setInstance(n, instanceCount);
        }
    }

    static double speedOf(std::size_t engine) { return engine % 3 == 0 ? 0.55 : 1.2; }

    void run(Milliseconds time, double requestsPerSecond)
    {
        std::poisson_distribution<int> arrivals(requestsPerSecond * static_cast<double>(step.count()) / 1000);
        for (auto end = now + time; now < end; now += step) {
            if ((now - start) % age < step)
                exchange();
            for (int n = arrivals(random); n > 0; --n)
                send();
            for (std::size_t n = 0; n < engineCount; ++n)
                read(n);
        }
    }

    void exchange()
    {
        std::vector<std::map<UpstreamId, UpstreamWork>> own;
        std::map<UpstreamId, UpstreamWork> sum;
        for (const auto& it : balancers) {
            own.push_back(it.ownWork(now));
            for (const auto& [id, work] : own.back())
                add(sum[id], work);
        }
        for (std::size_t n = 0; n < instanceCount; ++n) {
            auto peers = sum;
            for (const auto& [id, work] : own[n])
                subtract(peers[id], work);
            balancers[n].setPeerWork({ peers.begin(), peers.end() }, now);
        }
    }

    void send()
    {
        static constexpr std::int64_t lengths[] = { 12000, 800, 2400 };
        auto instance = random() % instanceCount;
        auto& balancer = balancers[instance];
        auto request = EstimatingBalancer::prompt(lengths[random() % 3]);
        UpstreamQuery query { &request, &service, {}, &tried, { "a" } };
        for (const auto& it : entries)
            query.allowed.push_back(&it);
        const auto* chosen = balancer.choose(query, now);
        auto n = static_cast<std::size_t>(chosen - entries.data());
        engines[n].push_back({ instance, request.promptTokens, balancer.workOn(chosen->id), static_cast<double>(request.promptTokens), now });
        balancer.sent(chosen->id, request.promptTokens);
        total[n] += static_cast<double>(request.promptTokens);
    }

    void read(std::size_t n)
    {
        auto tokens = speedOf(n) * tokensPerSecond * static_cast<double>(step.count()) / 1000;
        while (tokens > 0 && !engines[n].empty()) {
            auto& prompt = engines[n].front();
            auto part = std::min(tokens, prompt.unread);
            tokens -= part;
            prompt.unread -= part;
            if (prompt.unread > 0)
                return;
            auto& balancer = balancers[prompt.instance];
            balancer.begun(entries[n].id, prompt.tokens);
            balancer.ended(entries[n].id, prompt.tokens, true);
            balancer.recordFirstEvent(entries[n], large, { prompt.workBefore, prompt.tokens, now - prompt.sentAt }, now);
            for (int event = 0; event < 10; ++event)
                balancer.recordGap(entries[n], large, Microseconds(static_cast<std::int64_t>(static_cast<double>(20000 + random() % 20000) / speedOf(n))), now);
            waits.push_back(std::chrono::duration<double>(now - prompt.sentAt).count());
            engines[n].pop_front();
        }
    }

    double busiestOverMean() const
    {
        double busiest = 0, sum = 0, speeds = 0;
        for (std::size_t n = 0; n < engineCount; ++n) {
            busiest = std::max(busiest, total[n] / speedOf(n));
            sum += total[n];
            speeds += speedOf(n);
        }
        return busiest / (sum / speeds);
    }

    // Mean estimate of the slow engines over that of the fast ones.
    double estimatedRatio() const
    {
        double slow = 0, fast = 0;
        for (std::size_t n = 0; n < engineCount; ++n)
            (n % 3 == 0 ? slow : fast) += balancers[0].speedOf(entries[n].id, now) / (n % 3 == 0 ? 1 : 2);
        return slow / fast;
    }

    double meanWait() const { return std::accumulate(waits.begin(), waits.end(), 0.0) / static_cast<double>(waits.size()); }
};

}

TEST_CASE("88 instances that learn speeds and unreported work from each other's heartbeats")
{
    auto requestsPerSecond = 0.8 * 60 * (0.55 + 2 * 1.2) / 3 * 20000 / (15200.0 / 3);
    auto age = GENERATE(250ms, 1000ms);
    BalancerFleet fleet(age, true), unaware(age, false);
    for (auto* it : { &fleet, &unaware }) {
        it->run(20s, requestsPerSecond);
        it->waits.clear();
        it->total.assign(BalancerFleet::engineCount, 0);
        it->run(40s, requestsPerSecond);
    }
    std::cout << "heartbeats of up to " << age.count() << " ms: busiest over mean " << fleet.busiestOverMean() << ", estimated ratio of speeds " << fleet.estimatedRatio() << ", mean wait " << fleet.meanWait() << " s; without estimates " << unaware.busiestOverMean() << ", " << unaware.meanWait() << " s\n";
    CHECK(fleet.busiestOverMean() <= 1.3);
    CHECK(fleet.estimatedRatio() == Approx(0.55 / 1.2).epsilon(0.25));
    CHECK(fleet.meanWait() < unaware.meanWait());
}
