// Tests with several instances as processes and engines that crash when they begin to respond to a prompt with a given part.

#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <deque>
#include <nlohmann/json.hpp>
#include <numeric>
#include <thread>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr const char* fatalPart = "dead0dead0";
// Time in which every instance must act on what any of them saw, and the number of crashes from which it counts.
constexpr auto contactTime = 3000ms;
constexpr std::size_t crashesToCount = 5;
constexpr std::size_t maxFatalRequests = 3;
constexpr auto engineRestartTime = 1500ms;
// Time in which instances that are ready have heard from each other.
constexpr auto heartbeatTime = 1000ms;

// Sends a request over a new connection and returns the response, or what there was of it. May be called on any thread.
std::string sendAndRead(const EdgeInstance& instance, const std::string& bytes)
{
    auto connection = RawConnection::connect(instance.port());
    if (!connection)
        return {};
    connection->write(bytes);
    return connection->readResponse();
}

// Three instances and ten engines. Callers share their key and the first part of their prompts.
class CrashingSite {
public:
    CrashingSite()
    {
        m_store.put("op/config", sampleConfiguration(3));
        for (int n = 0; n < 10; ++n)
            m_engines.emplace_back(m_store, absl::StrCat("i-", n), "assist", fatalPart);
        m_instances.emplace_back("edge-1", m_store.address());
        for (int n = 2; n <= 3; ++n)
            m_instances.emplace_back(absl::StrCat("edge-", n), m_store.address(), m_instances.front().peerAddress());
        for (auto& it : m_instances)
            REQUIRE(waitUntil(5s, [&] { return it.isReady(); }));
    }
    ~CrashingSite() { m_store.cutWatches(); }

    // Sends requests of three sound callers, and of a fatal one each 100 ms if that is asked for; starts engines that crashed.
    void run(std::chrono::milliseconds time, bool withFatal)
    {
        auto end = Clock::now() + time;
        std::vector<std::thread> callers;
        for (std::size_t caller = 0; caller < m_instances.size(); ++caller)
            callers.emplace_back([this, caller, end] { callSound(m_instances[caller], caller, end); });
        if (withFatal)
            callers.emplace_back([this, end] { callFatal(end); });
        while (Clock::now() < end) {
            for (auto& it : m_engines)
                it.restartAfter(engineRestartTime);
            std::this_thread::sleep_for(20ms);
        }
        for (auto& it : callers)
            it.join();
    }

    // Times of an event at all engines, in order.
    std::vector<Clock::time_point> collect(std::vector<Clock::time_point> (CrashingEngine::*times)())
    {
        std::vector<Clock::time_point> all;
        for (auto& it : m_engines) {
            auto some = (it.*times)();
            all.insert(all.end(), some.begin(), some.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    struct Served {
        int sent = 0;
        int served = 0;
        double share() const { return sent == 0 ? 0 : static_cast<double>(served) / sent; }
    };
    // Sound requests that were sent in the time span, and those of them that got a whole response at the first attempt.
    Served served(Clock::time_point from, Clock::time_point to)
    {
        std::lock_guard lock(m_mutex);
        Served sum;
        for (const auto& [at, isServed] : m_soundRequests) {
            if (at < from || at >= to)
                continue;
            ++sum.sent;
            sum.served += isServed ? 1 : 0;
        }
        return sum;
    }

    std::deque<EdgeInstance>& instances() { return m_instances; }
    // Number of lines of all instances that contain the text.
    std::size_t lines(const std::string& text) const
    {
        return std::accumulate(m_instances.begin(), m_instances.end(), std::size_t { 0 }, [&](std::size_t n, const auto& it) { return n + it.linesContaining(text).size(); });
    }
    // Kills all instances at once, and starts them again.
    void killAll()
    {
        for (auto& it : m_instances)
            it.kill();
        for (auto& it : m_instances)
            it.restart();
        for (auto& it : m_instances)
            REQUIRE(waitUntil(5s, [&] { return it.isReady(); }));
    }
    std::vector<std::string> fatalResponses()
    {
        std::lock_guard lock(m_mutex);
        return m_fatalResponses;
    }

private:
    std::string send(const EdgeInstance& instance, const std::string& id, const std::string& parts)
    {
        auto headers = absl::StrCat("X-Model-Name: *\r\nX-Token-Count: 900,50\r\nX-Prefix-Hash: ", parts, "\r\n");
        return sendAndRead(instance, requestBytes("POST", absl::StrCat("/draft/", id), id, headers, "prompt " + id));
    }

    void callSound(const EdgeInstance& instance, std::size_t caller, Clock::time_point end)
    {
        for (int n = 0; Clock::now() < end; ++n) {
            auto sentAt = Clock::now();
            auto response = send(instance, absl::StrCat("sound-", caller, "-", ++m_ids), absl::StrCat("f00d:300,5ab", n % 20, ":100,e", m_ids.load(), ":400"));
            std::lock_guard lock(m_mutex);
            m_soundRequests.emplace_back(sentAt, absl::EndsWith(response, "0\r\n\r\n"));
        }
    }

    void callFatal(Clock::time_point end)
    {
        std::vector<std::thread> requests;
        for (std::size_t n = 0; Clock::now() < end; ++n) {
            requests.emplace_back([this, n] {
                auto response = send(m_instances[n % m_instances.size()], absl::StrCat("fatal-", ++m_ids), absl::StrCat("f00d:300,", fatalPart, ":100,e", m_ids.load(), ":400"));
                std::lock_guard lock(m_mutex);
                m_fatalResponses.push_back(response);
            });
            std::this_thread::sleep_for(100ms);
        }
        for (auto& it : requests)
            it.join();
    }

    FleetStore m_store;
    std::deque<CrashingEngine> m_engines;
    std::deque<EdgeInstance> m_instances;
    std::atomic<int> m_ids = 0;
    std::mutex m_mutex;
    std::vector<std::pair<Clock::time_point, bool>> m_soundRequests;
    std::vector<std::string> m_fatalResponses;
};

}

// Guards against upstreams that crash on requests which they were sent before the part was quarantined.
TEST_CASE("requests that wait for an engine are withdrawn when a part of their prompts is quarantined")
{
    FleetStore store;
    store.put("op/config", sampleConfiguration(3));
    std::deque<CrashingEngine> engines;
    engines.emplace_back(store, "i-0", "assist", fatalPart, 3000ms);
    EdgeInstance instance("edge-1", store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto bytesOf = [](int n) {
        auto headers = absl::StrCat("X-Model-Name: *\r\nX-Token-Count: 900,50\r\nX-Prefix-Hash: sys", n, ":300,", fatalPart, ":100,e", n, ":400\r\n");
        return requestBytes("POST", absl::StrCat("/draft/", n), absl::StrCat("id-", n), headers, "prompt");
    };
    auto waiting = RawConnection::connect(instance.port());
    waiting->write(bytesOf(0));
    REQUIRE(waitUntil(2s, [&] { return engines[0].fatalRequests().size() == 1; }));
    engines[0].drain();

    // Two other engines crash, one after the other.
    for (int n = 1; n <= 2; ++n) {
        engines.emplace_back(store, absl::StrCat("i-", n), "assist", fatalPart, 50ms);
        REQUIRE(waitUntil(2s, [&] { return !instance.linesContaining(absl::StrCat("what=upstream upstream=i-", n)).empty(); }));
        REQUIRE(waitUntil(2s, [&] { return !instance.linesContaining("takes_work=no").empty(); }));
        std::this_thread::sleep_for(50ms);
        CHECK(statusOf(sendRequest(instance, bytesOf(n))) == 502);
        CHECK(engines.back().crashes().size() == 1);
        store.remove(absl::StrCat("servers/i-", n));
    }
    CHECK(statusOf(waiting->readResponse(1s)) == 502);
    std::this_thread::sleep_for(3s);
    CHECK(engines[0].crashes().empty());
    store.cutWatches();
}

// Guards against a request that runs twice, since it is withdrawn from a sound engine and then sent to another one.
TEST_CASE("a withdrawn request that may run once is not sent again")
{
    FleetStore store;
    auto configuration = nlohmann::json::parse(sampleConfiguration(3));
    for (auto& it : configuration["routes"])
        it["streamResume"] = false, it["timeoutMs"] = 20000;
    store.put("op/config", configuration.dump());
    std::atomic<int> crashedEngines = 0;
    auto slowScript = [](const RawRequest& request, RawConnection& connection) {
        return !connection.isClosedWithin(8s) && streamEvents(3, 10ms)(request, connection);
    };
    auto crashingScript = [&](int order) {
        return [&, order](const RawRequest&, RawConnection& connection) {
            while (crashedEngines < order && !connection.isClosedWithin(5ms)) { }
            connection.reset();
            return false;
        };
    };
    std::deque<ScriptedUpstream> engines;
    engines.emplace_back("i-0", slowScript);
    engines.emplace_back("i-1", crashingScript(1));
    engines.emplace_back("i-2", crashingScript(2));
    engines.emplace_back("i-3", crashingScript(3));
    engines.emplace_back("i-4", crashingScript(3));
    engines.emplace_back("i-5", slowScript);
    EdgeInstance instance("edge-1", store.address());
    auto setState = [&](const ScriptedUpstream& engine, const std::string& state, int born) {
        store.put("servers/" + engine.id(), engine.registration("assist", state, "v1", born));
        auto seen = absl::StrCat("what=upstream upstream=", engine.id());
        REQUIRE(waitUntil(5s, [&] {
            auto lines = instance.linesContaining(seen);
            return !lines.empty() && absl::StrContains(lines.back(), state == "ready" ? "takes_work=yes" : "takes_work=no");
        }));
        std::this_thread::sleep_for(50ms);
    };
    // The engine that is the only one to take work gets the request.
    auto sendTo = [&](ScriptedUpstream& engine, const std::string& id, const std::string& parts) {
        setState(engine, "ready", 1);
        auto connection = RawConnection::connect(instance.port());
        auto headers = absl::StrCat("X-Model-Name: *\r\nX-Token-Count: 900,50\r\nX-Prefix-Hash: ", parts, ",e", id, ":400\r\n");
        connection->write(requestBytes("POST", "/draft/" + id, id, headers, "prompt " + id, 20s));
        REQUIRE(waitUntil(2s, [&] { return engine.count() == 1; }));
        setState(engine, "draining", 1);
        return connection;
    };

    auto sound = sendTo(engines[0], "sound", "50a4d:100");
    for (int n = 1; n <= 2; ++n) {
        auto connection = sendTo(engines[n], absl::StrCat("both-", n), "50a4d:100,dead0:100");
        crashedEngines = n;
        CHECK(statusOf(connection->readResponse(1s)) == 502);
    }
    // Two engines crash together, of which one has a request without the sound part.
    auto both = sendTo(engines[3], "both-3", "50a4d:100,dead0:100");
    auto fatal = sendTo(engines[4], "fatal", "dead0:100");
    setState(engines[5], "ready", 1);
    REQUIRE(sound->isOpen());
    crashedEngines = 3;
    CHECK(statusOf(both->readResponse(1s)) == 502);
    CHECK(statusOf(fatal->readResponse(1s)) == 502);
    auto response = sound->readResponse(8s);
    CHECK(statusOf(response) == 200);
    CHECK(absl::EndsWith(response, "0\r\n\r\n"));
    CHECK(engines[0].count() + engines[5].count() == 1);
    store.cutWatches();
}

// Guards against requests that have nothing in common but a prompt part, and crash one engine after the other by way of all instances.
TEST_CASE("a prompt part that crashes engines is refused by all instances, and other requests are served")
{
    CrashingSite site;
    site.run(2s, false);
    auto fatalFrom = Clock::now();
    auto before = site.served(fatalFrom - 1500ms, fatalFrom);
    REQUIRE(before.sent >= 20);
    site.run(10s, true);

    auto crashes = site.collect(&CrashingEngine::crashes);
    REQUIRE(crashes.size() >= 2);
    auto countedFrom = (crashes.size() < crashesToCount ? crashes.back() : crashes[crashesToCount - 1]) + contactTime;
    auto requests = site.collect(&CrashingEngine::fatalRequests);
    auto late = std::count_if(requests.begin(), requests.end(), [&](auto it) { return it > countedFrom; });
    INFO(crashes.size() << " crashes, " << requests.size() << " fatal requests reached engines");
    CHECK(static_cast<std::size_t>(late) <= maxFatalRequests);

    auto after = site.served(countedFrom + contactTime, Clock::now());
    INFO("served " << before.served << " of " << before.sent << " before, " << after.served << " of " << after.sent << " after");
    CHECK(after.sent >= 20);
    CHECK(after.share() >= before.share() / 2);
}

// Guards against quarantines that only the memory of the instances holds: each kill of all of them costs engines again.
TEST_CASE("a prompt part is still refused after all instances were killed at once")
{
    CrashingSite site;
    site.run(5s, true);
    auto crashesBefore = site.collect(&CrashingEngine::crashes).size();
    REQUIRE(crashesBefore >= 2);
    CHECK(site.lines("what=quarantine_recorded name=parts/") == 1);
    for (int kill = 0; kill < 2; ++kill) {
        site.killAll();
        auto from = Clock::now();
        site.run(3s, true);
        auto requests = site.collect(&CrashingEngine::fatalRequests);
        CHECK(std::count_if(requests.begin(), requests.end(), [&](auto it) { return it >= from; }) == 0);
        auto served = site.served(from, Clock::now());
        INFO("served " << served.served << " of " << served.sent);
        CHECK(served.sent >= 20);
        CHECK(served.share() >= 0.5);
    }
    CHECK(site.collect(&CrashingEngine::crashes).size() == crashesBefore);
}

namespace {

// Two instances, and upstreams without models that reset connections when they get the fatal booking.
class CrashingBookings {
public:
    CrashingBookings()
    {
        m_site.setScripts([](const RawRequest& request, RawConnection& connection) {
            if (request.path() != "/booking/fatal")
                return respondWith("hello")(request, connection);
            connection.reset();
            return false;
        });
        m_instances.emplace_back("edge-1", m_site.store.address());
        m_instances.emplace_back("edge-2", m_site.store.address(), m_instances.front().peerAddress());
        awaitReady();
        std::this_thread::sleep_for(heartbeatTime);
    }

    int book(const std::string& name, std::size_t instance) { return statusOf(sendRequest(m_instances[instance], requestBytes("POST", "/booking/" + name, name, {}, "body"))); }
    // Sends the fatal booking to one instance until it is refused, by the other one, too.
    void crashUpstreams()
    {
        REQUIRE(waitUntil(3s, [&] { return book("fatal", 0) == 503; }));
        std::this_thread::sleep_for(heartbeatTime);
        REQUIRE(book("fatal", 1) == 503);
    }
    // Both upstreams are found running after all.
    void answerAgain()
    {
        m_site.setScripts(respondWith("hello"));
        REQUIRE(waitUntil(5s, [&] { return book("other", 0) == 200 && m_site.first.received().back().path() == "/booking/other" && m_site.second.received().back().path() == "/booking/other"; }));
    }
    // Both upstreams are other processes now, so nothing speaks against the crashes.
    void restartUpstreams()
    {
        for (auto* it : { &m_site.first, &m_site.second })
            m_site.store.put("servers/" + it->id(), it->registration("orders", "ready", "v1", 2));
    }
    // Kills all instances at once, and starts them again.
    void killAll()
    {
        for (auto& it : m_instances)
            it.kill();
        for (auto& it : m_instances)
            it.restart();
        awaitReady();
    }
    std::size_t fatalRequests() { return m_site.receivedWithId("fatal"); }
    // Number of lines of all instances that contain the text.
    std::size_t lines(const std::string& text) const { return m_instances[0].linesContaining(text).size() + m_instances[1].linesContaining(text).size(); }

private:
    void awaitReady()
    {
        for (auto& it : m_instances)
            REQUIRE(waitUntil(5s, [&] { return it.isReady(); }));
    }

    Site m_site;
    std::deque<EdgeInstance> m_instances;
};

}

// Guards against requests that one instance goes on to refuse for minutes, although the upstreams that were lost were found running.
TEST_CASE("a request whose upstreams did not crash after all is served by all instances again")
{
    CrashingBookings bookings;
    bookings.crashUpstreams();
    bookings.answerAgain();
    CHECK(waitUntil(3s, [&] { return bookings.book("fatal", 0) == 200 && bookings.book("fatal", 1) == 200; }));
}

// Guards against requests whose crashes only the memory of the instances holds: each kill of all of them costs upstreams again.
TEST_CASE("a request that crashes upstreams is still refused after all instances were killed at once")
{
    CrashingBookings bookings;
    bookings.crashUpstreams();
    auto requests = bookings.fatalRequests();
    CHECK(waitUntil(2s, [&] { return bookings.lines("what=quarantine_recorded name=request/") == 1; }));

    SECTION("as often as they are killed, while others are served")
    {
        bookings.restartUpstreams();
        for (int kill = 0; kill < 2; ++kill) {
            bookings.killAll();
            for (std::size_t n = 0; n < 8; ++n)
                CHECK(bookings.book("fatal", n % 2) == 503);
            CHECK(bookings.book("sound", 1) == 200);
        }
        CHECK(bookings.fatalRequests() == requests);
    }
    SECTION("until the upstreams that were lost are found running")
    {
        bookings.answerAgain();
        CHECK(waitUntil(2s, [&] { return bookings.lines("what=quarantine_record_removed name=request/") == 1; }));
        bookings.killAll();
        CHECK(bookings.book("fatal", 0) == 200);
    }
}
