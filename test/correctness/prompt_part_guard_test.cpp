// Tests which prompt parts are held responsible for crashes of upstreams, and for how long.

#include "core/limits/prompt_part_guard.h"
#include "core/membership/fleet_membership.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

using Parts = std::vector<std::string>;
using Verdict = PromptPartGuard::Verdict;

constexpr TimePoint start { 1000s };

// The connections of requests with these parts are lost at the same moment.
void crash(PromptPartGuard& guard, const std::string& process, const std::vector<Parts>& requests, TimePoint now)
{
    for (std::size_t n = 0; n < requests.size(); ++n)
        guard.recordLost({ process, { absl::StrCat(process, "-", n) }, requests[n], now - 100ms }, now);
}

bool isRefused(PromptPartGuard& guard, const std::string& part, TimePoint now)
{
    guard.evaluate(now + PromptPartGuard::evaluationDelay);
    return guard.decide({ "sys", part }, false, now) == Verdict::Refused;
}

// Instances tell each other what they know.
void exchange(PromptPartGuard& a, PromptPartGuard& b, TimePoint now)
{
    auto news = a.news(now);
    a.learn(b.news(now), now);
    b.learn(news, now);
}

}

TEST_CASE("the parts of a prompt that may crash upstreams are all but the last")
{
    RoutedRequest request;
    CHECK(sharedParts(request).empty());
    request.promptParts = { { "sys", 100 } };
    CHECK(sharedParts(request).empty());
    request.promptParts = { { "sys", 100 }, { std::string(5000, 'x'), 10 }, { "own", 10 } };
    auto parts = sharedParts(request);
    REQUIRE(parts.size() == 2);
    CHECK(parts[0] == "sys");
    CHECK(parts[1].size() <= 16);
}

TEST_CASE("a part that crashes upstreams is found among the parts of the requests beside it")
{
    PromptPartGuard guard;
    guard.recordServed({ "sys" }, start - 10s);

    SECTION("one crash quarantines nothing")
    {
        crash(guard, "i-1", { { "sys", "bad" }, { "sys", "good" } }, start);
        CHECK_FALSE(isRefused(guard, "bad", start));
        CHECK(guard.isSuspected({ "sys", "bad" }));
        CHECK_FALSE(guard.isSuspected({ "sys", "other" }));
    }
    SECTION("the only part that two crashes have in common is quarantined, and the parts beside it are not")
    {
        crash(guard, "i-1", { { "sys", "bad" }, { "sys", "good" }, { "sys", "rare" } }, start);
        crash(guard, "i-2", { { "sys", "other" }, { "sys", "bad" } }, start + 200ms);
        CHECK(isRefused(guard, "bad", start + 200ms));
        CHECK(guard.crashesOf("bad") == 2);
        for (const auto* it : { "good", "rare", "other" }) {
            CHECK_FALSE(isRefused(guard, it, start + 200ms));
            CHECK_FALSE(guard.isSuspected({ "sys", it }));
        }
        CHECK(guard.decide({ "sys" }, false, start + 1s) == Verdict::Allowed);
    }
    SECTION("two parts in common need a third crash, which tells them apart")
    {
        crash(guard, "i-1", { { "sys", "bad" }, { "sys", "good" } }, start);
        crash(guard, "i-2", { { "sys", "bad" }, { "sys", "good" } }, start + 200ms);
        CHECK_FALSE(isRefused(guard, "bad", start + 200ms));
        crash(guard, "i-3", { { "sys", "bad" } }, start + 400ms);
        CHECK(isRefused(guard, "bad", start + 400ms));
        CHECK_FALSE(isRefused(guard, "good", start + 400ms));
    }
    SECTION("a part with which requests were served is no suspect, although it was in each crash")
    {
        for (int n = 0; n < 4; ++n)
            crash(guard, absl::StrCat("i-", n), { { "sys" }, { "sys" } }, start + n * 200ms);
        CHECK_FALSE(isRefused(guard, "any", start + 1s));
        SECTION("until it crashes one upstream after the other and is not served any more")
        {
            crash(guard, "i-9", { { "sys" } }, start + 1s);
            CHECK(isRefused(guard, "any", start + 1s));
        }
        SECTION("and a response in between clears it")
        {
            guard.recordServed({ "sys" }, start + 900ms);
            crash(guard, "i-9", { { "sys" } }, start + 1s);
            CHECK_FALSE(isRefused(guard, "any", start + 1s));
        }
    }
    SECTION("upstreams that are lost at the same moment have another cause")
    {
        for (int n = 0; n < 6; ++n)
            crash(guard, absl::StrCat("i-", n), { { "sys", "hot" } }, start + n * 5ms);
        CHECK_FALSE(isRefused(guard, "hot", start + 1s));
    }
    SECTION("a process that was found running did not crash")
    {
        crash(guard, "i-1", { { "sys", "unlucky" } }, start);
        guard.recordRunning("i-1", start + 100ms);
        crash(guard, "i-2", { { "sys", "unlucky" } }, start + 200ms);
        CHECK_FALSE(isRefused(guard, "unlucky", start + 300ms));
        SECTION("but its response to an earlier request proves nothing")
        {
            guard.recordRunning("i-2", start + 150ms);
            crash(guard, "i-3", { { "sys", "unlucky" } }, start + 400ms);
            CHECK(isRefused(guard, "unlucky", start + 400ms));
        }
        SECTION("and a later crash of it counts")
        {
            crash(guard, "i-1", { { "sys", "unlucky" } }, start + 3s);
            CHECK(isRefused(guard, "unlucky", start + 3s));
        }
    }
    SECTION("a request that was sent to a process after its crash is no suspect")
    {
        crash(guard, "i-1", { { "sys", "bad" } }, start);
        guard.recordLost({ "i-1", { "late" }, { "sys", "late" }, start + 10ms }, start + 60ms);
        CHECK_FALSE(guard.isSuspected({ "sys", "late" }));
    }
    SECTION("crashes count for two minutes")
    {
        crash(guard, "i-1", { { "sys", "bad" } }, start);
        guard.forget(start + 130s);
        crash(guard, "i-2", { { "sys", "bad" } }, start + 130s);
        CHECK_FALSE(isRefused(guard, "bad", start + 130s));
    }
}

TEST_CASE("a request that lost its connection is retried unless that may crash another upstream")
{
    PromptPartGuard guard;
    guard.recordServed({ "sys" }, start - 10s);
    SECTION("one lost connection is taken for a broken response")
    {
        crash(guard, "i-1", { { "sys", "new" } }, start);
        CHECK_FALSE(guard.isRetryUnsafe({ "sys", "new" }));
    }
    SECTION("two lost connections are taken for a crash")
    {
        crash(guard, "i-1", { { "sys", "new" }, { "sys", "known" } }, start);
        CHECK(guard.isRetryUnsafe({ "sys", "new" }));
        CHECK_FALSE(guard.isRetryUnsafe({ "sys" }));
        SECTION("also if another instance lost the other one, which has served the part before")
        {
            PromptPartGuard other;
            other.recordServed({ "known" }, start - 5s);
            crash(other, "i-1", { { "sys", "known" } }, start);
            exchange(guard, other, start + 5ms);
            CHECK(guard.isRetryUnsafe({ "sys", "new" }));
            CHECK_FALSE(guard.isRetryUnsafe({ "sys", "known" }));
        }
    }
}

TEST_CASE("all instances act on what one of them saw")
{
    PromptPartGuard first, second, third;

    SECTION("crashes that different instances saw are added up, and one that both saw counts once")
    {
        crash(first, "i-1", { { "bad" } }, start);
        crash(second, "i-1", { { "good" } }, start);
        exchange(first, second, start + 10ms);
        CHECK_FALSE(isRefused(first, "bad", start + 10ms));
        crash(second, "i-2", { { "bad" } }, start + 200ms);
        CHECK(isRefused(second, "bad", start + 200ms));
        exchange(first, second, start + 210ms);
        CHECK(isRefused(first, "bad", start + 210ms));
        SECTION("an instance that learns of it later refuses the part too, and passes it on")
        {
            second.learn(first.news(start + 60s), start + 60s);
            third.learn(second.news(start + 60s), start + 60s);
            CHECK(isRefused(third, "bad", start + 60s));
            CHECK(third.crashesOf("bad") == 2);
        }
        SECTION("instances that tell it each other again and again do not keep it alive")
        {
            auto now = start;
            for (; now < start + 700s; now += 250ms) {
                exchange(first, second, now);
                first.forget(now);
                second.forget(now);
            }
            CHECK(first.quarantinedCount() == 0);
            CHECK(second.news(now).empty());
        }
    }
    SECTION("a part that one instance has served is no suspect at the others")
    {
        first.recordServed({ "known" }, start - 20s);
        crash(second, "i-1", { { "known" } }, start);
        first.takeUrgent();
        exchange(first, second, start + 10ms);
        CHECK(first.takeUrgent());
        exchange(first, second, start + 20ms);
        CHECK_FALSE(second.isSuspected({ "known" }));
    }
    // Guards against a part that most requests have being refused by instances that have served none of them.
    SECTION("a quarantine ends when it becomes known that the part was served before")
    {
        for (int n = 0; n < 3; ++n)
            crash(second, absl::StrCat("i-", n), { { "common" }, { "bad" } }, start + n * 100ms);
        REQUIRE(isRefused(second, "common", start + 1s));
        third.recordServed({ "common" }, start - 20s);
        third.learn(second.news(start + 1s), start + 1s);
        CHECK_FALSE(isRefused(third, "common", start + 1s));
        CHECK(isRefused(third, "bad", start + 1s));
        second.learn(third.news(start + 1s), start + 1s);
        CHECK_FALSE(isRefused(second, "common", start + 1s));
        CHECK(isRefused(second, "bad", start + 1s));
    }
    SECTION("a process that one instance finds running has not crashed for the others")
    {
        crash(first, "i-1", { { "unlucky" } }, start);
        exchange(first, second, start + 10ms);
        second.recordRunning("i-1", start + 50ms);
        exchange(first, second, start + 100ms);
        CHECK_FALSE(first.isSuspected({ "unlucky" }));
    }
}

TEST_CASE("a quarantine ends when it was wrong, or when no such request comes any more")
{
    PromptPartGuard guard, peer;
    crash(guard, "i-1", { { "bad" } }, start);
    crash(guard, "i-2", { { "bad" } }, start + 1s);
    exchange(guard, peer, start + 1s);
    REQUIRE(isRefused(peer, "bad", start + 1s));

    SECTION("a response that was still running completes")
    {
        auto oldNews = peer.news(start + 2s);
        guard.recordServed({ "bad" }, start + 2s);
        CHECK_FALSE(isRefused(guard, "bad", start + 2s));
        SECTION("peers learn of it")
        {
            exchange(guard, peer, start + 3s);
            CHECK_FALSE(isRefused(peer, "bad", start + 3s));
        }
        SECTION("old news does not bring the quarantine back")
        {
            guard.learn(oldNews, start + 2s);
            CHECK_FALSE(isRefused(guard, "bad", start + 2s));
        }
    }
    SECTION("another part turns out to be in more crashes")
    {
        crash(guard, "i-3", { { "worse", "unlucky" } }, start + 2s);
        crash(guard, "i-4", { { "worse", "unlucky" } }, start + 3s);
        crash(guard, "i-5", { { "worse", "unlucky" } }, start + 4s);
        REQUIRE(isRefused(guard, "unlucky", start + 4s));
        crash(peer, "i-6", { { "worse" } }, start + 5s);
        crash(peer, "i-7", { { "worse" } }, start + 6s);
        REQUIRE(isRefused(peer, "worse", start + 6s));
        exchange(guard, peer, start + 6s);
        exchange(guard, peer, start + 6s);
        CHECK(isRefused(guard, "worse", start + 6s));
        CHECK_FALSE(isRefused(guard, "unlucky", start + 6s));
        CHECK_FALSE(isRefused(peer, "unlucky", start + 6s));
    }
    SECTION("one instance sends one request after a while, and the others know of it")
    {
        CHECK(guard.decide({ "bad" }, true, start + 30s) == Verdict::Refused);
        CHECK(guard.decide({ "bad" }, false, start + 32s) == Verdict::Refused);
        CHECK(guard.decide({ "bad" }, true, start + 32s) == Verdict::Probe);
        CHECK(guard.decide({ "bad" }, true, start + 33s) == Verdict::Refused);
        exchange(guard, peer, start + 33s);
        CHECK(peer.decide({ "bad" }, true, start + 34s) == Verdict::Refused);
        SECTION("if the upstream crashes, the next one is sent much later")
        {
            crash(guard, "i-9", { { "bad" } }, start + 33s);
            CHECK(guard.decide({ "bad" }, true, start + 270s) == Verdict::Refused);
            CHECK(guard.decide({ "bad" }, true, start + 273s) == Verdict::Probe);
        }
    }
    SECTION("it lasts while requests with the part come")
    {
        for (auto time = 0s; time < 2000s; time += 100s) {
            guard.forget(start + time);
            CHECK(isRefused(guard, "bad", start + time));
        }
        guard.forget(start + 2400s);
        CHECK(isRefused(guard, "bad", start + 2400s));
        guard.forget(start + 3100s);
        CHECK_FALSE(isRefused(guard, "bad", start + 3100s));
    }
}

// Guards against a sound document that is refused since the only requests with it so far crashed upstreams by another part.
TEST_CASE("parts that were in the same crashes are told apart by single requests")
{
    PromptPartGuard guard, peer;
    for (int n = 0; n < 3; ++n)
        crash(guard, absl::StrCat("i-", n), { { "doc", "bad" } }, start + n * 1s);
    auto now = start + 3s;
    guard.evaluate(now);
    REQUIRE(guard.decide({ "doc", "bad" }, true, now) == Verdict::Refused);
    peer.learn(guard.news(now), now);
    REQUIRE(peer.decide({ "bad", "doc" }, true, now) == Verdict::Refused);
    auto second = [](const auto&) { return std::optional<std::size_t>(1); };

    SECTION("one request with some of the parts is sent, and the others wait for its end")
    {
        CHECK(guard.decide({ "doc" }, true, now) == Verdict::Probe);
        CHECK(guard.decide({ "doc" }, true, now + 10ms) == Verdict::Deferred);
        CHECK(guard.decide({ "bad" }, true, now + 10ms) == Verdict::Deferred);
        CHECK(guard.isHeldBack({ "doc" }));
        CHECK_FALSE(guard.isHeldBack({ "other" }));
        SECTION("at all instances")
        {
            CHECK(guard.takeUrgent());
            peer.learn(guard.news(now + 10ms), now + 10ms);
            CHECK(peer.decide({ "doc" }, true, now + 1s) == Verdict::Deferred);
        }
        SECTION("or until its end is overdue")
        {
            CHECK(guard.decide({ "doc" }, true, now + PromptPartGuard::trialTime) == Verdict::Probe);
        }
        SECTION("its response clears its parts for good, and the other part is quarantined")
        {
            guard.recordServed({ "doc" }, now + 300ms);
            CHECK(guard.decide({ "doc" }, true, now + 300ms) == Verdict::Allowed);
            CHECK(guard.decide({ "bad" }, true, now + 300ms) == Verdict::Refused);
            CHECK(guard.decide({ "doc", "bad" }, true, now + 300ms) == Verdict::Refused);
            exchange(guard, peer, now + 310ms);
            CHECK(peer.decide({ "doc" }, true, now + 310ms) == Verdict::Allowed);
            CHECK(peer.decide({ "bad" }, true, now + 310ms) == Verdict::Refused);
        }
        SECTION("its crash quarantines its parts, and the other part is told apart soon")
        {
            crash(guard, "i-3", { { "bad" } }, now + 300ms);
            CHECK(isRefused(guard, "bad", now + 300ms));
            CHECK(guard.crashesOf("bad") == 4);
            CHECK(guard.decide({ "doc" }, true, now + 1s) == Verdict::Deferred);
            CHECK(guard.decide({ "doc" }, true, now + 4s) == Verdict::Probe);
            guard.recordServed({ "doc" }, now + 5s);
            CHECK(guard.decide({ "doc" }, true, now + 5s) == Verdict::Allowed);
            CHECK(isRefused(guard, "bad", now + 5s));
        }
    }
    SECTION("instances begin in turn, so that the first has told the others")
    {
        CHECK(peer.decide({ "doc" }, second, now + 50ms) == Verdict::Deferred);
        CHECK(peer.decide({ "doc" }, second, now + 200ms) == Verdict::Probe);
    }
    SECTION("trials that crash upstreams become rare")
    {
        PromptPartGuard many;
        for (int n = 0; n < 3; ++n)
            crash(many, absl::StrCat("i-", n), { { "a", "b", "c", "d" } }, start + n * 1s);
        auto time = start + 3s;
        std::vector<TimePoint> crashes;
        many.evaluate(time);
        for (int step = 0; step < 200; ++step, time += 100ms) {
            for (const auto& it : std::vector<Parts> { { "a", "b", "c" }, { "a", "b" }, { "a" } }) {
                if (many.decide(it, true, time) != Verdict::Probe)
                    continue;
                crashes.push_back(time);
                crash(many, absl::StrCat("i-late-", crashes.size()), { it }, time);
                many.evaluate(time + PromptPartGuard::evaluationDelay);
            }
        }
        CHECK(crashes.size() <= 3);
    }
}

// Guards against a part that is never found, since it stands behind many others of a long prompt.
TEST_CASE("a part that crashes upstreams is found in a prompt of any length")
{
    constexpr int length = 100;
    auto prompt = [](bool isFatal) {
        Parts parts;
        for (int n = 0; n < length; ++n)
            parts.push_back(isFatal && n == length - 4 ? "bad" : absl::StrCat("turn-", n));
        return parts;
    };
    SECTION("a request tells all its parts but the last")
    {
        RoutedRequest request;
        for (const auto& it : prompt(true))
            request.promptParts.push_back({ it, 20 });
        CHECK(sharedParts(request).size() == length - 1);
    }
    SECTION("the others were served before")
    {
        PromptPartGuard guard;
        guard.recordServed(prompt(false), start - 1s);
        crash(guard, "i-1", { prompt(true) }, start);
        crash(guard, "i-2", { prompt(true) }, start + 1s);
        guard.evaluate(start + 2s);
        CHECK(guard.decide(prompt(true), false, start + 2s) == Verdict::Refused);
        CHECK(guard.decide(prompt(false), false, start + 2s) == Verdict::Allowed);
    }
    SECTION("several instances lose a request each, and tell each other of its parts in turn")
    {
        std::vector<PromptPartGuard> site(3);
        for (std::size_t n = 0; n < site.size(); ++n)
            crash(site[n], absl::StrCat("i-", n), { prompt(true) }, start + 100ms * static_cast<int>(n));
        auto now = start + 300ms;
        for (; now < start + 3s; now += 250ms) {
            std::vector<PromptPartNews> sent;
            for (auto& it : site) {
                it.evaluate(now);
                sent.push_back(it.news(now));
            }
            for (auto& it : site) {
                for (const auto& news : sent)
                    it.learn(news, now);
            }
        }
        for (auto& it : site) {
            CHECK(it.decide(prompt(true), false, now) == Verdict::Refused);
            CHECK(it.decide({ "other" }, false, now) == Verdict::Allowed);
        }
        SECTION("the sound prompt is served again after one request")
        {
            CHECK(site[0].decide(prompt(false), true, now) == Verdict::Probe);
            site[0].recordServed(prompt(false), now + 1s);
            CHECK(site[0].decide(prompt(false), true, now + 1s) == Verdict::Allowed);
            CHECK(site[0].decide({ "bad" }, true, now + 1s) == Verdict::Refused);
        }
    }
    SECTION("many crashes with the longest prompts take little memory")
    {
        PromptPartGuard guard;
        for (int n = 0; n < 20; ++n) {
            Parts parts;
            for (int m = 0; m < 5000; ++m)
                parts.push_back(absl::StrCat(n, "-", m));
            crash(guard, absl::StrCat("i-", n), { parts }, start + n * 1s);
        }
        CHECK(guard.crashCount() * 5000 <= PromptPartGuard::maxParts);
        CHECK(guard.dropped() > 0);
        CHECK(guard.isSuspected({ "19-4999" }));
        SECTION("also if they were lost at the same moment, and peers tell of many others")
        {
            PromptPartNews news;
            for (int n = 0; n < 200; ++n)
                news.crashes.push_back({ absl::StrCat("j-", n), 10ms, std::nullopt, { "common", absl::StrCat("own-", n) }, {} });
            guard.learn(news, start + 30s);
            for (int n = 0; n < 10; ++n)
                crash(guard, absl::StrCat("k-", n), { Parts(1, absl::StrCat(std::string(20, 'p'), n)) }, start + 31s);
            guard.evaluate(start + 32s);
            CHECK_FALSE(isRefused(guard, "common", start + 32s));
        }
    }
}

TEST_CASE("news of crashes stays small, and survives encoding")
{
    PromptPartGuard guard, peer;
    for (int n = 0; n < 500; ++n) {
        std::vector<Parts> requests;
        for (int m = 0; m < 64; ++m)
            requests.push_back({ absl::StrCat("part-", n, "-", m) });
        crash(guard, absl::StrCat("i-0123456789/", n), requests, start + n * 200ms);
    }
    auto now = start + 100s;
    auto news = guard.news(now);
    CHECK(news.crashes.size() == PromptPartGuard::maxSentCrashes);
    CHECK(guard.dropped() > 0);
    auto json = toJson(news);
    CHECK(nlohmann::json::to_cbor(json).size() < 4096);
    SECTION("decoding gives the same")
    {
        CHECK(toJson(promptPartNewsFrom(json)) == json);
    }
    SECTION("what is dropped are the oldest crashes")
    {
        CHECK(guard.isSuspected({ "part-499-0" }));
        CHECK_FALSE(guard.isSuspected({ "part-0-0" }));
    }
    SECTION("a part in several crashes is told even if each crash has too many others")
    {
        PromptPartGuard other;
        other.recordServed({ "sys" }, start);
        for (int n = 0; n < 2; ++n) {
            std::vector<Parts> requests { { "bad", "twin" } };
            for (int m = 0; m < 20; ++m)
                requests.push_back({ absl::StrCat("part-", n, "-", m) });
            crash(other, absl::StrCat("i-", n), requests, now + n * 1s);
        }
        auto told = other.news(now + 2s);
        REQUIRE(told.crashes.size() == 2);
        for (const auto& it : told.crashes)
            CHECK(std::find(it.parts.begin(), it.parts.end(), "bad") != it.parts.end());
    }
}

// Guards against news that reach only the peers to which an instance of a large site sends its heartbeats.
TEST_CASE("all instances of a large site refuse a part in time, although each tells few others")
{
    constexpr int instances = 350;
    constexpr int domains = 4;
    constexpr auto contactTime = 3000ms;
    struct Instance {
        FleetMembership membership;
        PromptPartGuard guard;
    };
    std::map<std::string, DomainId> addresses;
    for (int n = 0; n < instances; ++n)
        addresses[absl::StrCat("edge-", n)] = { absl::StrCat("domain-", n % domains) };
    std::map<std::string, Instance> site;
    for (const auto& [address, domain] : addresses) {
        auto& it = site.emplace(address, Instance { { { { address }, 1 }, domain, address }, {} }).first->second;
        it.membership.setListedPeers(addresses);
    }
    // Two instances see one crash each; one datagram in ten is lost, and only the regular heartbeats are sent.
    crash(site.at("edge-0").guard, "i-1", { { "bad" }, { "good" } }, start);
    crash(site.at("edge-1").guard, "i-2", { { "bad" } }, start);
    crash(site.at("edge-3").guard, "i-3", { { "bad" } }, start + 100ms);
    std::mt19937 random(11);
    auto now = start;
    auto refusing = [&] { return std::count_if(site.begin(), site.end(), [](auto& it) { return it.second.guard.quarantinedPart({ "bad" }) != nullptr; }); };
    while (refusing() < instances && now < start + 10s) {
        now += FleetMembership::heartbeatPeriod;
        std::vector<std::pair<std::string, PromptPartNews>> sent;
        for (auto& [address, it] : site) {
            it.guard.evaluate(now);
            auto news = it.guard.news(now);
            for (const auto& receiver : it.membership.nextReceivers(now)) {
                if (!news.empty() && random() % 10 > 0)
                    sent.emplace_back(receiver, news);
            }
        }
        for (const auto& [receiver, news] : sent)
            site.at(receiver).guard.learn(news, now + 5ms);
    }
    CHECK(now - start <= contactTime);
    CHECK_FALSE(isRefused(site.at("edge-200").guard, "good", now));
}
