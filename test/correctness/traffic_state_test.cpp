// Tests which releases the shared state of an instance's requests allows during a rollout.

#include "core/hashing.h"
#include "edge/prompt_expectation.h"
#include "edge/traffic_state.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <thread>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

const ServiceId assist { "assist" };

// A view with an upstream of each release, in the canary stage of a rollout to v2.
FleetView canaryView(bool isFullMesh, TimePoint orderedAt)
{
    auto configuration = std::make_shared<RoutingConfiguration>();
    configuration->services[assist] = { assist, "/", 0, {} };
    FleetView view;
    view.configuration = configuration;
    view.upstreams[assist] = { { { "i-1" }, assist, "10.0.0.1:80", { "a" }, "v1", 8, true, 1, {} }, { { "i-2" }, assist, "10.0.0.2:80", { "a" }, "v2", 8, true, 1, {} } };
    view.rollouts[assist] = { "v2", RolloutStage::Canary, false, orderedAt };
    view.isFullMesh = isFullMesh;
    return view;
}

// A request of a session that the canary stage gives to the target.
RoutedRequest canaryRequest()
{
    RoutedRequest request;
    for (int n = 0; unitHash("rollout", request.session) >= sessionShareOf(RolloutStage::Canary) || request.session.empty(); ++n)
        request.session = absl::StrCat("session-", n);
    return request;
}

}

// Guards against upstreams and releases that are blamed for responses which the instance's own lost links held up.
TEST_CASE("late responses count against their upstream only once it is known that the links are whole")
{
    EventLoop loop;
    EdgeMetrics metrics;
    TrafficState traffic(loop, TrafficSettings {}, metrics);
    auto view = canaryView(true, bootNow());
    traffic.setView(std::make_shared<const FleetView>(view));
    const ReleaseRoute route { assist, "v2", "r", {} };
    for (int n = 0; n < 3; ++n)
        traffic.recordSilence({ { "i-2" }, { "id" }, LateResponse { "i-2/1", route, bootNow() } });
    auto checks = traffic.links().beginRound(view.upstreams, bootNow()).size();
    REQUIRE(checks == 2);
    auto failures = [&] {
        traffic.recordAnswer("i-2/1", bootNow() + 1s);
        return traffic.report().evidence[route].failed;
    };
    CHECK_FALSE(traffic.balancer().isEjected({ "i-2" }, bootNow()));
    SECTION("they are lost: neither the upstream nor its release is to blame")
    {
        for (std::size_t n = 0; n < checks; ++n)
            traffic.recordLinkCheck(false);
        CHECK(traffic.links().isLost());
        CHECK_FALSE(traffic.balancer().isEjected({ "i-2" }, bootNow()));
        CHECK(failures() == 0);
    }
    SECTION("another upstream is reached: the upstream is ejected, and its release has three failures")
    {
        traffic.recordLinkCheck(true);
        CHECK(traffic.balancer().isEjected({ "i-2" }, bootNow()));
        CHECK(failures() == 3);
    }
}

// Guards against an active session being moved to the target by an instance that has not learned yet which release serves it.
TEST_CASE("the canary stage waits until all instances know which releases serve active sessions")
{
    EventLoop loop;
    EdgeMetrics metrics;
    TrafficState traffic(loop, TrafficSettings {}, metrics);
    auto now = bootNow() + 60s;
    auto request = canaryRequest();
    auto releaseFor = [&](const FleetView& view) {
        traffic.setView(std::make_shared<const FleetView>(view));
        auto eligible = traffic.findEligibleUpstreams(assist, request, now);
        REQUIRE(eligible.allowed.size() == 1);
        return eligible.allowed[0]->release;
    };
    SECTION("for some heartbeats in a large site, where instances pass on what they learn")
    {
        CHECK(releaseFor(canaryView(false, now - 500ms)) == "v1");
        CHECK(releaseFor(canaryView(false, now - 3s)) == "v2");
    }
    SECTION("not in a small site, where each instance hears all others") { CHECK(releaseFor(canaryView(true, now - 500ms)) == "v2"); }
    SECTION("and then leaves a session on its release that another instance has served")
    {
        PeerUpdate update;
        update.sessions = { { hashOf(request.session), "v1", 100ms } };
        traffic.learn(update);
        now = bootNow() + 3s;
        CHECK(releaseFor(canaryView(false, now - 10s)) == "v1");
        SECTION("which it passes on")
        {
            auto view = canaryView(false, now - 10s);
            traffic.setView(std::make_shared<const FleetView>(view));
            CHECK(traffic.report().sessions.size() == 1);
            view.isFullMesh = true;
            traffic.setView(std::make_shared<const FleetView>(view));
            CHECK(traffic.report().sessions.empty());
        }
    }
}

// Guards against a healthy upstream that crashes since it must reject too much.
TEST_CASE("a brittle upstream gets what certainly fits")
{
    EventLoop loop;
    EdgeMetrics metrics;
    TrafficState traffic(loop, TrafficSettings { { "edge-1" } }, metrics);
    auto view = canaryView(true, bootNow());
    view.rollouts.clear();
    view.entries = { { { "edge-1" }, { "a" }, "10.0.1.1:80" } };
    for (auto& it : view.upstreams.at(assist))
        it.slots = 4;
    traffic.setView(std::make_shared<const FleetView>(view));
    const auto& upstream = view.upstreams.at(assist).front();
    auto now = bootNow();
    auto mayGet = [&](TimePoint at) {
        std::vector<const UpstreamEntry*> upstreams { &upstream };
        traffic.limits().assignShares(at);
        traffic.removeLimited(upstreams, 1, at);
        return !upstreams.empty() && !traffic.removePaused(upstreams, at);
    };
    CHECK(mayGet(now));
    traffic.recordLimit(upstream, { .status = 200, .admissibleRejections = 2 }, now);
    CHECK_FALSE(mayGet(now));
    CHECK(mayGet(now + 1s));
    SECTION("never more requests at once than it has places")
    {
        for (int n = 0; n < 4; ++n)
            traffic.balancer().sent(upstream.id, 0);
        CHECK_FALSE(mayGet(now + 60s));
        traffic.balancer().ended(upstream.id, 0, false);
        CHECK(mayGet(now + 60s));
    }
    SECTION("nothing for a while after it has rejected a request, which is no failure of it")
    {
        traffic.recordLimit(upstream, { .status = 503, .notRun = true, .admissibleRejections = 2 }, now);
        CHECK_FALSE(mayGet(now + 3900ms));
        CHECK(mayGet(now + 6s));
        CHECK_FALSE(traffic.balancer().isEjected(upstream.id, now));
    }
    SECTION("everything once it says so no more")
    {
        traffic.recordLimit(upstream, { .status = 200 }, now);
        CHECK(mayGet(now));
    }
}

// Guards against a storm of heartbeats after crashes of upstreams, in which every instance of a large site passes on all that the others
// add to what is known of them.
TEST_CASE("only what passes news on tells at once what it learned of crashes")
{
    EventLoop loop;
    EdgeMetrics metrics;
    TrafficState traffic(loop, TrafficSettings { { "edge-1" } }, metrics);
    int urgent = 0;
    traffic.onUrgentNews([&] { ++urgent; });
    auto view = canaryView(false, bootNow());
    PeerNews news;
    news.promptParts.crashes = { { "i-1/1", 100ms, std::nullopt, { "part" }, { 7 } } };
    SECTION("a hub does")
    {
        traffic.setView(std::make_shared<const FleetView>(view));
        traffic.learn(news);
        CHECK(urgent == 1);
    }
    SECTION("another instance does not, but tells what it saw itself")
    {
        view.passesOnNews = false;
        traffic.setView(std::make_shared<const FleetView>(view));
        traffic.learn(news);
        CHECK(urgent == 0);
        traffic.recordLostRequest({ "i-2/1", { "r-1" }, { "part" }, bootNow() }, bootNow());
        CHECK(urgent == 1);
    }
}

// Guards against an upstream that has just started and crashes under its share of the load.
TEST_CASE("a cold upstream gets few requests until it is warm")
{
    EventLoop loop;
    EdgeMetrics metrics;
    TrafficState traffic(loop, TrafficSettings { { "edge-1" } }, metrics);
    auto view = canaryView(true, bootNow());
    view.rollouts.clear();
    view.entries = { { { "edge-1" }, { "a" }, "10.0.1.1:80" } };
    auto configuration = *view.configuration;
    configuration.services[assist].coldRequestsPerSecond = 4;
    view.configuration = std::make_shared<RoutingConfiguration>(configuration);
    auto& upstream = view.upstreams[assist].front();
    upstream.coldUntil = bootNow() + 150ms;
    traffic.setView(std::make_shared<const FleetView>(view));
    auto allowed = [&] {
        int count = 0;
        for (int n = 0; n < 20; ++n) {
            auto eligible = traffic.findEligibleUpstreams(assist, {}, bootNow()).allowed;
            traffic.removeLimited(eligible, 1, bootNow());
            if (std::any_of(eligible.begin(), eligible.end(), [](const auto* it) { return it->id.value == "i-1"; })) {
                traffic.limits().sent("i-1/1", bootNow());
                traffic.recordLimit("i-1/1", std::nullopt, bootNow());
                ++count;
            }
        }
        return count;
    };
    CHECK(allowed() <= 2);
    SECTION("and then as many as others")
    {
        std::this_thread::sleep_for(200ms);
        traffic.report();
        CHECK(allowed() == 20);
    }
    SECTION("also at an instance that knows it from a peer only, while its answers say nothing of it")
    {
        TrafficState other(loop, TrafficSettings { { "edge-2" } }, metrics);
        auto warmView = view;
        warmView.upstreams[assist].front().coldUntil = {};
        other.setView(std::make_shared<const FleetView>(warmView));
        upstream.coldUntil = bootNow() + 60s;
        traffic.setView(std::make_shared<const FleetView>(view));
        PeerNews news;
        news.limits = traffic.report().news.limits;
        other.learn(news);
        other.recordLimit("i-1/1", std::nullopt, bootNow());
        CHECK(other.limits().isLimited("i-1/1"));
        news.limits = other.report().news.limits;
        traffic.learn(news);
        CHECK(traffic.limits().isLimited("i-1/1"));
    }
    SECTION("also if only an answer says that it is cold again")
    {
        TrafficState other(loop, TrafficSettings { { "edge-2" } }, metrics);
        upstream.coldUntil = {};
        other.setView(std::make_shared<const FleetView>(view));
        REQUIRE_FALSE(other.limits().isLimited("i-1/1"));
        other.recordLimit(upstream, { .status = 200, .coldFor = 60s }, bootNow());
        CHECK(other.limits().isLimited("i-1/1"));
        other.recordLimit(upstream, { .status = 200 }, bootNow());
        CHECK(other.limits().isLimited("i-1/1"));
    }
    SECTION("also if its domain has just returned and there is another one, whatever its entry says")
    {
        TrafficState other(loop, TrafficSettings { { "edge-2" } }, metrics);
        upstream.coldUntil = {};
        view.domains.returnedAt[upstream.domain] = bootNow() - DomainAvailability::refillTime;
        other.setView(std::make_shared<const FleetView>(view));
        CHECK_FALSE(other.limits().isLimited("i-1/1"));
        view.domains.returnedAt[upstream.domain] = bootNow();
        other.setView(std::make_shared<const FleetView>(view));
        CHECK_FALSE(other.limits().isLimited("i-1/1"));
        view.upstreams[assist].back().domain = { "b" };
        other.setView(std::make_shared<const FleetView>(view));
        CHECK(other.limits().isLimited("i-1/1"));
        CHECK_FALSE(other.limits().isLimited("i-2/1"));
    }
    SECTION("a service whose upstreams are never cold has no such limit")
    {
        TrafficState other(loop, TrafficSettings { { "edge-1" } }, metrics);
        configuration.services[assist].coldRequestsPerSecond = 0;
        view.configuration = std::make_shared<RoutingConfiguration>(configuration);
        other.setView(std::make_shared<const FleetView>(view));
        CHECK_FALSE(other.limits().isLimited("i-1/1"));
    }
}

// Guards against an upstream in need that gets its usual load again, since it was cut off from the store for some seconds.
TEST_CASE("the limit of an upstream outlasts a time in which its entry is missing")
{
    EventLoop loop;
    EdgeMetrics metrics;
    TrafficState traffic(loop, TrafficSettings { { "edge-1" } }, metrics);
    auto view = canaryView(true, bootNow());
    view.rollouts.clear();
    view.entries.push_back({ { "edge-1" }, { "a" }, "10.0.0.9:80" });
    traffic.setView(std::make_shared<const FleetView>(view));
    auto upstream = view.upstreams[assist].front();
    bool isBrittle = GENERATE(false, true);
    UpstreamResponse response { .status = 200, .requestLimit = 0.5 };
    if (isBrittle)
        response.admissibleRejections = 1;
    traffic.recordLimit(upstream, response, bootNow());
    REQUIRE(traffic.limits().isLimited("i-1/1"));
    auto without = view;
    without.upstreams[assist].erase(without.upstreams[assist].begin());
    traffic.setView(std::make_shared<const FleetView>(without));

    SECTION("the same process is back")
    {
        traffic.setView(std::make_shared<const FleetView>(view));
        CHECK(traffic.limits().isLimited("i-1/1"));
        traffic.limits().sent("i-1/1", bootNow());
        traffic.limits().sent("i-1/1", bootNow());
        auto allowed = traffic.findEligibleUpstreams(assist, {}, bootNow()).allowed;
        REQUIRE(allowed.size() == 2);
        traffic.removeLimited(allowed, 1, bootNow());
        CHECK(allowed.size() == 1);
    }
    SECTION("another process of the upstream has no limit, and its predecessor is forgotten")
    {
        view.upstreams[assist].front().born = 2;
        traffic.setView(std::make_shared<const FleetView>(view));
        CHECK_FALSE(traffic.limits().isLimited("i-1/2"));
        CHECK_FALSE(traffic.limits().isLimited("i-1/1"));
    }
}

TEST_CASE("instances tell each other in their reports what engines have read")
{
    EventLoop loop;
    EdgeMetrics metrics;
    auto configuration = std::make_shared<RoutingConfiguration>();
    configuration->services[assist] = { assist, "/", 0, EngineProfile { 8, 400000, 1, {} } };
    FleetView view;
    view.configuration = configuration;
    for (const auto* id : { "i-1", "i-2", "i-3" })
        view.upstreams[assist].push_back({ { id }, assist, "10.0.0.1:80", { "a" }, "v1", 8, true, 1, {} });
    view.entries.resize(2);
    TrafficSettings settings { .usesPromptMemory = true };
    TrafficState first(loop, settings, metrics), second(loop, settings, metrics);
    first.setView(std::make_shared<const FleetView>(view));
    second.setView(std::make_shared<const FleetView>(view));
    REQUIRE(first.prompts(assist));
    RoutedRequest request;
    request.promptParts = { { "kind", 500 }, { "subject", 4000 }, { "own", 100 } };
    auto prefixes = sharedPrefixes({ "m" }, request);
    first.recordPromptRead(assist, { "i-2/1", prefixes, 4600, 1, {}, {}, {}, {} }, bootNow());
    CHECK(metrics.text().find("skylarkhitch_edge_shared_prompt_tokens_total{kind=\"asked\"} 4500") != std::string::npos);

    SECTION("the receiver expects it there")
    {
        auto report = first.report();
        REQUIRE(report.news.promptHoldings.size() == 1);
        second.learn(report.news);
        auto process = processName(view.upstreams[assist][1]);
        auto outlook = second.prompts(assist)->outlook(prefixes, { { &view.upstreams[assist][1], 400000 } }, bootNow());
        CHECK(process == "i-2/1");
        CHECK(outlook[0].cachedTokens == 4500);
    }
    SECTION("it is not used where the memory of engines is unknown, or it is switched off")
    {
        CHECK_FALSE(first.prompts({ "other" }));
        TrafficState off(loop, TrafficSettings {}, metrics);
        off.setView(std::make_shared<const FleetView>(view));
        CHECK_FALSE(off.prompts(assist));
        off.recordPromptRead(assist, { "i-2/1", prefixes, 4600, 1, {}, {}, {}, {} }, bootNow());
        CHECK(off.report().news.promptHoldings.empty());
    }
    SECTION("an engine that is gone takes its records along")
    {
        view.upstreams[assist][1].born = 2;
        first.setView(std::make_shared<const FleetView>(view));
        CHECK(first.prompts(assist)->memory().prefixCount() == 0);
    }
}

TEST_CASE("a prompt goes to the engine that has just read its shared part")
{
    EventLoop loop;
    EdgeMetrics metrics;
    auto configuration = std::make_shared<RoutingConfiguration>();
    configuration->services[assist] = { assist, "/", 0, EngineProfile { 8, 400000, 1, {} } };
    const auto& service = configuration->services[assist];
    FleetView view;
    view.configuration = configuration;
    for (const auto* id : { "i-1", "i-2", "i-3", "i-4" })
        view.upstreams[assist].push_back({ { id }, assist, "10.0.0.1:80", { "a" }, "v1", 8, true, 1, {} });
    view.entries.resize(1);
    const auto& engines = view.upstreams[assist];
    std::vector<const UpstreamEntry*> allowed;
    for (const auto& it : engines)
        allowed.push_back(&it);
    TrafficState traffic(loop, { .domain = { "a" }, .usesPromptMemory = true }, metrics);
    traffic.setView(std::make_shared<const FleetView>(view));
    RoutedRequest request;
    request.promptParts = { { "kind", 500 }, { "subject", 4000 }, { "own", 100 } };
    request.promptTokens = 4600;
    auto prefixes = sharedPrefixes({ "m" }, request);
    auto now = bootNow();
    auto demand = promptDemand(traffic, request.promptTokens, 1, 10s);
    auto creditsNow = [&] { return promptCredits(traffic, service, prefixes, demand, allowed, now); };
    std::vector<UpstreamId> tried;
    auto choose = [&](const PromptCredits& credits) {
        UpstreamQuery query { &request, &service, allowed, &tried, { "a" } };
        query.timeLeft = 10s;
        query.promptCredits = &credits;
        return traffic.balancer().choose(query, now);
    };
    // Records that the engine has read the prompt.
    auto read = [&](const UpstreamEntry& engine) {
        PromptRead it { processName(engine), prefixes, request.promptTokens, 1, {}, {}, {}, {} };
        setExpectedTimes(traffic, engine, it, now);
        it.firstEvent = it.expectedIfUncached;
        traffic.recordPromptRead(assist, it, now);
    };

    for (const auto& engine : engines) {
        SECTION("after " + engine.id.value + " has read it")
        {
            read(engine);
            auto credits = creditsNow();
            CHECK(credits[engine.id].outlook.cachedTokens == 4500);
            for (int n = 0; n < 20; ++n)
                CHECK(choose(credits)->id == engine.id);
            CHECK(traffic.balancer().lastPlacement().cachedTokens == 4500);
            PromptRead next { processName(engine), prefixes, request.promptTokens, 1, credits[engine.id].outlook, {}, {}, {} };
            CHECK(unreadWork(next) == 100);
        }
    }
    SECTION("the first home gets it if all engines hold it")
    {
        for (const auto& engine : engines)
            read(engine);
        auto credits = creditsNow();
        for (int n = 0; n < 20; ++n)
            CHECK(credits[choose(credits)->id].outlook.isFirstHome);
    }
    SECTION("unless so much waits there that another engine reads it sooner")
    {
        read(engines[1]);
        for (int n = 0; n < 8; ++n)
            traffic.balancer().sent({ "i-2" }, 20000);
        CHECK(choose(creditsNow())->id.value != "i-2");
    }
    SECTION("the expected times differ by the shared tokens, and count the work that waits")
    {
        traffic.balancer().sent({ "i-3" }, 10000);
        PromptRead it { "i-3/1", prefixes, 4600, 1, {}, {}, {}, {} };
        setExpectedTimes(traffic, engines[2], it, now);
        CHECK(it.expectedIfUncached - it.expectedIfCached == 225ms);
        CHECK(it.expectedIfCached >= 500ms);
    }
    SECTION("without the memory of prompts, no engine is preferred for its records")
    {
        TrafficState off(loop, TrafficSettings {}, metrics);
        off.setView(std::make_shared<const FleetView>(view));
        CHECK(promptCredits(off, service, prefixes, demand, allowed, now).empty());
    }
}

// Guards against sound requests that are withdrawn for a quarantine that does not refuse them.
TEST_CASE("a quarantine withdraws the waiting requests that it refuses, and no others")
{
    EventLoop loop;
    EdgeMetrics metrics;
    TrafficState traffic(loop, TrafficSettings {}, metrics);
    traffic.setView(std::make_shared<const FleetView>(canaryView(true, bootNow())));
    std::vector<std::string> withdrawn;
    for (const std::vector<std::string>& parts : { std::vector<std::string> { "sound" }, { "fatal" }, { "sound", "fatal" } })
        traffic.addWaiting({ parts, [&withdrawn, parts] { withdrawn.push_back(parts.back()); } });
    auto now = bootNow();
    auto lose = [&](int process, const std::vector<std::string>& parts, Milliseconds ago) {
        traffic.recordLostRequest({ absl::StrCat("i-", process), { absl::StrCat("id-", process) }, parts, now - ago - 1s }, now - ago);
    };
    SECTION("two parts are in the same crashes, and one of them in a crash more")
    {
        lose(1, { "sound", "fatal" }, 2000ms);
        lose(2, { "sound", "fatal" }, 1000ms);
        lose(3, { "sound", "fatal" }, 60ms);
        lose(4, { "fatal" }, 50ms);
        traffic.evaluateCrashes(now);
        CHECK(withdrawn == std::vector<std::string> { "fatal", "fatal" });
    }
    SECTION("two parts are in the same crashes")
    {
        for (int n = 1; n <= 3; ++n)
            lose(n, { "sound", "fatal" }, 4000ms - n * 1000ms);
        traffic.evaluateCrashes(now);
        CHECK(withdrawn == std::vector<std::string> { "fatal" });
    }
}
