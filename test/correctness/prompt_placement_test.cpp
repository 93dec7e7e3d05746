// Tests of what engines are believed to hold of prompts, of the homes of shared parts, and of the weighing against the wait.

#include "core/membership/fleet_heartbeat.h"
#include "fakes/fake_engine_fleet.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

using namespace skylarkhitch;
using namespace skylarkhitch::test;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
const ModelId smallModel { "small" };
const ModelId largeModel { "large" };

RoutedRequest requestWith(const std::string& id, std::vector<PromptPart> parts)
{
    RoutedRequest request;
    request.id = { id };
    for (const auto& it : parts)
        request.promptTokens += it.tokens;
    request.promptParts = std::move(parts);
    return request;
}

// A kind of request: how its prompts are composed, and how often it is asked.
struct Kind {
    std::string name;
    double perSecond = 0;
    std::size_t subjects = 0;
    std::int64_t kindTokens = 0, subjectTokens = 0, ownTokens = 0;
};

// Long essays, short captions and tags, in the mix of a large site.
const std::vector<Kind> kinds {
    { "essay", 84, 450, 482, 4900, 1228 },
    { "caption", 133, 1200, 118, 80, 430 },
    { "tag", 151, 800, 128, 440, 1232 },
};

struct Summary {
    std::int64_t shared = 0, found = 0;
    std::vector<Milliseconds> firstEvents;
    std::map<std::size_t, std::int64_t> requests;
    std::int64_t crossing = 0, refusals = 0;
    double readWork = 0;

    void add(const FakeResult& it)
    {
        shared += it.shared;
        found += it.found;
        firstEvents.push_back(it.firstEvent);
        ++requests[it.engine];
        crossing += it.crossesDomain ? 1 : 0;
        readWork += it.readWork;
        refusals += static_cast<std::int64_t>(it.refusals);
    }
    double foundShare() const { return static_cast<double>(found) / static_cast<double>(std::max<std::int64_t>(1, shared)); }
    Milliseconds percentile(double part)
    {
        std::sort(firstEvents.begin(), firstEvents.end());
        return firstEvents.empty() ? 0ms : firstEvents[static_cast<std::size_t>(part * static_cast<double>(firstEvents.size() - 1))];
    }
};

// Requests of all kinds at random instances. Subjects are asked by a skewed distribution. A hot subject may have a rate of its own.
class Load {
public:
    explicit Load(FakeEngineFleet& fleet, std::size_t instances, double scale = 1)
        : m_fleet(fleet)
        , m_instances(instances)
        , m_scale(scale)
    {
    }

    Summary all, hot;

    void run(Seconds time, double hotPerSecond = 0)
    {
        double total = hotPerSecond;
        for (const auto& it : kinds)
            total += it.perSecond * m_scale;
        auto end = m_now + time;
        while ((m_now += Microseconds(static_cast<std::int64_t>(std::exponential_distribution<double>(total)(m_random) * 1e6))) < end) {
            auto choice = std::uniform_real_distribution<double>(0, total)(m_random);
            if (choice < hotPerSecond) {
                send(kinds[0], "hot", hot);
                continue;
            }
            choice -= hotPerSecond;
            for (const auto& it : kinds) {
                if ((choice -= it.perSecond * m_scale) <= 0) {
                    auto skewed = std::pow(std::uniform_real_distribution<double>(0, 1)(m_random), 2);
                    send(it, absl::StrCat(static_cast<std::size_t>(skewed * static_cast<double>(it.subjects))), all);
                    break;
                }
            }
        }
        m_now = end;
    }
    TimePoint now() const { return m_now; }

private:
    void send(const Kind& kind, const std::string& subject, Summary& summary)
    {
        auto request = requestWith(absl::StrCat("r", ++m_sent), { { kind.name, kind.kindTokens }, { absl::StrCat(kind.name, "-", subject), kind.subjectTokens }, { absl::StrCat("own-", m_sent), kind.ownTokens } });
        // A third of the requests goes to the large model at once, which stands for those that the small one answers badly.
        bool isLarge = m_sent % 3 == 0;
        summary.add(m_fleet.send(m_random() % m_instances, request, isLarge ? largeModel : smallModel, isLarge ? 1 : 0.25, m_now));
    }

    FakeEngineFleet& m_fleet;
    std::size_t m_instances;
    double m_scale;
    std::mt19937_64 m_random { 11 };
    TimePoint m_now = start;
    std::int64_t m_sent = 0;
};

}

TEST_CASE("the shared prefixes of a prompt are told apart by model and by all parts before their end")
{
    auto request = requestWith("r", { { "kind", 100 }, { "subject", 1000 }, { "own", 500 } });
    auto prefixes = sharedPrefixes(smallModel, request);
    REQUIRE(prefixes.size() == 2);
    CHECK(totalTokens(prefixes) == 1100);
    CHECK(prefixes[0].key != prefixes[1].key);

    SECTION("the same part after another one is another prefix")
    {
        auto other = sharedPrefixes(smallModel, requestWith("r", { { "other kind", 100 }, { "subject", 1000 }, { "own", 500 } }));
        CHECK(other[1].key != prefixes[1].key);
    }
    SECTION("the same parts for another model are another prefix")
    {
        CHECK(sharedPrefixes(largeModel, request)[0].key != prefixes[0].key);
    }
    SECTION("a prompt of one part shares nothing")
    {
        CHECK(sharedPrefixes(smallModel, requestWith("r", { { "own", 500 } })).empty());
    }
    SECTION("parts beyond the bound are left out")
    {
        std::vector<PromptPart> parts(100, PromptPart { "part", 1 });
        CHECK(sharedPrefixes(smallModel, requestWith("r", parts)).size() == maxPromptPrefixes);
    }
}

TEST_CASE("an engine holds what it has read until its memory turns over")
{
    PromptMemory memory;
    auto prefixes = sharedPrefixes(smallModel, requestWith("r", { { "kind", 100 }, { "subject", 1000 }, { "own", 500 } }));
    // 400,000 tokens at 20,000 a second.
    memory.setStoredTokensPerSecond(20000);
    auto retention = memory.retention(400000);
    auto held = [&](const std::string& process, TimePoint now) { return memory.heldProbability(process, prefixes[1], retention, now); };
    CHECK(retention == 20s);
    CHECK(held("engine#1", start) == 0);
    memory.recordRead("engine#1", prefixes, start);
    CHECK(held("engine#1", start + 5s) == 1);

    SECTION("the longer it is not used, the less likely it is still there")
    {
        CHECK(held("engine#1", start + 20s) == Approx(0.5));
        CHECK(held("engine#1", start + 31s) == 0);
    }
    SECTION("each use keeps it")
    {
        memory.recordRead("engine#1", prefixes, start + 18s);
        CHECK(held("engine#1", start + 25s) == 1);
    }
    SECTION("requests that run leave less memory, so it is evicted sooner")
    {
        CHECK(memory.retention(100000) == 5s);
        CHECK(memory.retention(-1) == PromptMemory::minRetention);
    }
    SECTION("a restart of the engine is another process, which holds nothing")
    {
        CHECK(held("engine#2", start + 1s) == 0);
        memory.keepOnly({ "engine#2" });
        CHECK(memory.prefixCount() == 0);
    }
    SECTION("another model reads it anew")
    {
        auto other = sharedPrefixes(largeModel, requestWith("r", { { "kind", 100 }, { "subject", 1000 }, { "own", 500 } }));
        CHECK(memory.heldProbability("engine#1", other[1], retention, start + 1s) == 0);
    }
    SECTION("an answer that shows that it was evicted tells the same of all that was used before")
    {
        auto later = sharedPrefixes(smallModel, requestWith("r", { { "kind", 100 }, { "later", 1000 }, { "own", 500 } }));
        auto earlier = sharedPrefixes(smallModel, requestWith("r", { { "kind", 100 }, { "earlier", 1000 }, { "own", 500 } }));
        memory.recordRead("engine#1", earlier, start - 1s);
        memory.recordRead("engine#1", later, start + 1s);
        memory.recordEvidence("engine#1", prefixes, CacheEvidence::Uncached);
        CHECK(held("engine#1", start + 2s) == 0);
        CHECK(memory.heldProbability("engine#1", earlier[1], retention, start + 2s) == 0);
        CHECK(memory.heldProbability("engine#1", later[1], retention, start + 2s) == 1);
        CHECK(memory.retention(400000) < retention);
    }
    SECTION("answers that show that it was there prolong the retention time")
    {
        memory.recordEvidence("engine#1", prefixes, CacheEvidence::Cached);
        CHECK(memory.retention(400000) > retention);
    }
    SECTION("the number of prefixes and of their holders is bounded, and the latest ones are kept")
    {
        constexpr auto processes = 2 * PromptMemory::maxHoldersPerPrefix;
        for (std::size_t n = 0; n < processes; ++n)
            memory.recordRead(absl::StrCat("other#", n), prefixes, start + Milliseconds(n));
        CHECK(held(absl::StrCat("other#", processes - 1), start + 1s) == 1);
        CHECK(held("other#0", start + 1s) == 0);
        for (std::size_t n = 0; n < 5 * PromptMemory::maxPrefixesPerGeneration; ++n) {
            auto next = sharedPrefixes(smallModel, requestWith("r", { { absl::StrCat("part-", n), 10 }, { "own", 10 } }));
            memory.recordRead("engine#1", next, start + 20s);
        }
        CHECK(memory.prefixCount() <= 2 * PromptMemory::maxPrefixesPerGeneration);
    }
}

TEST_CASE("the time to the first event shows whether the shared tokens were cached")
{
    CHECK(cacheEvidence(110ms, 100ms, 400ms) == CacheEvidence::Cached);
    CHECK(cacheEvidence(380ms, 100ms, 400ms) == CacheEvidence::Uncached);

    SECTION("not if the wait is much longer than the reading")
    {
        CHECK(cacheEvidence(2000ms, 2000ms, 2100ms) == CacheEvidence::None);
    }
    SECTION("not if there was little to read")
    {
        CHECK(cacheEvidence(12ms, 10ms, 20ms) == CacheEvidence::None);
    }
    SECTION("not if something else delayed it")
    {
        CHECK(cacheEvidence(3000ms, 100ms, 400ms) == CacheEvidence::None);
    }
}

TEST_CASE("the number of homes follows the heat of a prefix")
{
    PromptHomes homes;
    PromptPrefixes hot { { 1, 5000 } };
    auto run = [&](TimePoint from, Seconds time, std::size_t hotOfTen) {
        for (std::int64_t n = 0; n < time.count() * 10; ++n) {
            bool isHot = static_cast<std::size_t>(n % 10) < hotOfTen;
            homes.recordRequest(isHot ? hot : PromptPrefixes { { static_cast<std::uint64_t>(100 + n), 5000 } }, 6000, 60, from + Milliseconds(100 * n));
        }
    };

    SECTION("a single request gives it one home")
    {
        homes.recordRequest(hot, 6000, 60, start);
        CHECK(homes.homeCount(hot[0]) == 1);
    }
    SECTION("a part of three tenths of the work gets as many homes that none needs half of an engine for it")
    {
        run(start, 60s, 3);
        CHECK(homes.homeCount(hot[0]) >= 36);
        CHECK(homes.homeCount(hot[0]) <= 40);

        SECTION("and loses them when it cools down")
        {
            run(start + 60s, 120s, 0);
            homes.recordRequest(hot, 6000, 60, start + 180s);
            CHECK(homes.homeCount(hot[0]) == 1);
        }
        SECTION("and keeps their number while the rate varies a little")
        {
            std::set<std::size_t> counts;
            for (std::size_t n = 0; n < 300; ++n) {
                homes.recordRequest(n % 10 < 3 ? hot : PromptPrefixes { { 1000 + n, 5000 } }, n % 20 < 10 ? 6000 : 6200, 60, start + 60s + Milliseconds(100 * n));
                counts.insert(homes.homeCount(hot[0]));
            }
            CHECK(counts.size() <= 2);
        }
    }
    SECTION("a part that all ask for is at home everywhere, and no further")
    {
        run(start, 60s, 10);
        CHECK(homes.homeCount(hot[0]) == 60);
    }
}

TEST_CASE("instances agree on the homes of a prefix without messages")
{
    FakeEngineFleet fleet({});
    std::vector<const UpstreamEntry*> engines;
    for (const auto& it : fleet.engines())
        engines.push_back(&it);
    std::vector<bool> all(engines.size(), true);
    auto three = homeRanks({ 7, 100 }, engines, all, 3);
    auto ten = homeRanks({ 7, 100 }, engines, all, 10);

    SECTION("those that count more homes have the same first ones")
    {
        for (std::size_t n = 0; n < engines.size(); ++n) {
            if (three[n] < 3)
                CHECK(ten[n] == three[n]);
        }
    }
    SECTION("an engine that leaves moves no other home")
    {
        auto left = all;
        auto first = static_cast<std::size_t>(std::find(ten.begin(), ten.end(), 0) - ten.begin());
        left[first] = false;
        auto ranks = homeRanks({ 7, 100 }, engines, left, 9);
        for (std::size_t n = 0; n < engines.size(); ++n) {
            if (ten[n] > 0 && ten[n] < 10)
                CHECK(ranks[n] == ten[n] - 1);
        }
        CHECK(ranks[first] == 9);
    }
}

TEST_CASE("what an engine saves is weighed against the wait and its memory")
{
    PromptDemand demand { 6000, 1, 0.01, 2000ms, 60ms, 0 };
    EngineOutlook engine { 0, 1, 5000, 0 };

    SECTION("the saving is the time to read the cached tokens and their price")
    {
        CHECK(savedWork(demand, engine) == Approx(5000 * 3));
        CHECK(expectedFirstEvent(demand, engine, 5000) == 10ms);
        CHECK(expectedFirstEvent(demand, engine, 0) == 60ms);
    }
    SECTION("a small model reads faster, so it saves less time")
    {
        demand.modelWeight = 0.1;
        CHECK(savedWork(demand, engine) == Approx(5000 * 2.1));
    }
    SECTION("what an engine reads delays the requests that wait there")
    {
        demand.waitingRequests = 2;
        CHECK(savedWork(demand, engine) == Approx(5000 * 5));
    }
    SECTION("a caller is not made late for the price while another engine is free")
    {
        engine.waitingWork = 250000;
        CHECK(savedWork(demand, engine) == Approx(5000));
        engine.waitingWork = 149000;
        CHECK(savedWork(demand, engine) == Approx(5000 * 2));
    }
    SECTION("if all engines make callers wait, reading again would make more of them late")
    {
        engine.waitingWork = 250000;
        demand.fastestFirstEvent = 1500ms;
        CHECK(savedWork(demand, engine) == Approx(5000 * 3));
    }
    SECTION("a slow engine takes longer")
    {
        engine.speed = 0.5;
        CHECK(expectedFirstEvent(demand, engine, 0) == 120ms);
    }
    SECTION("a request that does not fit into the memory displaces others")
    {
        engine.cachedTokens = 0;
        engine.freeTokens = 1000;
        CHECK(savedWork(demand, engine) == Approx(-5000));
    }
    SECTION("a home that has to read it first saves the price for later requests")
    {
        engine.cachedTokens = 0;
        engine.laterTokens = 3000;
        CHECK(savedWork(demand, engine) == Approx(6000));
    }
}

TEST_CASE("one hot part at many times the rate of one engine is spread over more homes")
{
    FakeFleetSettings settings;
    settings.tokensPerMillisecond = 16;
    FakeEngineFleet fleet(settings);
    Load load(fleet, settings.instances);
    load.run(10s);
    load.all = {};
    load.run(15s, 120);
    CHECK(load.hot.percentile(0.99) <= settings.targetLatency);
    CHECK(load.all.percentile(0.99) <= settings.targetLatency);
    // One engine serves about ten of these a second.
    CHECK(load.hot.requests.size() >= 12);
    CHECK(load.hot.foundShare() > 0.9);

    SECTION("and when it has cooled down, it has one home again")
    {
        load.run(60s);
        auto request = requestWith("last", { { "essay", 482 }, { "essay-hot", 4900 }, { "own", 1228 } });
        auto prefixes = sharedPrefixes(smallModel, request);
        for (std::size_t n = 0; n < settings.instances; ++n) {
            fleet.placement(n).recordRequest(prefixes, 1500, load.now());
            CHECK(fleet.placement(n).homes().homeCount(prefixes.back()) == 1);
        }
    }
}

TEST_CASE("instances whose views of the work are old choose as well")
{
    auto age = GENERATE(0ms, 250ms, 1000ms);
    FakeFleetSettings settings;
    settings.tokensPerMillisecond = 8;
    settings.viewAge = age;
    FakeEngineFleet fleet(settings);
    Load load(fleet, settings.instances);
    load.run(15s);
    load.all = {};
    load.run(15s);
    INFO("views " << age.count() << " ms old");
    CHECK(load.all.percentile(0.99) <= settings.targetLatency);
    // The fixed credit finds as much on a large site.
    CHECK(load.all.foundShare() > 0.68);
}

TEST_CASE("an engine that restarts is no longer taken to hold anything, and fills up again")
{
    FakeEngineFleet fleet({});
    Load load(fleet, 73);
    load.run(20s);
    auto prefixes = sharedPrefixes(smallModel, requestWith("r", { { "essay", 482 }, { "essay-3", 4900 }, { "own", 1228 } }));
    auto before = fleet.placement(0).outlook(prefixes, fleet.memories(), load.now());
    auto home = static_cast<std::size_t>(std::max_element(before.begin(), before.end(), [](const auto& a, const auto& b) { return a.cachedTokens < b.cachedTokens; }) - before.begin());
    CHECK(before[home].cachedTokens > 2000);
    fleet.restart(home, load.now());
    auto after = fleet.placement(0).outlook(prefixes, fleet.memories(), load.now());
    CHECK(after[home].cachedTokens == 0);
    // It is still the home, so that it reads the part for later requests.
    CHECK(after[home].laterTokens > 2000);
    load.run(20s);
    auto later = fleet.placement(0).outlook(prefixes, fleet.memories(), load.now());
    CHECK(later[home].cachedTokens > 1000);
}

TEST_CASE("an instance that starts takes the engines that are there for filled, also soon after its machine started")
{
    UpstreamEntry entry;
    entry.id = { "engine-1" };
    PromptPlacement placement({ "a" });
    placement.setFleet({ 1, 1 }, { processName(entry) }, TimePoint { 1s });
    auto prefixes = sharedPrefixes(smallModel, requestWith("r", { { "essay", 482 }, { "essay-1", 4900 }, { "own", 1228 } }));
    CHECK(placement.outlook(prefixes, { { &entry, 400000 } }, TimePoint { 2s })[0].cachedTokens > 3000);
    entry.born = 7;
    placement.setFleet({ 1, 1 }, { processName(entry) }, TimePoint { 2s });
    CHECK(placement.outlook(prefixes, { { &entry, 400000 } }, TimePoint { 2s })[0].cachedTokens == 0);
}

TEST_CASE("the same part is read once for each of two models")
{
    FakeEngineFleet fleet({});
    auto send = [&](const std::string& id, const ModelId& model, TimePoint now) { return fleet.send(0, requestWith(id, { { "essay", 482 }, { "essay-1", 4900 }, { "own", 1228 } }), model, 1, now); };
    CHECK(send("r1", smallModel, start).found == 0);
    CHECK(send("r2", largeModel, start + 1s).found == 0);
    CHECK(send("r3", smallModel, start + 2s).found == 5382);
    CHECK(send("r4", largeModel, start + 3s).found == 5382);
}

TEST_CASE("73 instances that all ask for one new part at once fill no engine beyond its slots")
{
    FakeFleetSettings settings;
    FakeEngineFleet fleet(settings);
    Load load(fleet, settings.instances);
    load.run(10s);
    Summary summary;
    std::size_t maxRefusals = 0;
    for (std::size_t n = 0; n < settings.instances; ++n) {
        auto result = fleet.send(n, requestWith(absl::StrCat("new", n), { { "essay", 482 }, { "essay-new", 4900 }, { absl::StrCat("own-new", n), 1228 } }), smallModel, 0.25, load.now());
        summary.add(result);
        maxRefusals = std::max(maxRefusals, result.refusals);
    }
    // A route allows a few attempts.
    CHECK(maxRefusals <= 2);
    for (std::size_t n = 0; n < settings.engines; ++n)
        CHECK(fleet.runningOn(n, load.now()) <= settings.slots);
    // The fixed credit finds as much on a large site.
    CHECK(summary.foundShare() > 0.68);
    CHECK(summary.percentile(1) <= settings.targetLatency);

    SECTION("once they hear of each other, the next ones find the part")
    {
        Summary next;
        for (std::size_t n = 0; n < settings.instances; ++n)
            next.add(fleet.send(n, requestWith(absl::StrCat("next", n), { { "essay", 482 }, { "essay-new", 4900 }, { absl::StrCat("own-next", n), 1228 } }), smallModel, 0.25, load.now() + 2s + Milliseconds(20 * n)));
        CHECK(next.foundShare() > 0.9);
        CHECK(next.percentile(1) <= settings.targetLatency);
    }
}

TEST_CASE("instances tell each other what engines have read away from the first home")
{
    FakeEngineFleet fleet({});
    auto prefixes = sharedPrefixes(smallModel, requestWith("r", { { "essay", 482 }, { "essay-1", 4900 }, { "own", 1228 } }));
    auto engines = fleet.memories();
    auto outlooks = fleet.placement(0).outlook(prefixes, engines, start);
    auto firstHome = static_cast<std::size_t>(std::find_if(outlooks.begin(), outlooks.end(), [](const auto& it) { return it.isFirstHome; }) - outlooks.begin());
    auto other = firstHome == 0 ? std::size_t { 1 } : 0;
    auto read = [&](std::size_t engine, TimePoint now) { fleet.placement(0).recordRead({ processName(*engines[engine].entry), prefixes, 6610, 1, outlooks[engine], 0ms, 0ms, 0ms }, now); };

    SECTION("a read at the first home is not told, since all expect it there")
    {
        read(firstHome, start);
        CHECK(fleet.placement(0).news(true, start).empty());
    }
    SECTION("a read at another engine is told, and believed by the receiver")
    {
        read(other, start);
        auto news = fleet.placement(0).news(false, start + 200ms);
        REQUIRE(news.size() == 1);
        CHECK(news[0].age == 200ms);
        CHECK(news[0].tokens == 5382);
        fleet.placement(1).learn(news, start + 250ms);
        CHECK(fleet.placement(1).outlook(prefixes, engines, start + 300ms)[other].cachedTokens == 5382);

        SECTION("who does not pass it on keeps it to itself")
        {
            CHECK(fleet.placement(1).news(false, start + 300ms).empty());
            CHECK(fleet.placement(1).news(true, start + 300ms).size() == 1);
        }
        SECTION("it does not circulate")
        {
            auto back = fleet.placement(1).news(true, start + 300ms);
            fleet.placement(0).learn(back, start + 300ms);
            fleet.placement(1).learn(back, start + 900ms);
            CHECK(fleet.placement(0).news(true, start + 1200ms).empty());
            CHECK(fleet.placement(1).news(true, start + 1200ms).empty());
        }
        SECTION("it is told again only after a time")
        {
            read(other, start + 2s);
            CHECK(fleet.placement(0).news(false, start + 2s).empty());
            read(other, start + 6s);
            CHECK(fleet.placement(0).news(false, start + 6s).size() == 1);
        }
    }
    SECTION("old news is not believed")
    {
        fleet.placement(1).learn({ { prefixes[1].key, 1, 5382, PromptNews::maxAge + 10ms } }, start);
        CHECK(fleet.placement(1).memory().prefixCount() == 0);
    }
    SECTION("a message is bounded, and has the longest prefixes")
    {
        PromptNews news;
        for (std::uint64_t n = 0; n < 3 * PromptNews::maxKnown; ++n)
            news.record(n, 1, static_cast<std::int64_t>(n % 1000), start);
        auto told = news.news(false, start);
        CHECK(told.size() == PromptNews::maxSent);
        CHECK(told.back().tokens > 900);
    }
}

TEST_CASE("news of reads passes in heartbeats that instances of earlier versions read and write")
{
    FleetHeartbeat sent;
    sent.from = { { "edge-1" }, 1 };
    sent.readsDigests = true;
    sent.promptHoldings = { { 0xfedcba9876543210, 0x0123456789abcdef, 5382, 1230ms }, { 1, 2, 1000000, 2000s } };
    auto decoded = decodeHeartbeat(encodeHeartbeat(sent));
    REQUIRE(decoded);
    REQUIRE(decoded->promptHoldings.size() == 2);
    CHECK(decoded->promptHoldings[0].prefix == 0xfedcba9876543210);
    CHECK(decoded->promptHoldings[0].process == 0x0123456789abcdef);
    CHECK(decoded->promptHoldings[0].tokens == 5382);
    CHECK(decoded->promptHoldings[0].age == 1230ms);
    CHECK(decoded->promptHoldings[1].tokens == 65535);

    SECTION("an earlier version sends none")
    {
        auto json = nlohmann::json::from_cbor(encodeHeartbeat(sent));
        REQUIRE(json.at(23).size() == 5);
        json.at(23).erase(4);
        std::string bytes;
        nlohmann::json::to_cbor(json, bytes);
        auto earlier = decodeHeartbeat(bytes);
        REQUIRE(earlier);
        CHECK(earlier->promptHoldings.empty());
        CHECK(earlier->readsDigests);
    }
    SECTION("rows beyond the bound and incomplete ones are ignored")
    {
        std::vector<PromptHolding> many(500, PromptHolding { 1, 2, 3, 10ms });
        CHECK(promptHoldingsFrom(toJson(many)).size() == PromptNews::maxSent);
        CHECK(promptHoldingsFrom(nlohmann::json::binary(std::vector<std::uint8_t>(39))).size() == 1);
        CHECK_THROWS(promptHoldingsFrom(nlohmann::json("text")));
    }
    SECTION("a full message is small enough for a datagram beside the rest")
    {
        sent.promptHoldings.clear();
        auto empty = encodeHeartbeat(sent).size();
        sent.promptHoldings.assign(PromptNews::maxSent, PromptHolding { 1, 2, 3, 10ms });
        CHECK(encodeHeartbeat(sent).size() - empty < 2600);
    }
}

TEST_CASE("the shared tokens asked for and found are counted")
{
    FakeEngineFleet fleet({});
    Load load(fleet, 73);
    load.run(10s);
    PromptTokenCounts sum;
    for (std::size_t n = 0; n < 73; ++n) {
        const auto& it = fleet.placement(n).counts();
        sum.asked += it.asked;
        sum.believedCached += it.believedCached;
        sum.shownCached += it.shownCached;
        sum.shownUncached += it.shownUncached;
    }
    CHECK(sum.asked > 0);
    CHECK(sum.believedCached > 0);
    CHECK(sum.believedCached < sum.asked);
    CHECK(sum.shownCached + sum.shownUncached <= sum.asked);
}

TEST_CASE("compares the choice by prompt memory with a fixed credit at one home", "[.][compare]")
{
    for (double speed : { 50.0, 16.0, 8.0, 6.5, 6.0 }) {
        double scale = 1;
        for (double hotRate : { 0.0, 120.0 }) {
            for (const auto* choice : { "fixed", "memory", "memory and news" }) {
                FakeFleetSettings settings;
                settings.hasFixedCredit = choice == std::string("fixed");
                settings.tellsReads = choice == std::string("memory and news");
                settings.tokensPerMillisecond = speed;
                FakeEngineFleet fleet(settings);
                Load load(fleet, settings.instances, scale);
                load.run(15s);
                load.all = {};
                load.run(15s, hotRate);
                std::int64_t busiest = 0;
                for (const auto& [engine, n] : load.all.requests)
                    busiest = std::max(busiest, n + load.hot.requests[engine]);
                auto n = load.all.firstEvents.size() + load.hot.firstEvents.size();
                std::cout << "tokens/ms " << speed << " hot " << hotRate << " " << choice << " found " << load.all.foundShare() << " p50 " << load.all.percentile(0.5).count() << " p99 " << load.all.percentile(0.99).count() << " hot found " << load.hot.foundShare() << " p99 " << load.hot.percentile(0.99).count()
                          << " busiest/mean " << static_cast<double>(busiest * 60) / static_cast<double>(n) << " crossing " << static_cast<double>(load.all.crossing + load.hot.crossing) / static_cast<double>(n) << " read work " << (load.all.readWork + load.hot.readWork) / static_cast<double>(n) << " refusals " << load.all.refusals + load.hot.refusals << " home rate " << fleet.placement(0).homeHitRate() << std::endl;
            }
        }
    }
}
