// Tests that the instances of a site together send an upstream that is cold no more than it bears, although they learn of it at different
// moments.

#include "core/limits/upstream_limits.h"
#include "core/membership/fleet_membership.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
const std::string process = "i-1/7";

// Instances that exchange heartbeats as in operation, each with its own view of who is live, and an upstream to which all of them always
// want to send. An instance whose view lacks the upstream sends it nothing; one that knows of no limit sends five requests a second.
class ColdFleet {
public:
    ColdFleet(int count, double coldRate)
        : m_coldRate(coldRate)
    {
        for (int n = 0; n < count; ++n)
            m_addresses[absl::StrCat("edge-", n)] = { absl::StrCat("domain-", n % 3) };
        for (const auto& [name, domain] : m_addresses)
            begin(name);
    }

    void run(Milliseconds time)
    {
        for (auto end = m_now + time; m_now < end; m_now += 10ms) {
            for (auto& [name, it] : m_instances) {
                deliver(it);
                if (m_now >= it.heartbeatAt)
                    sendHeartbeat(name, it);
                send(it);
            }
            // News goes out at once, as fast as the network takes it.
            for (auto& [name, it] : m_instances) {
                if (it.limits.takeUrgent())
                    sendTo(name, it, it.membership.urgentReceivers(m_now));
            }
        }
    }

    // The upstream is cold from now on; the views of the instances show it in turn with an age of 0, 0.25 and 1 s.
    void beginCold(Milliseconds time)
    {
        constexpr Milliseconds ages[] = { 0ms, 250ms, 1000ms };
        m_coldUntil = m_now + time;
        int n = 0;
        for (auto& [name, it] : m_instances)
            it.seesColdAt = m_now + ages[n++ % 3];
    }
    void list() { m_isListed = true; }
    void kill(const std::string& name) { m_instances.erase(name); }
    // Starts an instance, which knows no peer yet and reads the store at once.
    void begin(const std::string& name)
    {
        ++m_incarnations;
        auto& it = m_instances.emplace(name, Instance { { { { name }, m_incarnations }, m_addresses.at(name), name }, UpstreamLimits({ name }) }).first->second;
        it.membership.setListedPeers(m_addresses);
        it.limits.setInstances({ { name } });
        it.incarnation = m_incarnations;
        it.heartbeatAt = m_now + Milliseconds(m_random() % 250);
        if (m_coldUntil)
            it.seesColdAt = m_now;
    }
    void restartAll()
    {
        for (const auto& [name, domain] : m_addresses) {
            kill(name);
            begin(name);
        }
    }

    // The most requests in a second that begins after the time.
    std::size_t mostInSecond(TimePoint after = start) const
    {
        std::size_t most = 0;
        for (auto first = m_sends.begin(), last = first; first != m_sends.end(); ++first) {
            while (last != m_sends.end() && *last < *first + 1s)
                ++last;
            if (*first >= after)
                most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }
    std::size_t sentSince(TimePoint after) const
    {
        return static_cast<std::size_t>(std::count_if(m_sends.begin(), m_sends.end(), [&](auto it) { return it >= after; }));
    }
    std::size_t allowed() const { return static_cast<std::size_t>(1.5 * m_coldRate + 5); }
    TimePoint now() const { return m_now; }

private:
    struct Instance {
        FleetMembership membership;
        UpstreamLimits limits;
        std::uint64_t sequence = 0;
        std::uint64_t incarnation = 0;
        TimePoint heartbeatAt {};
        std::optional<TimePoint> seesColdAt = std::nullopt;
        std::vector<std::pair<TimePoint, FleetHeartbeat>> inbox = {};
    };

    void deliver(Instance& instance)
    {
        auto due = std::stable_partition(instance.inbox.begin(), instance.inbox.end(), [&](const auto& it) { return it.first <= m_now; });
        std::vector<std::pair<TimePoint, FleetHeartbeat>> arrived(std::make_move_iterator(instance.inbox.begin()), std::make_move_iterator(due));
        instance.inbox.erase(instance.inbox.begin(), due);
        for (const auto& [at, heartbeat] : arrived) {
            if (instance.membership.onHeartbeat(heartbeat, m_now))
                instance.limits.learn(heartbeat.limits, m_now);
        }
    }

    void sendHeartbeat(const std::string& name, Instance& instance)
    {
        instance.heartbeatAt += FleetMembership::heartbeatPeriod;
        std::vector<InstanceId> live { { name } };
        for (const auto* peer : instance.membership.livePeers(m_now))
            live.push_back(peer->heartbeat.from.instance);
        instance.limits.setInstances(std::move(live));
        instance.limits.assignShares(m_now);
        sendTo(name, instance, instance.membership.nextReceivers(m_now));
    }

    void sendTo(const std::string& name, Instance& instance, const std::vector<std::string>& receivers)
    {
        FleetHeartbeat heartbeat;
        heartbeat.from = { { name }, instance.incarnation };
        heartbeat.domain = m_addresses.at(name);
        heartbeat.addresses = { name, name };
        heartbeat.sequence = ++instance.sequence;
        heartbeat.limits = statedLimitsFrom(toJson(instance.limits.news(m_now)));
        for (const auto& receiver : receivers) {
            auto it = m_instances.find(receiver);
            if (it != m_instances.end() && m_random() % 20 > 0)
                it->second.inbox.emplace_back(m_now + Milliseconds(5 + m_random() % 10), heartbeat);
        }
    }

    void send(Instance& instance)
    {
        bool seesCold = instance.seesColdAt && m_now >= *instance.seesColdAt;
        if (seesCold)
            instance.limits.recordCold(process, m_coldRate, *m_coldUntil, m_now);
        auto rank = static_cast<std::int64_t>(m_random() % 3);
        bool isUsed = m_isListed || seesCold;
        bool isLimited = instance.limits.isLimited(process);
        if (!isUsed || !instance.limits.maySend(process, rank, m_now) || (!isLimited && m_random() % 20 > 0))
            return;
        instance.limits.sent(process, m_now);
        // Its responses say nothing of cold.
        instance.limits.recordResponse(process, std::nullopt, m_now);
        m_sends.push_back(m_now);
    }

    double m_coldRate;
    bool m_isListed = false;
    std::optional<TimePoint> m_coldUntil;
    std::map<std::string, DomainId> m_addresses;
    std::map<std::string, Instance> m_instances;
    std::vector<TimePoint> m_sends;
    std::uint64_t m_incarnations = 0;
    std::mt19937 m_random { 7 };
    TimePoint m_now = start;
};

}

TEST_CASE("the instances of a site together keep to what a cold upstream bears")
{
    for (int count : { 8, 88 }) {
        for (double rate : { 2.0, 12.0, 40.0 }) {
            DYNAMIC_SECTION(count << " instances and " << rate << " a second")
            {
                ColdFleet fleet(count, rate);
                SECTION("when it returns with its whole domain")
                {
                    fleet.run(4s);
                    fleet.beginCold(8s);
                    fleet.run(7500ms);
                    CHECK(fleet.mostInSecond() <= fleet.allowed());
                    // It is used: after the time in which nobody may take a share, for most of what it bears.
                    CHECK(static_cast<double>(fleet.sentSince(start)) >= 0.5 * rate * 6.5);
                }
                SECTION("while an instance starts in each second")
                {
                    fleet.run(4s);
                    fleet.beginCold(8s);
                    for (int n = 0; n < 7; ++n) {
                        fleet.kill(absl::StrCat("edge-", n));
                        fleet.begin(absl::StrCat("edge-", n));
                        fleet.run(1s);
                    }
                    CHECK(fleet.mostInSecond() <= fleet.allowed());
                }
                SECTION("when all instances start in that second")
                {
                    fleet.run(4s);
                    fleet.beginCold(8s);
                    fleet.restartAll();
                    fleet.run(7s);
                    CHECK(fleet.mostInSecond() <= fleet.allowed());
                }
                SECTION("when it is cold again while all use it, from when news of that has spread")
                {
                    fleet.list();
                    fleet.run(4s);
                    fleet.beginCold(8s);
                    // News that was lost is repeated by the next heartbeat.
                    auto knownAt = fleet.now() + FleetMembership::heartbeatPeriod;
                    fleet.run(7500ms);
                    CHECK(fleet.mostInSecond(knownAt) <= fleet.allowed());
                    SECTION("and it gets everything again once it is warm")
                    {
                        fleet.run(2s);
                        CHECK(fleet.sentSince(fleet.now() - 1s) > 10 * static_cast<std::size_t>(count) / 4);
                    }
                }
            }
        }
    }
}
