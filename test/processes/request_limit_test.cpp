// Tests with several instances as processes and an engine that states how many requests it takes from all of them together.

#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <deque>
#include <thread>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

// Time after the first statement of a limit from which it must be kept, and the span in which requests are counted.
constexpr auto contactTime = 3000ms;
constexpr auto window = 4000ms;

// Three instances and three engines, the first of which may state a limit in its responses.
class LimitedSite {
public:
    LimitedSite()
        : m_limited("i-1", [this](const RawRequest& request, RawConnection& connection) { return serveLimited(request, connection); })
        , m_second("i-2", streamEvents(3, 5ms))
        , m_third("i-3", streamEvents(3, 5ms))
    {
        m_store.put("op/config", sampleConfiguration(3));
        for (const auto* it : { &m_limited, &m_second, &m_third })
            m_store.put("servers/" + it->id(), it->registration("assist"));
        m_instances.emplace_back("edge-1", m_store.address());
        for (int n = 2; n <= 3; ++n)
            m_instances.emplace_back(absl::StrCat("edge-", n), m_store.address(), m_instances.front().peerAddress());
        for (auto& it : m_instances)
            REQUIRE(waitUntil(5s, [&] { return it.isReady(); }));
    }
    ~LimitedSite() { m_store.cutWatches(); }

    // An empty text states no limit.
    void setLimit(const std::string& limit)
    {
        std::lock_guard lock(m_mutex);
        m_limit = limit;
    }
    // Makes the engine state its limit, and then not respond in time.
    void setSlow(bool isSlow)
    {
        std::lock_guard lock(m_mutex);
        m_isSlow = isSlow;
    }
    std::deque<EdgeInstance>& instances() { return m_instances; }

    struct Served {
        int sent = 0;
        int served = 0;
    };
    // Sends some 60 requests a second to those instances that run; meanwhile calls `during` on another thread.
    Served run(
        std::chrono::milliseconds time, const std::function<void()>& during = [] {})
    {
        auto end = Clock::now() + time;
        std::atomic<int> sent = 0, served = 0;
        std::vector<std::thread> callers;
        for (std::size_t caller = 0; caller < 6; ++caller) {
            callers.emplace_back([&, caller] {
                for (int n = 0; Clock::now() < end; ++n) {
                    auto connection = RawConnection::connect(m_instances[(caller + static_cast<std::size_t>(n)) % m_instances.size()].port());
                    if (connection) {
                        auto headers = absl::StrCat("X-Model-Name: *\r\nX-Token-Count: 300,50\r\nX-Prefix-Hash: sys:100,s", n % 30, ":100,own:100\r\n");
                        connection->write(requestBytes("POST", "/draft/x", absl::StrCat("id-", caller, "-", ++m_ids), headers, "prompt"));
                        ++sent;
                        served += absl::EndsWith(connection->readResponse(), "0\r\n\r\n") ? 1 : 0;
                    }
                    std::this_thread::sleep_for(70ms);
                }
            });
        }
        during();
        for (auto& it : callers)
            it.join();
        return { sent, served };
    }

    // The most requests that the first engine got within a window that began after the time.
    std::size_t mostInWindow(Clock::time_point after)
    {
        std::lock_guard lock(m_mutex);
        std::size_t most = 0;
        for (auto first = std::lower_bound(m_arrivals.begin(), m_arrivals.end(), after); first != m_arrivals.end(); ++first)
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, m_arrivals.end(), *first + window) - first));
        return most;
    }
    std::size_t arrivalsSince(Clock::time_point after)
    {
        std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(m_arrivals.end() - std::lower_bound(m_arrivals.begin(), m_arrivals.end(), after));
    }

    static std::size_t allowed(double limit) { return static_cast<std::size_t>(1.5 * limit * 4 + 5); }

private:
    bool serveLimited(const RawRequest& request, RawConnection& connection)
    {
        StreamOptions options;
        bool isSlow = false;
        {
            std::lock_guard lock(m_mutex);
            isSlow = m_isSlow;
            m_arrivals.push_back(Clock::now());
            if (!m_limit.empty())
                options.fields = { { "Server-Limit", m_limit } };
        }
        return streamEvents(3, isSlow ? 4000ms : 5ms, options)(request, connection);
    }

    FleetStore m_store;
    std::mutex m_mutex;
    std::string m_limit;
    bool m_isSlow = false;
    std::vector<Clock::time_point> m_arrivals;
    std::atomic<int> m_ids = 0;
    ScriptedUpstream m_limited;
    ScriptedUpstream m_second;
    ScriptedUpstream m_third;
    std::deque<EdgeInstance> m_instances;
};

}

// Guards against an engine that gets more requests than it says that it takes from all instances together.
TEST_CASE("an engine that states a limit gets no more requests from all instances together")
{
    LimitedSite site;
    REQUIRE(site.run(1s).served >= 20);
    REQUIRE(site.mostInWindow({}) > 5);

    for (const auto* limit : { "1", "2.3" }) {
        SECTION(absl::StrCat("of ", limit, " a second, while the others serve the rest"))
        {
            site.setLimit(limit);
            auto statedAt = Clock::now();
            auto served = site.run(10s);
            CHECK(site.mostInWindow(statedAt + contactTime) <= LimitedSite::allowed(std::stod(limit)));
            CHECK(served.served == served.sent);
            CHECK(site.arrivalsSince(statedAt + contactTime) >= 2);
        }
    }
    SECTION("while instances leave and return")
    {
        site.setLimit("2");
        auto statedAt = Clock::now();
        site.run(12s, [&] {
            std::this_thread::sleep_for(contactTime);
            for (std::size_t n = 0; n < 2; ++n) {
                site.instances()[n].kill();
                std::this_thread::sleep_for(2s);
                site.instances()[n].restart();
                std::this_thread::sleep_for(2s);
            }
        });
        CHECK(site.mostInWindow(statedAt + contactTime) <= LimitedSite::allowed(2));
    }
    // Guards against an engine in need that is treated as a faulty one.
    SECTION("and is not ejected for responses that come late")
    {
        site.setLimit("2");
        site.run(1s);
        site.setSlow(true);
        site.run(9s);
        std::size_t late = 0;
        for (const auto& it : site.instances()) {
            late += it.linesContaining("end=timed_out").size();
            CHECK(it.linesContaining("what=upstream_ejected").empty());
        }
        CHECK(late >= 3);
    }
    SECTION("until it states none any more, also if the limit was 0")
    {
        site.setLimit("0");
        auto statedAt = Clock::now();
        site.run(8s);
        CHECK(site.mostInWindow(statedAt + contactTime) <= LimitedSite::allowed(0));
        site.setLimit("");
        site.run(5s);
        auto endedAt = Clock::now();
        site.run(2s);
        CHECK(site.arrivalsSince(endedAt) >= 20);
    }
}
