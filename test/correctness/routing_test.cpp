// Tests routing: admission, routes, the upstream registry, load balancing, model choice and the retry budget.

#include "core/limits/crash_guard.h"
#include "core/limits/service_retry_budget.h"
#include "core/membership/store_revision.h"
#include "core/requests/admit_request.h"
#include "core/routing/model_choice.h"
#include "core/routing/routing_configuration.h"
#include "core/routing/upstream_balancer.h"
#include "core/routing/upstream_registry.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

UpstreamEntry upstream(const std::string& id, const std::string& domain = "a", std::int64_t slots = 8)
{
    return { { id }, { "assist" }, "10.0.0.1:80", { domain }, "v1", slots, true, 1, {} };
}

EngineProfile threeModels()
{
    EngineProfile engine;
    engine.modelCosts = { { { "small" }, 0.02 }, { { "medium" }, 0.15 }, { { "large" }, 0.3 } };
    return engine;
}

RoutedRequest prompt(std::int64_t tokens, const std::string& shared, std::int64_t sharedTokens)
{
    RoutedRequest request;
    request.id = { "r" };
    request.promptTokens = tokens;
    request.promptParts = { { shared, sharedTokens }, { "own", tokens - sharedTokens } };
    return request;
}

// Three engines with the inputs of the upstream choice.
struct Engines {
    UpstreamBalancer balancer { 7 };
    std::vector<UpstreamEntry> entries { upstream("e1"), upstream("e2"), upstream("e3") };
    RoutedService service { { "assist" }, "/", 0, threeModels() };
    std::vector<UpstreamId> tried;

    UpstreamId choose(const RoutedRequest& request, const std::string& ownDomain = "a", TimePoint now = start)
    {
        UpstreamQuery query { &request, &service, {}, &tried, { ownDomain } };
        for (const auto& it : entries)
            query.allowed.push_back(&it);
        const auto* chosen = balancer.choose(query, now);
        return chosen ? chosen->id : UpstreamId {};
    }
};

}

TEST_CASE("a request is admitted by its route and its API key")
{
    auto configuration = std::make_shared<RoutingConfiguration>();
    Route route;
    route.name = "draft";
    route.host = "a.example";
    route.prefix = "/draft/";
    route.rank = 2;
    route.timeout = 3000ms;
    route.split = { { { "assist" }, 1 } };
    configuration->routes = { route };
    configuration->services[{ "assist" }] = { { "assist" }, "/", 0, {} };
    configuration->hasTeams = true;
    configuration->keyOwners["key-1"] = { { "design" }, {} };
    configuration->keyOwners["key-2"] = { { "sales" }, 0 };
    AdmittedRequest admitted;
    admitted.configuration = configuration;
    auto& request = admitted.request;
    request.id = { "r" };
    request.host = "a.example";
    request.target = "/draft/x?y";
    request.key = "key-1";
    request.body = std::make_shared<const std::string>("prompt");

    SECTION("the request gets the service, rank and timeout of its route and the team of its key")
    {
        CHECK(admitRequest(admitted, start) == ErrorKind::None);
        CHECK(admitted.service->name.value == "assist");
        CHECK(admitted.team->value == "design");
        CHECK(admitted.rank == 2);
        CHECK(admitted.deadline == start + 3000ms);
    }
    SECTION("a caller's shorter timeout takes precedence over the route's")
    {
        request.callerTimeout = 700ms;
        CHECK(admitRequest(admitted, start) == ErrorKind::None);
        CHECK(admitted.deadline == start + 700ms);
    }
    SECTION("a team's rank takes precedence over the route's")
    {
        request.key = "key-2";
        CHECK(admitRequest(admitted, start) == ErrorKind::None);
        CHECK(admitted.rank == 0);
    }
    SECTION("an unknown key is rejected, except on anonymous routes")
    {
        request.key = "stolen";
        CHECK(admitRequest(admitted, start) == ErrorKind::UnknownKey);
        configuration->routes[0].anonymous = true;
        CHECK(admitRequest(admitted, start) == ErrorKind::None);
        CHECK_FALSE(admitted.team);
    }
    SECTION("a request that is not admitted gets the matching error")
    {
        request.target = "/other/";
        CHECK(admitRequest(admitted, start) == ErrorKind::UnknownTarget);
        request.target = "/draft/x";
        request.id = {};
        CHECK(admitRequest(admitted, start) == ErrorKind::BadHeader);
        request.id = { "r" };
        configuration->services.clear();
        CHECK(admitRequest(admitted, start) == ErrorKind::NoHealthyUpstream);
        admitted.configuration = nullptr;
        CHECK(admitRequest(admitted, start) == ErrorKind::NotConfigured);
    }
    SECTION("the fingerprint depends on the caller and the request, but not on the request id")
    {
        admitRequest(admitted, start);
        auto first = admitted.fingerprint;
        request.id = { "r2" };
        admitRequest(admitted, start);
        CHECK(admitted.fingerprint == first);
        request.key = "key-2";
        admitRequest(admitted, start);
        CHECK(admitted.fingerprint != first);
    }
}

TEST_CASE("a request is matched to its route")
{
    RoutingConfiguration configuration;
    auto add = [&](const std::string& name, const std::string& host, const std::string& prefix) {
        Route route;
        route.name = name;
        route.host = host;
        route.prefix = prefix;
        configuration.routes.push_back(route);
    };
    add("all", "a.example", "/");
    add("orders", "a.example", "/orders/");
    add("old-orders", "a.example", "/orders/old/");
    add("other", "b.example", "/");
    SECTION("the longest prefix of its host wins")
    {
        CHECK(configuration.findRoute("a.example", "/orders/old/7")->name == "old-orders");
        CHECK(configuration.findRoute("a.example", "/orders/7")->name == "orders");
        CHECK(configuration.findRoute("a.example", "/ordersold")->name == "all");
        CHECK(configuration.findRoute("b.example", "/orders/7")->name == "other");
    }
    SECTION("an unknown host has no route") { CHECK_FALSE(configuration.findRoute("c.example", "/")); }
    SECTION("a traffic split is stable for a session and follows the weights")
    {
        auto& route = configuration.routes[0];
        route.split = { { { "new" }, 10 }, { { "old" }, 90 } };
        int newCount = 0;
        for (int n = 0; n < 1000; ++n) {
            auto key = "session-" + std::to_string(n);
            CHECK(chooseService(route, key)->value == chooseService(route, key)->value);
            newCount += chooseService(route, key)->value == "new" ? 1 : 0;
        }
        CHECK(newCount > 60);
        CHECK(newCount < 140);
    }
    SECTION("a traffic split with zero total weight yields no service")
    {
        configuration.routes[0].split = { { { "new" }, 0 }, { { "old" }, 0 } };
        CHECK_FALSE(chooseService(configuration.routes[0], "x"));
    }
}

TEST_CASE("upstreams are registered and removed")
{
    using Change = UpstreamRegistry::Change;
    UpstreamRegistry registry;
    std::int64_t writes = 0;
    auto registered = [&](const UpstreamEntry& entry) { return registry.registered(entry, { entry.born, ++writes, writes }, start); };
    registered(upstream("u1"));
    registered(upstream("u2"));
    auto ids = [&] {
        std::string text;
        for (const auto& it : registry.usable())
            text += it.id.value + " ";
        return text;
    };
    SECTION("a repeated registration without changes is not reported as a change") { CHECK(registered(upstream("u1")) == Change::None); }
    SECTION("an upstream that is leaving gets no new work")
    {
        auto leaving = upstream("u1");
        leaving.takesWork = false;
        CHECK(registered(leaving) == Change::Updated);
        CHECK(ids() == "u2 ");
    }
    SECTION("an upstream whose entry is deleted while the store is available is removed at once")
    {
        registry.removed({ "u1" }, start, start);
        CHECK(ids() == "u2 ");
    }
    SECTION("an upstream whose entry expired during a store outage is kept until it had time to register again")
    {
        registry.removed({ "u1" }, start + 2s, start);
        CHECK(ids() == "u1 u2 ");
        SECTION("a longer time if the outage goes on")
        {
            CHECK_FALSE(registry.removeExpired(start + 7s, start + 2s));
            CHECK_FALSE(registry.removeExpired(start + 7s, start + 7s - 1ms));
            CHECK(registry.removeExpired(start + 7s, start + 7s));
            CHECK(ids() == "u2 ");
        }
        SECTION("it stays if it registers again")
        {
            registered(upstream("u1"));
            CHECK_FALSE(registry.removeExpired(start + 2s, start + 3s));
            CHECK(ids() == "u1 u2 ");
        }
    }
    // Guards against requests to an upstream that left, since an instance that read of it late waited from then on for its return.
    SECTION("the time for its return does not depend on when the removal of its entry is read")
    {
        registry.removed({ "u1" }, start + 2s, start + 1900ms);
        CHECK(registry.removeExpired(start + 2s, start + 2s));
        registry.removed({ "u2" }, start + 2s, start + 2s);
        CHECK(ids().empty());
    }
    SECTION("an upstream that is leaving is not kept after a store outage")
    {
        auto leaving = upstream("u1");
        leaving.takesWork = false;
        registered(leaving);
        registry.removed({ "u1" }, start + 2s, start);
        CHECK(registry.size() == 1);
    }
    SECTION("an incarnation whose address now belongs to another upstream has ended, but a later one with the same id has not")
    {
        EndedIncarnations ended;
        auto later = upstream("u1");
        later.born = 2;
        ended.end(upstream("u1"));
        CHECK(ended.contains(upstream("u1")));
        CHECK_FALSE(ended.contains(upstream("u2")));
        CHECK_FALSE(ended.contains(later));
        ended.end(later);
        ended.end(upstream("u1"));
        CHECK(ended.contains(later));
    }
}

// Guards against requests for upstreams that had left, and that an older copy of the store lists as ready.
TEST_CASE("an upstream that had left is not brought back by an older copy of the store")
{
    using Change = UpstreamRegistry::Change;
    UpstreamRegistry registry, other;
    auto entry = upstream("u1");
    entry.born = 100;
    auto version = [](std::int64_t born, std::int64_t writes, std::int64_t revision, std::int64_t era) { return EntryVersion { born, writes, revisionInEra(revision, era) }; };
    auto draining = entry;
    draining.takesWork = false;
    auto fromCopy = version(100, 4, 20, 2);
    registry.registered(entry, version(100, 4, 20, 1), start);

    SECTION("it was draining: the same incarnation stays away, also if it seems to have written again")
    {
        registry.registered(draining, version(100, 5, 30, 1), start);
        CHECK(registry.registered(entry, fromCopy, start + 5s) == Change::HeldBack);
        CHECK(registry.registered(entry, version(100, 9, 40, 2), start + 6s) == Change::HeldBack);
        CHECK(registry.usable().empty());
        CHECK(registry.size() == 1);
    }
    SECTION("its entry was removed: it stays away until it writes again")
    {
        registry.removed({ "u1" }, start, start);
        CHECK(registry.registered(entry, fromCopy, start + 5s) == Change::HeldBack);
        CHECK(registry.usable().empty());
        CHECK(registry.registered(entry, version(100, 6, 18, 2), start + 6s) == Change::Updated);
        CHECK(registry.usable().size() == 1);
        CHECK(registry.heldBack().empty());
    }
    SECTION("an earlier incarnation stays away, a later one does not")
    {
        registry.removed({ "u1" }, start, start);
        CHECK(registry.registered(entry, version(90, 50, 25, 2), start + 5s) == Change::HeldBack);
        CHECK(registry.registered(entry, version(110, 1, 15, 2), start + 5s) == Change::Updated);
    }
    SECTION("within an era of the store, what is written later holds")
    {
        registry.removed({ "u1" }, start, start);
        CHECK(registry.registered(entry, version(100, 4, 40, 1), start + 5s) == Change::Updated);
    }
    SECTION("an entry that does not count its writes is not held back for having been removed")
    {
        registry.registered(entry, version(100, 0, 21, 1), start);
        registry.removed({ "u1" }, start, start);
        CHECK(registry.registered(entry, version(100, 0, 20, 2), start + 5s) == Change::Updated);
    }
    SECTION("an entry that only the copy lacked comes back in whatever form")
    {
        registry.removed({ "u1" }, start + 2s, start);
        CHECK(registry.removeExpired(start + 2s, start + 5s));
        CHECK(registry.registered(entry, fromCopy, start + 6s) == Change::Updated);
    }
    SECTION("a peer that read only the copy learns what is held back")
    {
        bool wasDraining = GENERATE(false, true);
        if (wasDraining)
            registry.registered(draining, version(100, 5, 30, 1), start);
        else
            registry.removed({ "u1" }, start, start);
        registry.registered(entry, fromCopy, start + 5s);
        CHECK(other.registered(entry, fromCopy, start + 5s) == Change::Updated);
        REQUIRE(registry.heldBack().size() == 1);
        CHECK(other.learn(registry.heldBack()[0], start + 5s));
        CHECK(other.usable().empty());
        CHECK(other.heldBack().size() == 1);
        CHECK_FALSE(other.learn(registry.heldBack()[0], start + 6s));

        SECTION("and that it is over, once the store has removed the entry")
        {
            registry.removed({ "u1" }, start, start + 8s);
            CHECK(registry.heldBack().empty());
        }
    }
}

TEST_CASE("engines are chosen by prompt prefix and outstanding work")
{
    Engines engines;
    auto shared = prompt(12000, "cards", 5000);
    auto preferred = engines.choose(shared);

    SECTION("prompts with a shared prefix go to one engine while all are idle")
    {
        for (int n = 0; n < 20; ++n)
            CHECK(engines.choose(shared) == preferred);
    }
    SECTION("the preferred engine is kept while its wait is at most three times the prefill time of the shared prefix elsewhere")
    {
        engines.balancer.setPeerWork({ { preferred, { 1, 12000 } } });
        CHECK(engines.choose(shared) == preferred);
        engines.balancer.setPeerWork({ { preferred, { 1, 16000 } } });
        CHECK(engines.choose(shared) != preferred);
    }
    SECTION("a burst of prompts with one shared prefix spreads before its preferred engine is overloaded")
    {
        std::map<UpstreamId, int> sends;
        for (int n = 0; n < 12; ++n) {
            auto id = engines.choose(shared);
            engines.balancer.sent(id, 12000);
            ++sends[id];
        }
        CHECK(sends.size() == 3);
        for (const auto& [id, n] : sends)
            CHECK(n <= 6);
    }
    SECTION("a short urgent prompt avoids an engine with long prompts")
    {
        auto small = prompt(600, "care", 100);
        auto busy = engines.choose(small);
        engines.balancer.sent(busy, 40000);
        for (int n = 0; n < 10; ++n)
            CHECK(engines.choose(small) != busy);
    }
    SECTION("work sent by other instances is counted")
    {
        engines.balancer.setPeerWork({ { preferred, { 3, 60000 } } });
        CHECK(engines.choose(shared) != preferred);
    }
    SECTION("an engine without a free slot is the last choice")
    {
        for (int n = 0; n < 8; ++n) {
            engines.balancer.sent(preferred, 10);
            engines.balancer.begun(preferred, 10);
        }
        CHECK(engines.choose(shared) != preferred);
    }
    SECTION("a short prompt stays in its own domain unless that is busy")
    {
        engines.entries = { upstream("near", "a"), upstream("far", "b") };
        auto small = prompt(600, "care", 100);
        for (int n = 0; n < 10; ++n)
            CHECK(engines.choose(small) == UpstreamId { "near" });
        engines.balancer.sent({ "near" }, 4000);
        CHECK(engines.choose(small) == UpstreamId { "far" });
    }
    SECTION("ended requests leave no outstanding work")
    {
        engines.balancer.sent(preferred, 12000);
        engines.balancer.ended(preferred, 12000, false);
        engines.balancer.sent(preferred, 12000);
        engines.balancer.begun(preferred, 12000);
        engines.balancer.ended(preferred, 12000, true);
        CHECK(engines.balancer.workOn(preferred) == 0);
    }
}

TEST_CASE("an upstream with repeated failures is paused")
{
    Engines engines;
    auto request = prompt(12000, "x", 5000);
    auto bad = engines.choose(request);
    CHECK_FALSE(engines.balancer.failed(bad, start));
    CHECK_FALSE(engines.balancer.failed(bad, start));
    CHECK(engines.balancer.failed(bad, start));
    SECTION("other upstreams are chosen until the pause is over")
    {
        CHECK(engines.choose(request) != bad);
        CHECK(engines.choose(request, "a", start + 2s) == bad);
    }
    SECTION("a success resets the failure count")
    {
        Engines freshEngines;
        freshEngines.balancer.failed(bad, start);
        freshEngines.balancer.failed(bad, start);
        freshEngines.balancer.succeeded(bad);
        CHECK_FALSE(freshEngines.balancer.failed(bad, start));
    }
    // Guards against an upstream that stays out of use for long after one crash, which many requests see.
    SECTION("a crash that ends many requests pauses an upstream once, for the shortest time")
    {
        for (int n = 0; n < 30; ++n)
            CHECK_FALSE(engines.balancer.failed(bad, start));
        CHECK(engines.balancer.isEjected(bad, start + 900ms));
        CHECK_FALSE(engines.balancer.isEjected(bad, start + 1s));
    }
    SECTION("a paused upstream is chosen if all others were tried")
    {
        for (const auto& it : engines.entries) {
            if (it.id != bad)
                engines.tried.push_back(it.id);
        }
        CHECK(engines.choose(request) == bad);
    }
    SECTION("no upstream is chosen if all were tried")
    {
        for (const auto& it : engines.entries)
            engines.tried.push_back(it.id);
        CHECK(engines.choose(request).empty());
    }
}

TEST_CASE("the model size is chosen by confidence and load")
{
    auto engine = threeModels();
    SECTION("the weight of a token is the relative cost of its model")
    {
        CHECK(modelWeight(engine, { "large" }) == Approx(1));
        CHECK(modelWeight(engine, { "small" }) == Approx(0.02 / 0.3));
        CHECK(modelWeight(engine, { "unknown" }) == Approx(1));
    }
    EngineLoad idle { 500, 800, 0.3, 0.05 };
    EngineLoad burst { 60000, 800, 0.3, 0.05 };
    ModelChoiceSettings settings;
    SECTION("idle engines require the full confidence")
    {
        CHECK(requiredConfidence(idle, 0, 1000ms) == Approx(settings.idleConfidence));
    }
    SECTION("every response is accepted when the wait is far beyond the target")
    {
        CHECK(requiredConfidence(burst, 1, 200ms) == 0);
    }
    SECTION("in a burst of long prompts, their required confidence drops before that of short urgent prompts")
    {
        EngineLoad longPrompt { 18000, 12000, 2.5, 0.05 };
        EngineLoad shortPrompt { 18000, 800, 0.2, 0.05 };
        CHECK(requiredConfidence(longPrompt, 2, 6000ms) < requiredConfidence(shortPrompt, 0, 1000ms));
    }
    SECTION("long prompts of the most urgent rank are held back no sooner than their wait demands")
    {
        EngineLoad longPrompt { 18000, 12000, 2.5, 0.05 };
        CHECK(requiredConfidence(longPrompt, 0, 6000ms) > requiredConfidence(longPrompt, 1, 6000ms));
        CHECK(requiredConfidence(longPrompt, 0, 6000ms) > 0.4);
    }
    SECTION("a request without remaining time accepts any response")
    {
        CHECK(requiredConfidence(idle, 0, -5ms) == 0);
    }
    SECTION("the largest model follows the smallest, and nothing follows the largest")
    {
        Route route;
        route.models = { { "small" }, { "medium" }, { "large" } };
        REQUIRE(largerModel(route, { "small" }));
        CHECK(largerModel(route, { "small" })->value == "large");
        CHECK_FALSE(largerModel(route, { "large" }));
    }
}

// Guards against rejecting a harmless request: in an incident, one upstream that lost responses cut the same request twice,
// and the request was then rejected for 2 minutes.
TEST_CASE("a request that crashes upstreams is rejected, but one cut by a faulty upstream is not")
{
    CrashGuard guard;
    guard.recordCrash("f", { "u1/1" }, start);
    SECTION("two cuts by one upstream count once")
    {
        guard.recordCrash("f", { "u1/1" }, start + 1s);
        CHECK_FALSE(guard.refuses("f"));
    }
    SECTION("crashes of two upstreams count, also of two incarnations of one")
    {
        guard.recordCrash("f", { "u1/2" }, start + 1s);
        CHECK(guard.refuses("f"));
    }
    SECTION("a response to a later request clears all crashes recorded for an upstream")
    {
        guard.recordCrash("g", { "u1/1" }, start + 1s);
        guard.recordCrash("f", { "u2/1" }, start + 1s);
        guard.recordAlive({ "u1/1" }, start + 2s);
        CHECK_FALSE(guard.refuses("f"));
        CHECK(guard.crashCount("g") == 0);
    }
    // Guards against refusals of sound requests that are alike: two instances had one each at the upstream, and one crash of that counted
    // as two.
    SECTION("one crash that several instances saw counts once")
    {
        CrashGuard other;
        other.recordCrash("f", { "u1/1" }, start);
        guard.learn({ "edge-2" }, other.own(), start);
        guard.learn({ "edge-3" }, other.own(), start);
        CHECK(guard.crashCount("f") == 1);
        CHECK_FALSE(guard.refuses("f"));
        SECTION("and two crashes that two instances saw count as two")
        {
            other.recordCrash("f", { "u2/1" }, start);
            guard.learn({ "edge-2" }, other.own(), start);
            CHECK(guard.crashCount("f") == 2);
            CHECK(guard.refuses("f"));
        }
        SECTION("also if each of them saw one, and for an instance that saw none")
        {
            CrashGuard second, third;
            second.recordCrash("f", { "u2/1" }, start);
            third.learn({ "edge-1" }, guard.own(), start);
            third.learn({ "edge-2" }, second.own(), start);
            CHECK(third.refuses("f"));
        }
    }
    // Guards against a request that is refused for as long as two instances tell each other of its crashes.
    SECTION("crashes that peers go on reporting are dropped in time")
    {
        CrashGuard other;
        other.recordCrash("f", { "u2/1" }, start);
        auto now = start;
        for (int n = 0; n < 600; ++n, now += 250ms) {
            guard.learn({ "edge-2" }, other.own(), now);
            other.learn({ "edge-1" }, guard.own(), now);
            guard.forget(now - 120s);
            other.forget(now - 120s);
        }
        CHECK_FALSE(guard.refuses("f"));
        CHECK(guard.own().empty());
    }
    SECTION("crashes that a peer no longer reports are removed")
    {
        guard.learn({ "edge-2" }, { { "f", 1 } }, start);
        CHECK(guard.refuses("f"));
        guard.learn({ "edge-2" }, {}, start + 1s);
        CHECK_FALSE(guard.refuses("f"));
    }
    // Guards against a request that crashes upstreams again, since an instance that knew it was started again.
    SECTION("crashes of a peer's process that ended stay for a while")
    {
        guard.learn({ { "edge-2" }, 1 }, { { "f", 1 } }, start);
        guard.learn({ { "edge-2" }, 2 }, { { "g", 1 } }, start + 1s);
        CHECK(guard.refuses("f"));
        guard.learn({ { "edge-2" }, 2 }, {}, start + 2s);
        CHECK(guard.refuses("f"));
        CHECK(guard.crashCount("g") == 0);
        guard.forget(start + 3s);
        CHECK_FALSE(guard.refuses("f"));
    }
}

TEST_CASE("retries stay within the budget of the site")
{
    ServiceRetryBudget budget({ 0.5, 10, 10000ms });
    for (int n = 0; n < 40; ++n)
        budget.requestArrived(start);
    auto takeAllRetries = [&](std::size_t instances, TimePoint now) {
        int n = 0;
        while (budget.take(instances, now))
            ++n;
        return n;
    };
    SECTION("the budget is a share of the requests and this instance's part of the headroom")
    {
        CHECK(takeAllRetries(10, start) == static_cast<int>(ServiceRetryBudget::safetyFactor * (0.5 * 40 + 1)));
    }
    SECTION("a single instance has the whole headroom")
    {
        CHECK(takeAllRetries(1, start) == static_cast<int>(ServiceRetryBudget::safetyFactor * (0.5 * 40 + 10)));
    }
    SECTION("requests outside the sliding window do not count")
    {
        takeAllRetries(1, start);
        CHECK(takeAllRetries(1, start + 11s) == static_cast<int>(ServiceRetryBudget::safetyFactor * 10));
    }
    SECTION("retries with a larger model leave part of the budget for retries after failures")
    {
        int largerModelRetries = 0;
        while (budget.take(1, start, ServiceRetryBudget::largerModelFraction))
            ++largerModelRetries;
        CHECK(largerModelRetries == static_cast<int>(ServiceRetryBudget::largerModelFraction * ServiceRetryBudget::safetyFactor * (0.5 * 40 + 10)));
        CHECK(budget.take(1, start));
    }
}
