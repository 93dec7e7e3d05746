// Fault-injection soak test: runs real processes under random faults, signals and configuration changes while callers send
// requests continuously. SOAK_SEEDS="1,2,..." and SOAK_ROUNDS=N select the seeds and the number of rounds; docs/OPERATIONS.md
// describes longer runs.

#include "soak/soak_site.h"

#include <absl/strings/str_split.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace skylarkhitch;
using namespace skylarkhitch::soak;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

// An action at an offset from the start of a round.
struct Step {
    std::chrono::milliseconds at;
    std::function<void()> run;
};
using Steps = std::vector<Step>;

constexpr auto roundTime = 3000ms;
// Wait after a round of faults; longer than the 2 s after which an unacknowledged connection is closed.
constexpr auto settleTime = 2500ms;
// An instance that receives SIGTERM must exit within this time.
constexpr Seconds graceTime { 5 };
// Limits required by the users: until a configuration is applied on all instances, and until service recovers.
constexpr auto configurationTime = 2s;
constexpr auto recoveryTime = 12s;
constexpr int servedInARow = 20;

// Generates random rounds from one seed and runs them.
class Schedule {
public:
    Schedule(SoakSite& site, std::uint64_t seed)
        : m_site(site)
        , m_random(seed)
    {
    }

    void round(int number)
    {
        bool isPlanned = number % 2 == 0;
        auto begun = Clock::now();
        Steps steps;
        for (auto n = pick(2, 4); n > 0; --n) {
            auto table = isPlanned ? plannedWork() : faults();
            (this->*table[pick(0, table.size() - 1)])(steps);
        }
        play(std::move(steps), begun);
        if (isPlanned) {
            awaitStopped();
            m_site.records.planned(begun, Clock::now());
            return;
        }
        m_site.heal();
        for (auto* it : m_stopped)
            it->restart();
        m_stopped.clear();
        std::this_thread::sleep_for(settleTime);
    }

private:
    using Maker = void (Schedule::*)(Steps&);

    static std::vector<Maker> plannedWork() { return { &Schedule::stopAndStart, &Schedule::reload, &Schedule::changeConfiguration, &Schedule::drainUpstream }; }
    static std::vector<Maker> faults() { return { &Schedule::killAndStart, &Schedule::killAll, &Schedule::pause, &Schedule::storeFault, &Schedule::forgetHistory, &Schedule::storeLinkFault, &Schedule::upstreamFault, &Schedule::reuseAddress, &Schedule::stopAndStart, &Schedule::changeConfiguration }; }

    std::size_t pick(std::size_t least, std::size_t most) { return std::uniform_int_distribution<std::size_t>(least, most)(m_random); }
    std::chrono::milliseconds pickTime(std::chrono::milliseconds most) { return std::chrono::milliseconds(pick(0, static_cast<std::size_t>(most.count()))); }
    EdgeInstance& pickInstance() { return *m_site.instances[pick(0, m_site.instances.size() - 1)]; }

    void play(Steps steps, Clock::time_point begun)
    {
        std::sort(steps.begin(), steps.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        for (auto& it : steps) {
            std::this_thread::sleep_until(begun + it.at);
            it.run();
        }
        std::this_thread::sleep_until(begun + roundTime);
    }

    // Waits until the stopped instances have exited on their own, then restarts them.
    void awaitStopped()
    {
        for (auto* it : m_stopped) {
            auto status = it->process().waitForExit(graceTime);
            CHECK(status == 0);
            it->restart();
            CHECK(within(recoveryTime, [&] { return it->isReady(); }));
        }
        m_stopped.clear();
    }

    void stopAndStart(Steps& steps)
    {
        auto& instance = pickInstance();
        // At least one instance keeps running, since the users stop their machines one after another.
        bool isNew = std::find(m_stopped.begin(), m_stopped.end(), &instance) == m_stopped.end();
        if (!isNew || m_stopped.size() + 1 >= SoakSite::instanceCount)
            return;
        m_stopped.push_back(&instance);
        steps.push_back({ pickTime(roundTime), [&instance] { instance.signal(SIGTERM); } });
    }

    void reload(Steps& steps)
    {
        auto& instance = pickInstance();
        for (auto n = pick(1, 3); n > 0; --n)
            steps.push_back({ pickTime(roundTime), [&instance] { instance.signal(SIGHUP); } });
    }

    void changeConfiguration(Steps& steps)
    {
        for (auto n = pick(1, 6); n > 0; --n)
            steps.push_back({ pickTime(roundTime), [this] { m_site.configure("key-1"); } });
    }

    void drainUpstream(Steps& steps)
    {
        auto& upstream = m_site.upstreams[pick(0, m_site.upstreams.size() - 1)];
        auto at = pickTime(roundTime / 2);
        steps.push_back({ at, [this, &upstream] { m_site.enlist(upstream, "draining"); } });
        steps.push_back({ at + roundTime / 2, [this, &upstream] {
                             ++upstream.born;
                             m_site.enlist(upstream);
                         } });
    }

    void killAndStart(Steps& steps)
    {
        auto& instance = pickInstance();
        auto at = pickTime(roundTime);
        steps.push_back({ at, [&instance] { instance.kill(); } });
        steps.push_back({ at + pickTime(500ms), [&instance] { instance.restart(); } });
    }

    void killAll(Steps& steps)
    {
        auto at = pickTime(roundTime);
        for (auto& it : m_site.instances)
            steps.push_back({ at, [&it] { it->kill(); } });
        for (auto& it : m_site.instances)
            steps.push_back({ at + 300ms, [&it] { it->restart(); } });
    }

    void pause(Steps& steps)
    {
        auto& instance = pickInstance();
        auto at = pickTime(roundTime);
        steps.push_back({ at, [&instance] { instance.signal(SIGSTOP); } });
        steps.push_back({ at + pickTime(2500ms), [&instance] { instance.signal(SIGCONT); } });
    }

    void storeFault(Steps& steps)
    {
        constexpr StoreFault kinds[] = { StoreFault::Busy, StoreFault::Silent, StoreFault::LosesAnswers, StoreFault::SlowReads };
        auto fault = kinds[pick(0, std::size(kinds) - 1)];
        auto at = pickTime(roundTime);
        steps.push_back({ at, [this, fault] { m_site.store.setFault(fault); } });
        steps.push_back({ at + pickTime(2000ms), [this] { m_site.store.setFault(StoreFault::None); } });
    }

    void forgetHistory(Steps& steps)
    {
        steps.push_back({ pickTime(roundTime), [this] { m_site.store.forgetHistory(); } });
    }

    void linkFault(Steps& steps, FaultProxy& link)
    {
        constexpr LinkFault kinds[] = { LinkFault::Delay, LinkFault::Reset, LinkFault::CutToServer, LinkFault::CutFromServer, LinkFault::Silent };
        auto fault = kinds[pick(0, std::size(kinds) - 1)];
        auto at = pickTime(roundTime);
        steps.push_back({ at, [&link, fault] { link.setFault(fault); } });
        steps.push_back({ at + pickTime(2500ms), [&link] { link.setFault(LinkFault::None); } });
    }

    void storeLinkFault(Steps& steps) { linkFault(steps, *m_site.storeLinks[pick(0, m_site.storeLinks.size() - 1)]); }

    void upstreamFault(Steps& steps) { linkFault(steps, *m_site.upstreams[pick(0, m_site.upstreams.size() - 1)].link); }

    // An upstream of another service responds at an address that is still registered for this one.
    void reuseAddress(Steps& steps)
    {
        auto& one = *m_site.upstreams.front().link;
        auto other = m_site.upstreams.back().server->port();
        steps.push_back({ pickTime(roundTime), [&one, other] { one.setTarget(other); } });
    }

    SoakSite& m_site;
    std::mt19937_64 m_random;
    std::vector<EdgeInstance*> m_stopped;
};

std::vector<std::uint64_t> seeds()
{
    // Seeds that found a fault stay in this list. 3: after a 500 from an upstream, the retry was charged to the budget twice, and
    // the caller received neither the retry's response nor the 500.
    std::vector<std::uint64_t> all { 1, 3 };
    if (const char* text = std::getenv("SOAK_SEEDS")) {
        all.clear();
        for (auto it : absl::StrSplit(text, ','))
            all.push_back(std::strtoull(std::string(it).c_str(), nullptr, 10));
    }
    return all;
}

int rounds()
{
    constexpr int inEachRun = 4;
    const char* text = std::getenv("SOAK_ROUNDS");
    return text ? std::atoi(text) : inEachRun;
}

// Checks that every instance serves a number of consecutive requests; `failure` describes the first one that was not served.
bool isServing(SoakSite& site, std::mt19937_64& random, std::string& failure)
{
    std::unique_ptr<RawConnection> connection;
    for (std::size_t n = 0; n < site.instances.size(); ++n) {
        connection.reset();
        for (int served = 0; served < servedInARow; ++served) {
            auto outcome = site.ask(Kind::Status, connection, n, random);
            // A 500 from the upstream itself counts as served. So does a request whose upstream aborted, since two aborted runs of one
            // request may be attributed to the request.
            bool isUpstreams = outcome.status == 500 || site.records.hasBroken(outcome.id);
            if (outcome.status != 200 && !isUpstreams) {
                failure = absl::StrCat(outcome.id, " at instance ", n + 1, ": status ", outcome.status);
                return false;
            }
        }
    }
    return true;
}

}

TEST_CASE("the guarantees hold under faults, signals and configuration changes")
{
    for (auto seed : seeds()) {
        CAPTURE(seed);
        SoakSite site(seed);
        std::mt19937_64 random(seed);
        for (auto& it : site.instances)
            REQUIRE(within(recoveryTime, [&] { return it->isReady(); }));
        site.startCallers();
        Schedule schedule(site, seed);
        for (int n = 0; n < rounds(); ++n)
            schedule.round(n);
        site.heal();
        std::string failure;
        CHECK(within(recoveryTime, [&] { return isServing(site, random, failure); }));
        site.stopCallers();
        site.configure("key-2");
        std::this_thread::sleep_for(configurationTime);
        auto broken = site.records.violations();
        bool serves = isServing(site, random, failure);
        if (!serves)
            broken.push_back("not served after recovery: " + failure);
        for (const auto& it : broken)
            UNSCOPED_INFO(it);
        for (const auto& it : site.instances) {
            if (!broken.empty())
                UNSCOPED_INFO("process output saved in: " + it->keepOutput());
        }
        CHECK(broken.empty());
        CHECK(site.records.served() > site.records.size() / 4);
    }
}

TEST_CASE("the soak checks detect each kind of violation")
{
    SoakRecords records;
    auto now = Clock::now();
    auto end = [&](const std::string& id, Kind kind, int status, bool isWhole = true, const std::string& defect = {}) {
        records.ended({ id, kind, status, isWhole, defect, now, now });
    };
    records.ran("r1");
    end("r1", Kind::Booking, 200);
    CHECK(records.violations().empty());

    SECTION("a call that runs twice")
    {
        records.ran("r1");
        CHECK(records.violations().size() == 1);
    }
    SECTION("a request rejected as not run that did run, also if the run comes later")
    {
        end("r2", Kind::Booking, 503);
        CHECK(records.violations().empty());
        records.ran("r2");
        CHECK(records.violations().size() == 1);
    }
    SECTION("a valid request that is rejected")
    {
        end("r3", Kind::Status, 404);
        CHECK(records.violations().size() == 1);
    }
    SECTION("a response with a defect")
    {
        end("r4", Kind::Draft, 200, true, "events are missing");
        CHECK(records.violations().size() == 1);
    }
    SECTION("a request interrupted by a planned operation, unless its upstream aborted the response")
    {
        records.ran("r5");
        end("r5", Kind::Draft, 200, false);
        CHECK(records.violations().empty());
        records.planned(now - 1s, now + 1s);
        CHECK(records.violations().size() == 1);
        records.brokeOff("r5");
        CHECK(records.violations().empty());
    }
}
