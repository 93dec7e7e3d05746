// Tests how instances divide the request limits that upstreams state.

#include "core/limits/brittle_upstreams.h"
#include "core/limits/upstream_limits.h"
#include "core/limits/upstream_pauses.h"
#include "core/membership/fleet_membership.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <random>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
const std::string process = "i-1/7";

std::vector<InstanceId> instanceIds(int count)
{
    std::vector<InstanceId> ids;
    for (int n = 0; n < count; ++n)
        ids.push_back({ absl::StrCat("edge-", n) });
    return ids;
}

// Sends as many requests as the limits allow, and returns their number.
int sendAll(UpstreamLimits& limits, TimePoint from, Milliseconds time, std::int64_t rank = 1)
{
    int count = 0;
    for (auto now = from; now < from + time; now += 10ms) {
        if (now.time_since_epoch() % 250ms == 0ms)
            limits.assignShares(now);
        if (!limits.maySend(process, rank, now))
            continue;
        limits.sent(process, now);
        ++count;
    }
    return count;
}

}

TEST_CASE("one instance keeps the limit that an upstream states")
{
    UpstreamLimits limits({ "edge-0" });
    limits.setInstances(instanceIds(1));

    SECTION("without a limit everything may be sent")
    {
        limits.recordResponse(process, std::nullopt, start);
        CHECK(limits.maySend(process, 2, start));
        CHECK_FALSE(limits.isLimited(process));
        CHECK(limits.news(start).empty());
    }
    SECTION("no more requests are sent than it says, whatever the number")
    {
        for (double limit : { 0.3, 1.0, 2.5, 40.0 }) {
            limits.recordResponse(process, limit, start);
            auto count = sendAll(limits, start, 20s);
            CHECK(count <= 20 * limit + 1);
            CHECK(count >= 20 * limit * 0.9 - 1);
        }
    }
    SECTION("a limit that changes with each response gives no saved-up requests")
    {
        int count = 0;
        for (auto now = start; now < start + 20s; now += 100ms) {
            limits.recordResponse(process, now.time_since_epoch() % 200ms == 0ms ? 2.0 : 2.3, now);
            count += sendAll(limits, now, 100ms);
        }
        CHECK(count <= 47);
    }
    SECTION("a limit of 0 is asked for now and then")
    {
        limits.recordResponse(process, 0, start);
        auto count = sendAll(limits, start, 20s);
        CHECK(count >= 3);
        CHECK(count <= 5);
    }
    SECTION("the most urgent rank may use one request in advance, and the sum stays")
    {
        limits.recordResponse(process, 1, start);
        CHECK_FALSE(limits.maySend(process, 1, start));
        CHECK(limits.timeToNext(process, start) == 1000ms);
        CHECK(limits.maySend(process, 0, start));
        limits.sent(process, start);
        CHECK_FALSE(limits.maySend(process, 0, start + 900ms));
        CHECK(limits.timeToNext(process, start + 900ms) == 1100ms);
        CHECK(sendAll(limits, start + 1s, 20s, 0) <= 21);
    }
    SECTION("a response without a limit ends it")
    {
        limits.recordResponse(process, 1, start);
        limits.recordResponse(process, std::nullopt, start + 1s);
        CHECK(sendAll(limits, start + 1s, 1s) == 100);
        CHECK(limits.limitedCount() == 0);
    }
    SECTION("another process of the upstream has no limit")
    {
        limits.recordResponse(process, 1, start);
        CHECK(limits.maySend("i-1/8", 1, start));
        limits.keepOnly([](const std::string& it) { return it == "i-1/8"; });
        CHECK(limits.news(start).empty());
    }
}

TEST_CASE("what peers tell about limits is merged by its age")
{
    UpstreamLimits first({ "edge-0" }), second({ "edge-1" });
    for (auto* it : { &first, &second })
        it->setInstances(instanceIds(2));
    first.recordResponse(process, 2, start);
    REQUIRE(first.takeUrgent());
    second.learn(first.news(start + 100ms), start + 105ms);
    CHECK(second.isLimited(process));

    SECTION("one of them sends")
    {
        first.learn(second.news(start + 110ms), start + 115ms);
        auto sum = sendAll(first, start + 250ms, 2s) + sendAll(second, start + 250ms, 2s);
        CHECK(sum >= 3);
        CHECK(sum <= 5);
    }
    SECTION("changes and their source are told once")
    {
        auto events = second.takeEvents();
        REQUIRE(events.size() == 1);
        CHECK(events[0].kind == UpstreamLimitEvent::Kind::Learned);
        CHECK(events[0].fromPeer);
        CHECK(events[0].age == 100ms);
        second.recordResponse(process, 2.1, start + 1s);
        CHECK(second.takeEvents().empty());
        second.recordResponse(process, 4, start + 2s);
        CHECK(second.takeEvents().size() == 1);
    }
    SECTION("an old statement does not bring a limit back that ended")
    {
        auto oldNews = second.news(start + 200ms);
        first.recordResponse(process, std::nullopt, start + 1s);
        first.learn(oldNews, start + 1100ms);
        CHECK_FALSE(first.isLimited(process));
        second.learn(first.news(start + 1200ms), start + 1200ms);
        CHECK_FALSE(second.isLimited(process));
        SECTION("however often they tell each other")
        {
            for (auto now = start + 2s; now < start + 60s; now += 250ms) {
                first.learn(second.news(now), now + 5ms);
                second.learn(first.news(now), now + 5ms);
            }
            CHECK_FALSE(first.isLimited(process));
            CHECK(first.news(start + 60s).empty());
        }
    }
    SECTION("a process that is gone is forgotten, however often they tell each other")
    {
        for (auto now = start; now < start + 130s; now += 250ms) {
            // One of them drops it as soon as it is no longer listed.
            first.keepOnly([](const std::string&) { return false; });
            second.assignShares(now);
            first.learn(second.news(now), now + 5ms);
            second.learn(first.news(now + 5ms), now + 10ms);
        }
        CHECK(second.news(start + 130s).empty());
        CHECK(first.news(start + 130s).empty());
    }
    SECTION("news of many limits stays small")
    {
        for (int n = 0; n < 900; ++n)
            first.recordResponse(absl::StrCat("i-", n, "/1"), 2, start + 1s);
        CHECK(first.news(start + 1s).size() == UpstreamLimits::maxSent);
    }
}

namespace {

// A site whose instances exchange heartbeats as in operation, each with its own view of who is live, and an upstream with a
// limit to which all of them always want to send.
class LimitedFleet {
public:
    LimitedFleet(int count, double limit)
        : m_limit(limit)
    {
        for (int n = 0; n < count; ++n)
            m_addresses[absl::StrCat("edge-", n)] = { absl::StrCat("domain-", n % 4) };
        for (const auto& [name, domain] : m_addresses)
            begin(name);
    }

    void run(Seconds time)
    {
        for (auto end = m_now + time; m_now < end; m_now += 50ms) {
            if (m_now.time_since_epoch() % FleetMembership::heartbeatPeriod == 0ms)
                sendHeartbeats();
            for (auto& [name, it] : m_instances) {
                if (!it.limits.maySend(process, 1, m_now) || it.pauses.isPaused(process, m_now))
                    continue;
                if (m_places > 0 && !tryPlace(it))
                    continue;
                it.limits.sent(process, m_now);
                it.limits.recordResponse(process, m_limit, m_now);
                m_sends.push_back({ m_now, name });
            }
        }
    }
    // The upstream has this many places, each of which a request takes for up to 0.9 s, and rejects those for which there is none.
    void makeBrittle(std::size_t places, double admissibleRejections)
    {
        m_places = places;
        m_limit = brittleRequestLimit(static_cast<std::int64_t>(places), std::nullopt);
        m_admissibleRejections = admissibleRejections;
    }
    // From now on each request takes this many times as long.
    void slowDown(int factor) { m_slowness = factor; }
    // The most rejections in a second that begins after the time.
    std::size_t mostRejections(TimePoint after) const
    {
        std::size_t most = 0;
        for (auto first = std::upper_bound(m_rejections.begin(), m_rejections.end(), after); first != m_rejections.end(); ++first)
            most = std::max(most, static_cast<std::size_t>(std::count_if(first, m_rejections.end(), [&](auto it) { return it < *first + 1s; })));
        return most;
    }
    std::size_t served() const { return m_sends.size() - m_rejections.size(); }
    // The instance that sent last.
    std::string sender() const { return m_sends.back().second; }
    void kill(const std::string& name) { m_instances.erase(name); }
    void begin(const std::string& name)
    {
        auto domain = m_addresses.at(name);
        auto& it = m_instances.emplace(name, Instance { { { { name }, ++m_incarnations }, domain, name }, UpstreamLimits({ name }), UpstreamPauses({ name }), {}, 0, m_incarnations }).first->second;
        it.membership.setListedPeers(m_addresses);
        it.limits.setInstances({ { name } });
    }
    // The most requests in 4 s that begin after the time.
    std::size_t mostInWindow(TimePoint after) const
    {
        std::size_t most = 0;
        for (auto first = m_sends.begin(); first != m_sends.end(); ++first) {
            if (first->first >= after)
                most = std::max(most, static_cast<std::size_t>(std::count_if(first, m_sends.end(), [&](const auto& it) { return it.first < first->first + 4s; })));
        }
        return most;
    }
    std::size_t allowed() const { return static_cast<std::size_t>(1.5 * m_limit * 4 + 5); }
    std::size_t sends() const { return m_sends.size(); }

private:
    struct Instance {
        FleetMembership membership;
        UpstreamLimits limits;
        UpstreamPauses pauses;
        std::vector<TimePoint> ends;
        std::uint64_t sequence = 0;
        std::uint64_t incarnation = 0;
    };

    // Returns false if the instance sends nothing, as it has its part of the places.
    bool tryPlace(Instance& instance)
    {
        auto hasEnded = [&](auto it) { return it <= m_now; };
        std::erase_if(m_ends, hasEnded);
        std::erase_if(instance.ends, hasEnded);
        if (!fitsOwnPlaces(static_cast<std::int64_t>(instance.ends.size()), static_cast<std::int64_t>(m_places), instance.limits.ownPart(process)))
            return false;
        if (m_ends.size() < m_places) {
            m_ends.push_back(m_now + m_slowness * Milliseconds(300 + static_cast<int>(m_random() % 600)));
            instance.ends.push_back(m_ends.back());
            return true;
        }
        m_rejections.push_back(m_now);
        instance.pauses.record(process, brittlePause(m_admissibleRejections), m_now);
        return true;
    }

    void sendHeartbeats()
    {
        std::vector<std::pair<std::string, FleetHeartbeat>> sent;
        for (auto& [name, it] : m_instances) {
            std::vector<InstanceId> live { { name } };
            for (const auto* peer : it.membership.livePeers(m_now))
                live.push_back(peer->heartbeat.from.instance);
            it.limits.setInstances(std::move(live));
            it.limits.assignShares(m_now);
            FleetHeartbeat heartbeat;
            heartbeat.from = { { name }, it.incarnation };
            heartbeat.domain = m_addresses.at(name);
            heartbeat.addresses = { name, name };
            heartbeat.sequence = ++it.sequence;
            heartbeat.limits = it.limits.news(m_now);
            for (const auto& receiver : it.membership.nextReceivers(m_now)) {
                if (m_random() % 20 > 0)
                    sent.emplace_back(receiver, heartbeat);
            }
        }
        for (auto& [receiver, heartbeat] : sent) {
            auto it = m_instances.find(receiver);
            if (it != m_instances.end() && it->second.membership.onHeartbeat(heartbeat, m_now))
                it->second.limits.learn(heartbeat.limits, m_now + 5ms);
        }
    }

    double m_limit;
    std::map<std::string, DomainId> m_addresses;
    std::map<std::string, Instance> m_instances;
    std::vector<std::pair<TimePoint, std::string>> m_sends;
    std::size_t m_places = 0;
    double m_admissibleRejections = 0;
    int m_slowness = 1;
    std::vector<TimePoint> m_ends;
    std::vector<TimePoint> m_rejections;
    std::uint64_t m_incarnations = 0;
    std::mt19937 m_random { 5 };
    TimePoint m_now = start;
};

}

// Guards against instances that each keep a limit for themselves and exceed it together.
TEST_CASE("the instances of a site keep a limit together")
{
    constexpr auto contactTime = 4s;
    for (int count : { 8, 73, 295 }) {
        for (double limit : { 0.0, 1.0, 2.3, 30.0 }) {
            DYNAMIC_SECTION(count << " instances and a limit of " << limit << " a second")
            {
                LimitedFleet fleet(count, limit);
                fleet.run(12s);
                CHECK(fleet.mostInWindow(start + contactTime) <= fleet.allowed());
                CHECK(fleet.mostInWindow(start + contactTime) >= limit * 4 * 0.7);
            }
        }
        DYNAMIC_SECTION(count << " instances, of which the one with the limit is lost and returns, again and again")
        {
            LimitedFleet fleet(count, 2.3);
            fleet.run(5s);
            for (int n = 0; n < 4; ++n) {
                auto lost = fleet.sender();
                fleet.kill(lost);
                fleet.run(4s);
                fleet.begin(lost);
                fleet.run(3s);
            }
            CHECK(fleet.mostInWindow(start + contactTime) <= fleet.allowed());
            CHECK(fleet.sends() >= 20);
        }
    }
}

// Guards against hundreds of instances that each send a brittle upstream what the others' old counts seem to leave room for.
TEST_CASE("the instances of a site make a brittle upstream reject few requests")
{
    // An upstream says that it is brittle for this long before it lets fewer requests wait.
    constexpr auto brittleNotice = 3s;
    for (int count : { 8, 295 }) {
        for (std::size_t places : { 6, 12, 64 }) {
            DYNAMIC_SECTION(count << " instances with more requests than its " << places << " places take")
            {
                LimitedFleet fleet(count, 0);
                fleet.makeBrittle(places, 3);
                fleet.run(12s);
                CHECK(fleet.mostRejections(start + brittleNotice) <= 3);
                CHECK(static_cast<double>(fleet.served()) >= 0.7 * 12 * static_cast<double>(places));
                SECTION("also once it takes three times as long")
                {
                    fleet.slowDown(3);
                    fleet.run(12s);
                    CHECK(fleet.mostRejections(start + brittleNotice) <= 3);
                }
            }
        }
    }
    SECTION("an instance that was rejected gives way for its part of what is admissible")
    {
        CHECK(brittlePause(16) == 1s);
        CHECK(brittlePause(2) == 4s);
        CHECK(brittlePause(0) == 10s);
        CHECK(brittlePause(0.0001) == 10s);
    }
    SECTION("a request limit that it states as well counts if it is lower")
    {
        CHECK(brittleRequestLimit(12, 3) == 3);
        CHECK(brittleRequestLimit(12, 300) == 12);
        CHECK(brittleRequestLimit(0, std::nullopt) == 1);
    }
}

// Guards against instances that return together to an upstream that asked them all for the same time.
TEST_CASE("an upstream that asked for time gets it")
{
    UpstreamPauses pauses({ "edge-1" });
    CHECK(pauses.record("i-1/1", 2s, start));
    SECTION("from this instance, whatever the upstream's later processes do")
    {
        CHECK(pauses.isPaused("i-1/1", start + 1999ms));
        CHECK_FALSE(pauses.isPaused("i-1/1", start + 2501ms));
        CHECK_FALSE(pauses.isPaused("i-1/2", start));
    }
    SECTION("a later and shorter time takes nothing back")
    {
        CHECK_FALSE(pauses.record("i-1/1", 100ms, start + 500ms));
        CHECK(pauses.isPaused("i-1/1", start + 1999ms));
    }
    SECTION("a later end extends it")
    {
        CHECK(pauses.record("i-1/1", 4s, start + 500ms));
        CHECK(pauses.isPaused("i-1/1", start + 4499ms));
    }
    SECTION("a time without end is bounded")
    {
        pauses.record("i-1/1", Milliseconds::max(), start);
        CHECK(pauses.timeLeft("i-1/1", start) <= UpstreamPauses::maxTime + UpstreamPauses::maxSpread);
        pauses.record("i-2/1", Milliseconds::min(), start);
        CHECK_FALSE(pauses.isPaused("i-2/1", start + 1ms));
    }
    SECTION("what has passed is forgotten")
    {
        pauses.forget(start + 3s);
        CHECK(pauses.empty());
    }
    SECTION("295 instances return one after the other within the spread")
    {
        std::set<Milliseconds> ends;
        for (int n = 0; n < 295; ++n) {
            UpstreamPauses other({ absl::StrCat("edge-", n) });
            other.record("i-1/1", 4s, start);
            auto left = other.timeLeft("i-1/1", start);
            CHECK(left >= 4s);
            CHECK(left <= 5s);
            ends.insert(left);
        }
        CHECK(ends.size() > 200);
    }
}

// Guards against a process that was paused and sends on a share that others have taken meanwhile.
TEST_CASE("a share that was not renewed in time gives no room")
{
    UpstreamLimits limits({ "edge-1" });
    limits.setInstances({ { "edge-1" } });
    limits.recordResponse("i-1/1", 4, start);
    limits.assignShares(start);
    REQUIRE(limits.maySend("i-1/1", 1, start + 1s));
    auto resumedAt = start + UpstreamLimits::ownershipLifetime + 1s;
    CHECK_FALSE(limits.maySend("i-1/1", 1, resumedAt));
    CHECK_FALSE(limits.maySend("i-1/1", 0, resumedAt));
    SECTION("until it is the instance's own again")
    {
        limits.assignShares(resumedAt);
        CHECK(limits.maySend("i-1/1", 0, resumedAt + 1s));
    }
}
