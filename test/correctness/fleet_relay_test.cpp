// Tests the relaying of heartbeats by hubs: simulated sites on virtual time, whose instances exchange heartbeats over a network that
// loses, repeats, delays and reorders them, and the decoder with bytes that nobody sent.

#include "core/membership/fleet_membership.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };

class RelayedSite {
public:
    using Link = std::function<bool(const std::string& from, const std::string& to)>;

    RelayedSite(int count, int domains, unsigned seed = 7)
        : m_random(seed)
    {
        for (int n = 0; n < count; ++n)
            m_addresses[absl::StrCat("edge-", n)] = { absl::StrCat("domain-", n % domains) };
        for (const auto& [name, domain] : m_addresses)
            begin(name);
    }

    void begin(const std::string& name)
    {
        auto it = m_instances.insert_or_assign(name, std::make_unique<Instance>(Instance { FleetMembership({ { name }, ++m_incarnations }, m_addresses.at(name), name, capacityOf(name)), m_incarnations, 0, m_now + 10ms * static_cast<int>(m_random() % 25) })).first;
        it->second->membership.setListedPeers(m_addresses);
    }
    // All instances start at once and know these addresses only, until tellList().
    void beginWithSeeds(const std::vector<std::string>& seeds)
    {
        m_instances.clear();
        for (const auto& [name, domain] : m_addresses) {
            begin(name);
            auto& membership = m_instances.at(name)->membership;
            membership.setListedPeers({});
            for (const auto& it : seeds)
                membership.addSeedAddress(it);
        }
    }
    void tellList()
    {
        for (auto& [name, it] : m_instances)
            it->membership.setListedPeers(m_addresses);
    }
    void kill(const std::string& name) { m_instances.erase(name); }
    // Instances that begin from now on have a large machine if they are listed here, or else a small one.
    void setLarge(std::set<std::string> names) { m_large = std::move(names); }
    void setLossPercent(unsigned percent) { m_lossPercent = percent; }
    // Messages for which the predicate does not hold are lost.
    void setLink(Link link) { m_link = std::move(link); }
    // Makes an instance tell of a request that crashed upstreams; 0 if it has forgotten it.
    void setCrashes(const std::string& name, std::int64_t count) { m_instances.at(name)->crashes = count; }
    // How many others know of it.
    std::size_t knowingCrashes(const std::string& name) const
    {
        return static_cast<std::size_t>(std::count_if(m_instances.begin(), m_instances.end(), [&](const auto& it) { return it.second->membership.peerCrashes(m_now).contains({ name }); }));
    }
    // The store serves the instances for which the predicate holds: hubs ask it every second, others every ten. Without it all have
    // had a reply lately.
    void setStore(std::function<bool(const std::string&)> serves) { m_serves = std::move(serves); }
    // Names of the instances that see no sign of a store that serves anyone.
    std::vector<std::string> missingStore() const
    {
        std::vector<std::string> names;
        for (const auto& [name, it] : m_instances) {
            if (!reachesStore(*it) && !it->membership.isStoreServing(m_now))
                names.push_back(name);
        }
        return names;
    }
    // Instances of an earlier version, which neither read nor send digests.
    void makeOld(const std::string& name) { m_instances.at(name)->isOld = true; }

    void run(Milliseconds time)
    {
        for (auto end = m_now + time; m_now < end; m_now += 10ms) {
            deliver();
            for (auto& [name, it] : m_instances) {
                if (m_serves && m_now >= it->askedStoreAt + (it->membership.isHub() ? 1s : 10s))
                    askStore(name, *it);
                if (it->nextAt <= m_now)
                    send(name, *it);
            }
        }
    }

    TimePoint now() const { return m_now; }
    std::size_t size() const { return m_instances.size(); }
    // The number of messages with which an instance tells all others that it reaches something at once, and hubs pass it on, and the
    // number of those that it reaches.
    std::pair<std::size_t, std::size_t> spread(const std::string& from)
    {
        std::set<std::string> told { from };
        std::vector<std::string> next { from };
        std::size_t messages = 0;
        while (!next.empty()) {
            std::vector<std::string> telling;
            std::swap(telling, next);
            for (const auto& name : telling) {
                auto& membership = m_instances.at(name)->membership;
                if (name != from && !membership.passesOnNews())
                    continue;
                for (const auto& to : membership.urgentReceivers(m_now)) {
                    ++messages;
                    if (m_instances.contains(to) && told.insert(to).second)
                        next.push_back(to);
                }
            }
        }
        return { messages, told.size() };
    }
    const FleetMembership& membership(const std::string& name) const { return m_instances.at(name)->membership; }
    DomainId domainOf(const std::string& name) const { return m_addresses.at(name); }
    std::vector<std::string> hubs() const
    {
        std::vector<std::string> names;
        for (const auto& [name, it] : m_instances) {
            if (it->membership.isHub())
                names.push_back(name);
        }
        return names;
    }
    // How many instances count the other one as live.
    std::size_t countingLive(const std::string& other, const std::function<bool(const std::string&)>& isAsked) const
    {
        std::size_t count = 0;
        for (const auto& [name, it] : m_instances) {
            for (const auto* peer : it->membership.livePeers(m_now))
                count += isAsked(name) && peer->heartbeat.from.instance.value == other ? 1 : 0;
        }
        return count;
    }
    // The smallest number of others that an instance counts as live.
    std::size_t leastLive() const
    {
        auto least = m_instances.size();
        for (const auto& [name, it] : m_instances)
            least = std::min(least, it->membership.livePeers(m_now).size());
        return least;
    }
    // The smallest and largest sum of requests at others and of results that an instance knows. Each has one of both.
    struct Known {
        std::int64_t least = 1 << 30;
        std::int64_t most = 0;
        void add(std::int64_t n)
        {
            least = std::min(least, n);
            most = std::max(most, n);
        }
    };
    Known knownRequests() const
    {
        Known known;
        for (const auto& [name, it] : m_instances) {
            std::int64_t sum = 0;
            for (const auto& [id, work] : it->membership.peerWork(m_now))
                sum += work.requests;
            known.add(sum);
        }
        return known;
    }
    Known knownResults() const
    {
        Known known;
        for (const auto& [name, it] : m_instances) {
            std::int64_t sum = 0;
            for (const auto& [key, counters] : it->membership.siteEvidence({ { { { "s" }, "v2", "r", {} }, { .done = 1 } } }, m_now))
                sum += counters.done;
            known.add(sum);
        }
        return known;
    }
    std::size_t followers() const
    {
        std::size_t count = 0;
        for (const auto& [name, it] : m_instances)
            count += it->membership.shouldFollowStore(m_now) ? 1 : 0;
        return count;
    }
    // Messages sent since the last call: in all, and by the instance that sent most.
    std::pair<std::size_t, std::size_t> takeMessages()
    {
        std::size_t sum = 0, most = 0;
        for (auto& [name, it] : m_instances) {
            sum += it->messages;
            most = std::max(most, it->messages);
            it->messages = 0;
        }
        return { sum, most };
    }

private:
    struct Instance {
        FleetMembership membership;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint nextAt;
        bool isOld = false;
        std::size_t messages = 0;
        std::int64_t crashes = 0;
        TimePoint askedStoreAt;
        TimePoint lastReplyAt;
        bool isServed = false;
    };
    struct Message {
        TimePoint at;
        std::string to;
        std::shared_ptr<const FleetHeartbeat> heartbeat;
    };

    void askStore(const std::string& name, Instance& it)
    {
        // Instances that are no hubs ask seldom, each at another time.
        it.askedStoreAt = it.askedStoreAt == TimePoint {} ? m_now - 10ms * static_cast<int>(m_random() % 1000) : m_now;
        it.isServed = m_serves(name);
        if (it.isServed)
            it.lastReplyAt = m_now;
    }

    bool reachesStore(const Instance& it) const { return it.isServed && m_now - it.lastReplyAt <= FleetMembership::maxStoreSilence; }

    void send(const std::string& name, Instance& it)
    {
        it.nextAt += FleetMembership::heartbeatPeriod;
        FleetHeartbeat heartbeat;
        heartbeat.from = { { name }, it.incarnation };
        heartbeat.domain = m_addresses.at(name);
        heartbeat.addresses = { absl::StrCat("entry-", name), name };
        heartbeat.sequence = ++it.sequence;
        heartbeat.ready = true;
        heartbeat.storeReachable = !m_serves || reachesStore(it);
        auto repliedAt = it.membership.isHub() ? std::max(it.lastReplyAt, it.membership.lastReplyAt(0, m_now)) : it.lastReplyAt;
        if (!m_serves)
            heartbeat.storeAge = 100ms;
        else if (repliedAt != TimePoint {})
            heartbeat.storeAge = toMilliseconds(m_now - repliedAt);
        heartbeat.work[{ absl::StrCat("u-", it.incarnation % 48) }] = { 1, 100 };
        heartbeat.evidence[{ { "s" }, "v2", "r", {} }] = { .done = 1 };
        heartbeat.readsDigests = !it.isOld;
        heartbeat.capacity = capacityOf(name);
        if (it.crashes > 0)
            heartbeat.crashes["f00d"] = it.crashes;
        auto pass = [&](const std::vector<std::string>& receivers) {
            auto shared = std::make_shared<const FleetHeartbeat>(heartbeat);
            for (const auto& to : receivers)
                passTo(name, it, to, shared);
        };
        pass(it.membership.nextReceivers(m_now));
        if (it.isOld)
            return;
        auto targets = it.membership.nextTargets(m_now);
        it.membership.sent(heartbeat);
        using Scope = FleetMembership::DigestScope;
        auto passDigest = [&](const std::vector<std::string>& receivers, Scope scope) {
            if (receivers.empty())
                return;
            heartbeat.digest = it.membership.digest(heartbeat, scope, m_now);
            pass(receivers);
            heartbeat.digest.reset();
        };
        passDigest(targets.members, Scope::WholeSite);
        passDigest(targets.newMembers, Scope::WholeSiteForNewMembers);
        passDigest(targets.otherSubscribers, Scope::OwnDomain);
        heartbeat.asksForDigest = true;
        passDigest(targets.otherHubs, Scope::OwnDomain);
        pass(targets.hubs);
    }

    std::int64_t capacityOf(const std::string& name) const { return m_large.contains(name) ? 50 : 12; }

    void passTo(const std::string& from, Instance& it, const std::string& to, const std::shared_ptr<const FleetHeartbeat>& heartbeat)
    {
        ++it.messages;
        if (m_random() % 100 < m_lossPercent || (m_link && !m_link(from, to)))
            return;
        int copies = m_random() % 100 < m_lossPercent ? 2 : 1;
        for (int n = 0; n < copies; ++n)
            m_messages.push_back({ m_now + 10ms * (1 + static_cast<int>(m_random() % (m_lossPercent > 0 ? 20 : 1))), to, heartbeat });
    }

    void deliver()
    {
        std::vector<Message> due;
        std::erase_if(m_messages, [&](auto& it) {
            if (it.at > m_now)
                return false;
            due.push_back(std::move(it));
            return true;
        });
        for (const auto& message : due) {
            auto it = m_instances.find(message.to);
            if (it == m_instances.end())
                continue;
            if (it->second->isOld && message.heartbeat->readsDigests) {
                auto plain = *message.heartbeat;
                plain.readsDigests = plain.asksForDigest = false;
                plain.digest.reset();
                it->second->membership.onHeartbeat(plain, m_now);
            } else
                it->second->membership.onHeartbeat(*message.heartbeat, m_now);
        }
    }

    std::set<std::string> m_large;
    std::map<std::string, DomainId> m_addresses;
    std::map<std::string, std::unique_ptr<Instance>> m_instances;
    std::vector<Message> m_messages;
    std::mt19937 m_random;
    unsigned m_lossPercent = 0;
    Link m_link;
    std::function<bool(const std::string&)> m_serves;
    std::uint64_t m_incarnations = 0;
    TimePoint m_now = start;
};

}

// Guards against a cost of heartbeats that grows with the site, and against news that reach few or late.
TEST_CASE("the instances of a large site know each other by way of hubs")
{
    for (int count : { 60, 350 }) {
        DYNAMIC_SECTION(count << " instances in five domains")
        {
            RelayedSite site(count, 5);
            auto others = static_cast<std::size_t>(count - 1);
            site.run(5s);
            CHECK(site.leastLive() == others);
            SECTION("two hubs in each domain, which alone follow the store")
            {
                site.run(3s);
                CHECK(site.hubs().size() == 10);
                CHECK(site.followers() == 10);
            }
            SECTION("urgent news reaches all by way of the hubs alone")
            {
                site.run(3s);
                auto [messages, told] = site.spread("edge-7");
                CHECK(told == site.size());
                // Both hubs of a domain tell its instances, and the hubs tell each other.
                CHECK(messages <= 2 * site.size() + 2 + 10 * 9);
            }
            SECTION("an instance sends four messages a second, a hub two a second to each of its domain")
            {
                site.takeMessages();
                site.run(4s);
                auto [sum, most] = site.takeMessages();
                auto perDomain = static_cast<std::size_t>(count / 5);
                CHECK(sum <= 4 * (static_cast<std::size_t>(count) * 4 + 10 * (2 * perDomain + 20)));
                CHECK(most <= 4 * (2 * perDomain + 24));
            }
            SECTION("each knows the requests of all others, without its own, and the results of all")
            {
                CHECK(site.knownRequests().least >= count - 1);
                CHECK(site.knownRequests().most <= count);
                CHECK(site.knownResults().least == count);
                CHECK(site.knownResults().most == count);
            }
            SECTION("nobody counts an instance that ended for longer than the stated time, nor again later")
            {
                const std::string lost = "edge-3";
                auto isOwn = [&](const std::string& name) { return site.domainOf(name) == site.domainOf(lost); };
                auto isAny = [](const std::string&) { return true; };
                site.kill(lost);
                site.run(FleetMembership::relayedLifetime + FleetMembership::heartbeatPeriod);
                CHECK(site.countingLive(lost, isOwn) == 0);
                site.run(FleetMembership::relayedLifetimeElsewhere - FleetMembership::relayedLifetime);
                CHECK(site.countingLive(lost, isAny) == 0);
                for (int n = 0; n < 20; ++n) {
                    site.run(500ms);
                    CHECK(site.countingLive(lost, isAny) == 0);
                }
                SECTION("and all count its next incarnation soon after it started")
                {
                    site.begin(lost);
                    site.run(3s);
                    CHECK(site.countingLive(lost, isAny) == others);
                }
            }
            SECTION("losses, repetitions and reordering take nobody for dead")
            {
                site.setLossPercent(5);
                site.run(2s);
                auto least = site.size();
                for (int n = 0; n < 20; ++n) {
                    site.run(250ms);
                    least = std::min(least, site.leastLive());
                }
                CHECK(least == others);
                CHECK(site.knownResults().most <= count);
            }
            SECTION("the loss of all hubs takes nobody else with it")
            {
                auto hubs = site.hubs();
                for (const auto& it : hubs)
                    site.kill(it);
                site.run(6s);
                CHECK(site.leastLive() == site.size() - 1);
                CHECK(site.knownResults().least >= static_cast<std::int64_t>(site.size()));
                CHECK(site.followers() == 10);
            }
        }
    }
}

// Guards against instances that depend on one hub and on links in both directions.
TEST_CASE("instances of a large site know each other although some links are cut")
{
    RelayedSite site(295, 5, 11);
    site.run(5s);
    auto hub = site.hubs().front();
    SECTION("a hub that hears nobody")
    {
        site.setLink([&](const std::string&, const std::string& to) { return to != hub; });
        site.run(6s);
        CHECK(site.countingLive("edge-7", [&](const auto& name) { return name != hub; }) == 293);
    }
    SECTION("a hub that half of its domain does not reach")
    {
        auto isCut = [&](const std::string& name) { return std::hash<std::string> {}(name) % 2 == 0; };
        site.setLink([&](const std::string& from, const std::string& to) { return !(to == hub && isCut(from)) && !(from == hub && isCut(to)); });
        site.run(6s);
        CHECK(site.leastLive() == 294);
    }
    SECTION("two halves that do not reach each other, and then do")
    {
        auto half = [](const std::string& name) { return std::hash<std::string> {}(name) % 2; };
        site.setLink([&](const std::string& from, const std::string& to) { return half(from) == half(to); });
        site.run(8s);
        CHECK(site.leastLive() > 100);
        CHECK(site.leastLive() < 200);
        site.setLink({});
        site.run(9s);
        CHECK(site.leastLive() == 294);
    }
}

// Guards against requests to upstreams that left long before, since instances whose hubs the store turned away told the site of an
// outage, and every instance kept the upstreams whose entries were missing.
TEST_CASE("an instance of a large site takes the store for lost only if it serves nobody")
{
    RelayedSite site(67, 5);
    site.setStore([](const std::string&) { return true; });
    site.run(15s);
    REQUIRE(site.missingStore().empty());
    auto missing = [&](Milliseconds time) {
        std::size_t most = 0;
        for (auto end = site.now() + time; site.now() < end; site.run(50ms))
            most = std::max(most, site.missingStore().size());
        return most;
    };
    auto hubs = site.hubs();
    auto isHub = [&](const std::string& name) { return std::find(hubs.begin(), hubs.end(), name) != hubs.end(); };

    SECTION("the hubs of a domain are turned away")
    {
        site.setStore([&](const std::string& name) { return !isHub(name) || site.domainOf(name).value != "domain-4"; });
        CHECK(missing(20s) == 0);
    }
    SECTION("all domains but one are turned away")
    {
        site.setStore([&](const std::string& name) { return site.domainOf(name).value == "domain-1"; });
        CHECK(missing(20s) == 0);
    }
    SECTION("all instances notice an outage within three seconds, as long as it lasts, and its end within two")
    {
        site.setStore([](const std::string&) { return false; });
        site.run(4s);
        for (int n = 0; n < 100; ++n) {
            site.run(50ms);
            REQUIRE(site.missingStore().size() == site.size());
        }
        site.setStore([](const std::string&) { return true; });
        site.run(2s);
        CHECK(missing(10s) == 0);
    }
    SECTION("an instance that hears nobody cannot tell an outage from its own isolation")
    {
        std::string name = "edge-7";
        site.setLink([&](const std::string&, const std::string& to) { return to != name; });
        site.run(2500ms);
        CHECK_FALSE(site.membership(name).livePeers(site.now()).empty());
        CHECK_FALSE(site.membership(name).hearsMostPeers(site.now()));
        site.setLink({});
        site.run(1s);
        CHECK(site.membership(name).hearsMostPeers(site.now()));
    }
}

// Guards against requests that are refused for ever, since hubs tell each other of a crash that its witness has forgotten.
TEST_CASE("what crashed upstreams is known to all while its witness tells of it")
{
    RelayedSite site(120, 4, 3);
    site.run(5s);
    site.setCrashes("edge-5", 2);
    site.run(3s);
    CHECK(site.knowingCrashes("edge-5") == 119);
    site.setCrashes("edge-5", 0);
    site.run(8s);
    CHECK(site.knowingCrashes("edge-5") == 0);
}

// Guards against machines replaced one after the other, some of which run the earlier build.
TEST_CASE("instances that read no digests and those that do know each other")
{
    RelayedSite site(120, 4, 5);
    for (int n = 0; n < 120; n += 2)
        site.makeOld(absl::StrCat("edge-", n));
    site.run(12s);
    CHECK(site.leastLive() == 119);
    site.setLossPercent(3);
    site.run(10s);
    CHECK(site.leastLive() >= 118);
}

// Guards against instances that were taken for hubs for a moment and exchange digests from then on for ever.
TEST_CASE("instances of a large site that start together with a few seeds settle on the hubs")
{
    RelayedSite site(295, 5, 13);
    site.beginWithSeeds({ "edge-0", "edge-1", "edge-2" });
    site.run(1s);
    site.tellList();
    site.run(9s);
    CHECK(site.leastLive() == 294);
    CHECK(site.hubs().size() == 10);
    site.takeMessages();
    site.run(4s);
    // Four a second of each instance, two a second of each hub to each of its domain, and four a second to each other domain.
    auto [sum, most] = site.takeMessages();
    CHECK(sum <= 4 * (295 * 4 + 295 * 2 * 2 + 10 * 4 * 4) * 11 / 10);
    CHECK(most <= 4 * (4 + 59 * 2 + 4 * 4) * 11 / 10);
    SECTION("also after half of them were killed at once and have started again")
    {
        for (int n = 0; n < 295; n += 2)
            site.kill(absl::StrCat("edge-", n));
        site.run(4s);
        for (int n = 0; n < 295; n += 2)
            site.begin(absl::StrCat("edge-", n));
        site.run(12s);
        CHECK(site.leastLive() == 294);
        CHECK(site.hubs().size() == 10);
        site.takeMessages();
        site.run(4s);
        CHECK(site.takeMessages().first <= 4 * (295 * 4 + 295 * 2 * 2 + 10 * 4 * 4) * 11 / 10);
    }
}

// Guards against small machines that spend on relaying what their requests need.
TEST_CASE("the largest machines of a domain are its hubs")
{
    RelayedSite site(295, 5, 17);
    std::set<std::string> large;
    // Three in each domain.
    for (int n = 100; n < 115; ++n)
        large.insert(absl::StrCat("edge-", n));
    site.setLarge(large);
    site.beginWithSeeds({ "edge-0", "edge-1", "edge-2" });
    site.run(1s);
    site.tellList();
    site.run(11s);
    auto areLarge = [&] {
        auto hubs = site.hubs();
        return hubs.size() == 10 && std::all_of(hubs.begin(), hubs.end(), [&](const auto& it) { return large.contains(it); });
    };
    CHECK(areLarge());
    CHECK(site.leastLive() == 294);
    SECTION("and smaller ones in their place")
    {
        for (const auto& it : large)
            site.kill(it);
        site.run(6s);
        CHECK(site.leastLive() == 279);
        CHECK(site.hubs().size() == 10);
        SECTION("until they are back")
        {
            for (const auto& it : large)
                site.begin(it);
            site.run(12s);
            CHECK(areLarge());
            CHECK(site.leastLive() == 294);
        }
    }
}

TEST_CASE("a small site needs no hubs")
{
    RelayedSite site(8, 3);
    site.run(3s);
    CHECK(site.leastLive() == 7);
    CHECK(site.knownRequests().least == 7);
    CHECK(site.knownResults().least == 8);
    CHECK(site.followers() == 3);
    site.kill("edge-3");
    site.run(1350ms);
    CHECK(site.leastLive() == 6);
    CHECK(site.countingLive("edge-3", [](const auto&) { return true; }) == 0);
}

namespace {

FleetHeartbeat fullHeartbeat()
{
    FleetHeartbeat it;
    it.from = { { "edge-1" }, 7 };
    it.domain = { "a" };
    it.addresses = { "10.0.0.1:80", "10.0.0.1:70" };
    it.sequence = 9;
    it.ready = true;
    it.work[{ "u-1" }] = { 2, 300 };
    it.readsDigests = it.asksForDigest = true;
    it.digest.emplace();
    it.digest->rows = { { 0xdeadbeef, 65535, 12, true, false, true, true }, { 1, 2, 3, false, true, false, false } };
    it.digest->identities = { { { { "edge-2" }, 1ULL << 63 }, { "b" }, "10.0.0.2:80", "10.0.0.2:70", 50 } };
    it.digest->sums = { 3, { { { "u-1" }, { 5, 700 } } }, { { { { "s" }, "v2", "r", { "m" } }, { .done = 4, .failed = 1 } } } };
    it.digest->crashes[{ "edge-2" }]["f00d"] = 2;
    return it;
}

// Takes the bytes in, whatever they are.
void takeIn(const std::string& bytes)
{
    FleetMembership membership({ { "self" }, 1 }, { "a" }, "self:70");
    if (auto heartbeat = decodeHeartbeat(bytes)) {
        membership.onHeartbeat(*heartbeat, start);
        membership.nextReceivers(start);
        membership.nextTargets(start);
        membership.urgentReceivers(start);
        membership.digest({}, FleetMembership::DigestScope::WholeSite, start);
    }
}

}

// Guards against a malformed datagram that ends a process or takes memory without limit.
TEST_CASE("heartbeats with digests are read whole or not at all")
{
    auto sent = fullHeartbeat();
    auto bytes = encodeHeartbeat(sent);
    auto decoded = decodeHeartbeat(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->digest);
    CHECK(decoded->asksForDigest);
    CHECK(decoded->digest->rows == sent.digest->rows);
    CHECK(decoded->digest->identities == sent.digest->identities);
    CHECK(decoded->digest->sums.instances == 3);
    CHECK(decoded->digest->sums.work.at({ "u-1" }).requests == 5);
    CHECK(decoded->digest->sums.evidence == sent.digest->sums.evidence);
    CHECK(decoded->digest->crashes == sent.digest->crashes);
    SECTION("sums of any size and of many upstreams are read as they were")
    {
        auto& work = sent.digest->sums.work;
        work[{ "" }] = { 0, 0 };
        work[{ std::string(300, 'u') }] = { 127, 128 };
        work[{ "large" }] = { 16384, std::int64_t { 1 } << 60 };
        for (int n = 0; n < 900; ++n)
            work[{ absl::StrCat("i-", n) }] = { n, 1000 * n };
        auto many = decodeHeartbeat(encodeHeartbeat(sent));
        REQUIRE(many);
        REQUIRE(many->digest->sums.work.size() == work.size());
        for (const auto& [id, it] : work) {
            CHECK(many->digest->sums.work.at(id).requests == it.requests);
            CHECK(many->digest->sums.work.at(id).waitingTokens == it.waitingTokens);
        }
    }
    SECTION("cut bytes are not read")
    {
        for (std::size_t n = 0; n < bytes.size(); ++n)
            CHECK_FALSE(decodeHeartbeat(bytes.substr(0, n)));
    }
    SECTION("flipped and random bytes do no harm")
    {
        CHECK(rc::check("flipped", [&] {
            auto flipped = bytes;
            for (int n = *rc::gen::inRange(1, 6); n > 0; --n)
                flipped[*rc::gen::inRange<std::size_t>(0, flipped.size())] = *rc::gen::arbitrary<char>();
            takeIn(flipped);
        }));
        CHECK(rc::check("random", [&] { takeIn(*rc::gen::arbitrary<std::string>()); }));
    }
    SECTION("more rows, identities and upstreams than a site can have are ignored")
    {
        for (std::size_t n = 0; n < maxDigestUpstreams + 10; ++n)
            sent.digest->sums.work[{ absl::StrCat("i-", n) }] = { 1, 1 };
        sent.digest->rows.assign(maxDigestRows + 500, { 1, 2, 3 });
        sent.digest->identities.assign(maxDigestIdentities + 10, sent.digest->identities.front());
        auto large = decodeHeartbeat(encodeHeartbeat(sent));
        REQUIRE(large);
        CHECK(large->digest->rows.size() == maxDigestRows);
        CHECK(large->digest->identities.size() == maxDigestIdentities);
        CHECK(large->digest->sums.work.size() == maxDigestUpstreams);
    }
}

// Guards against digests whose effect depends on their order or on repetition.
TEST_CASE("digests may come in any order and repeatedly")
{
    CHECK(rc::check("order and repetition", [] {
        std::vector<FleetHeartbeat> heartbeats;
        std::uint64_t latest = 0;
        for (int n = 0; n < 8; ++n) {
            FleetHeartbeat it;
            it.from = { { absl::StrCat("hub-", n) }, 1 };
            it.domain = { "a" };
            it.sequence = 1;
            it.readsDigests = true;
            it.digest.emplace();
            auto number = *rc::gen::inRange<std::uint64_t>(1, 4);
            latest = std::max(latest, number);
            it.digest->identities = { { { { "edge-9" }, number }, { "a" }, "10.0.0.9:80", "10.0.0.9:70" } };
            it.digest->rows = { { incarnationKey({ { "edge-9" }, number }), 1, static_cast<std::uint16_t>(*rc::gen::inRange(0, 90)), true, false, true, true } };
            heartbeats.push_back(std::move(it));
        }
        auto youngest = std::numeric_limits<int>::max();
        for (const auto& it : heartbeats) {
            if (it.digest->identities[0].incarnation.number == latest)
                youngest = std::min<int>(youngest, it.digest->rows[0].age);
        }
        std::shuffle(heartbeats.begin(), heartbeats.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
        FleetMembership membership({ { "self" }, 1 }, { "a" }, "self:70");
        for (int round = 0; round < 2; ++round) {
            for (const auto& it : heartbeats)
                membership.onHeartbeat(it, start);
        }
        const auto& peer = membership.peers().at({ "edge-9" });
        RC_ASSERT(peer.heartbeat.from.number == latest);
        RC_ASSERT(peer.lastHeartbeatAt == start - Milliseconds(10 * youngest));
        RC_ASSERT(peer.heartbeat.ready);
    }));
}
