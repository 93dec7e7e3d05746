// Tests that callers which send or hold without end, or come in crowds, neither end an entry instance nor take its memory and
// descriptors beyond the limits of its settings. A real instance on loopback.

#include "fakes/fleet_standin.h"
#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t mebibyte = std::int64_t { 1 } << 20;
// Limits in the settings of the instance; they are also the bounds that the tests check.
constexpr std::int64_t memoryLimitMb = 64;
constexpr std::int64_t descriptorLimit = 128;
// Limit in the configuration.
constexpr std::size_t maxBodyBytes = 2'000'000;
constexpr std::size_t floodCallers = 8;
constexpr std::size_t floodBytes = std::size_t { 16 } << 20;
constexpr std::size_t bodyCallers = 40;
constexpr std::size_t pipeliningCallers = 48;
constexpr std::size_t pipelinedBytes = std::size_t { 2 } << 20;
constexpr std::size_t slowReaders = 48;
constexpr std::size_t longAnswerBytes = std::size_t { 3 } << 20;
constexpr std::size_t shortAnswerBytes = 60'000;
constexpr std::size_t idleCallers = 200;
constexpr std::size_t halfSentBytes = 60'000;
constexpr auto step = 20ms;

std::string configuration()
{
    auto document = nlohmann::json::parse(sampleConfiguration(3, "key-1", { .header = 15s, .idle = 15s }));
    document["limits"]["maxBodyBytes"] = maxBodyBytes;
    for (auto& it : document["routes"])
        it["timeoutMs"] = 20000;
    return document.dump();
}

std::string headFor(const std::string& target, const std::string& id, const std::string& framing)
{
    return absl::StrCat("POST ", target, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", id, "\r\nX-Deadline-Ms: 20000\r\nApi-Key: key-1\r\n", framing, "\r\n");
}

std::string repeated(const std::string& text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes)
        result += text;
    return result;
}

// A site with an instance whose limits are low, and a thread that records the most descriptors that the instance has open.
class FloodedSite : public Site {
public:
    FloodedSite()
    {
        store.put("op/config", configuration());
        instance.addSetting(absl::StrCat("memory_limit_mb: ", memoryLimitMb));
        instance.addSetting(absl::StrCat("descriptor_limit: ", descriptorLimit));
        instance.restart();
        REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
        REQUIRE(isOrdinaryServed());
        m_watch = std::thread([this] {
            for (; !m_isStopping; std::this_thread::sleep_for(step))
                m_mostDescriptors = std::max(m_mostDescriptors.load(), openDescriptors());
        });
    }
    ~FloodedSite()
    {
        m_isStopping = true;
        m_watch.join();
    }

    bool isOrdinaryServed()
    {
        auto connection = RawConnection::connect(instance.port());
        if (!connection)
            return false;
        connection->write(requestBytes("GET", "/status/x", absl::StrCat("ordinary-", ++m_ordinary)));
        return statusOf(connection->readResponse()) == 200;
    }
    void checkIntact(const std::string& moment)
    {
        CHECK(instance.ownEnds() == 0);
        // Connections are accepted in their order, so all earlier ones are open by now.
        bool isServed = isOrdinaryServed();
        auto descriptors = std::max(m_mostDescriptors.load(), openDescriptors());
        INFO(moment << ": peak memory " << peakMemory() / mebibyte << " MB, descriptors " << descriptors);
        CHECK(isServed);
        CHECK(peakMemory() < memoryLimitMb * mebibyte);
        CHECK(descriptors < descriptorLimit);
    }

    EdgeInstance instance { "edge-1", store.address() };

private:
    std::int64_t peakMemory()
    {
        std::ifstream in(absl::StrCat("/proc/", instance.process().pid(), "/status"));
        for (std::string line; std::getline(in, line);) {
            if (absl::StartsWith(line, "VmHWM:"))
                return std::atoll(line.c_str() + 6) * 1024;
        }
        return memoryLimitMb * mebibyte;
    }
    std::int64_t openDescriptors()
    {
        std::error_code ec;
        std::int64_t n = 0;
        for (std::filesystem::directory_iterator it(absl::StrCat("/proc/", instance.process().pid(), "/fd"), ec), end; !ec && it != end; it.increment(ec))
            ++n;
        return n;
    }

    int m_ordinary = 0;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::int64_t> m_mostDescriptors = 0;
    std::thread m_watch;
};

// Connections of callers that stay open until the object is destroyed.
class Crowd {
public:
    Crowd(const EdgeInstance& instance, std::size_t callers, int receiveBytes = 0)
    {
        for (std::size_t n = 0; n < callers; ++n)
            m_connections.push_back(RawConnection::connect(instance.port(), receiveBytes));
    }
    // Calls the function for all callers at the same time, with their numbers.
    void each(const std::function<void(RawConnection&, std::size_t)>& send)
    {
        std::vector<std::thread> threads;
        for (std::size_t n = 0; n < m_connections.size(); ++n) {
            if (m_connections[n])
                threads.emplace_back([&, n] { send(*m_connections[n], n); });
        }
        for (auto& it : threads)
            it.join();
    }

private:
    std::vector<std::unique_ptr<RawConnection>> m_connections;
};

// Callers send the head and the block again and again, until the instance closes the connection or each has sent its bytes.
void checkFlood(const std::string& start, const std::string& block)
{
    FloodedSite site;
    auto bytes = repeated(block, 64 * 1024);
    std::atomic<std::size_t> closed = 0;
    {
        Crowd crowd(site.instance, floodCallers);
        crowd.each([&](RawConnection& connection, std::size_t n) {
            connection.write(headFor("/booking/x", absl::StrCat("flood-", n), "Transfer-Encoding: chunked\r\n") + start);
            std::size_t sent = 0;
            while (sent < floodBytes && connection.write(bytes))
                sent += bytes.size();
            closed += sent < floodBytes ? 1 : 0;
        });
        site.checkIntact("beside the flood");
    }
    CHECK(closed == floodCallers);
    site.checkIntact("after the flood");
    CHECK(site.receivedWithId("flood-0") == 0);
}

// Callers send bodies of the longest size but for the end, so that all of them are there at the same time.
void checkBodies(const std::string& framing, const std::string& start, const std::string& end)
{
    FloodedSite site;
    std::atomic<std::size_t> served = 0, refused = 0;
    {
        Crowd crowd(site.instance, bodyCallers);
        auto body = std::string(maxBodyBytes - 1, 'x');
        crowd.each([&](RawConnection& connection, std::size_t n) {
            connection.write(headFor("/booking/x", absl::StrCat("body-", n), framing) + start);
            connection.write(body);
        });
        site.checkIntact("beside the bodies");
        crowd.each([&](RawConnection& connection, std::size_t) {
            connection.write("x" + end);
            auto response = connection.readResponse();
            served += statusOf(response) == 200 ? 1 : 0;
            refused += statusOf(response) == 503 && absl::StrContains(response, "Retry-After: ") ? 1 : 0;
        });
    }
    CHECK(served > 0);
    CHECK(served + refused == bodyCallers);
    std::size_t ran = 0;
    for (std::size_t n = 0; n < bodyCallers; ++n)
        ran += site.receivedWithId(absl::StrCat("body-", n));
    CHECK(ran == served);
    site.checkIntact("after the bodies");
    // A single request inside the limits is served.
    CHECK(statusOf(sendRequest(site.instance, headFor("/booking/x", "single", framing) + start + std::string(maxBodyBytes, 'x') + end)) == 200);
    site.checkIntact("after a single body");
}

}

// Guards against trailers that are buffered as long as they last.
TEST_CASE("trailer lines without end from callers cost neither the process nor its memory")
{
    checkFlood("0\r\n", absl::StrCat("X-Filler: ", std::string(52, 'x'), "\r\n"));
}

TEST_CASE("one trailer line without end from callers costs neither the process nor its memory")
{
    checkFlood("0\r\nX-Filler: ", "x");
}

TEST_CASE("a chunk extension without end from callers costs neither the process nor its memory")
{
    checkFlood("1;name=", "x");
}

// Guards against bodies that are each allowed and together exceed the machine.
TEST_CASE("a crowd with bodies of a stated length at the limit costs neither the process nor its memory")
{
    checkBodies(absl::StrCat("Content-Length: ", maxBodyBytes, "\r\n"), "", "");
}

TEST_CASE("a crowd with chunked bodies at the limit costs neither the process nor its memory")
{
    checkBodies("Transfer-Encoding: chunked\r\n", absl::StrCat(absl::Hex(maxBodyBytes), "\r\n"), "\r\n0\r\n\r\n");
}

// Guards against requests that are buffered while the one before them is served.
TEST_CASE("pipelined bytes of a crowd cost neither the process nor its memory")
{
    std::atomic<bool> mayAnswer = false;
    FloodedSite site;
    site.setScripts([&](const RawRequest& request, RawConnection& connection) {
        if (request.target == "/status/held")
            waitUntil(10s, [&] { return mayAnswer.load(); });
        return respondWith("hello")(request, connection);
    });
    {
        Crowd crowd(site.instance, pipeliningCallers);
        std::vector<std::thread> writers;
        std::atomic<std::size_t> begun = 0;
        crowd.each([&](RawConnection& connection, std::size_t n) {
            connection.write(requestBytes("GET", "/status/held", absl::StrCat("held-", n), {}, {}, 20s));
            ++begun;
            auto block = repeated(requestBytes("GET", "/status/x", "pipelined"), 64 * 1024);
            std::thread writer([&] {
                for (std::size_t sent = 0; sent < pipelinedBytes && connection.write(block);)
                    sent += block.size();
            });
            std::this_thread::sleep_for(2s);
            connection.shutdown();
            writer.join();
        });
        CHECK(begun == pipeliningCallers);
        site.checkIntact("beside the pipelined bytes");
    }
    mayAnswer = true;
    site.checkIntact("after the pipelined bytes");
}

// Guards against answers that are held for callers which do not read them.
TEST_CASE("a crowd that does not read its answers costs neither the process nor its memory")
{
    auto bodyBytes = GENERATE(longAnswerBytes, shortAnswerBytes);
    auto body = std::string(bodyBytes, 'x');
    FloodedSite site;
    site.setScripts([&](const RawRequest& request, RawConnection& connection) {
        return respondWith(request.target == "/status/long" ? body : "hello")(request, connection);
    });
    {
        constexpr int receiveBytes = 16 * 1024;
        Crowd crowd(site.instance, slowReaders, receiveBytes);
        crowd.each([&](RawConnection& connection, std::size_t n) { connection.write(requestBytes("GET", "/status/long", absl::StrCat("slow-", n), {}, {}, 20s)); });
        std::this_thread::sleep_for(1s);
        site.checkIntact("beside the callers that do not read");
    }
    site.checkIntact("after the callers that do not read");
}

// Guards against connections that take all descriptors, so that nobody else is accepted and no upstream is reached.
TEST_CASE("connections beyond the descriptor limit cost neither the process nor other callers")
{
    FloodedSite site;
    SECTION("that send nothing")
    {
        {
            Crowd crowd(site.instance, idleCallers);
            site.checkIntact("beside the idle connections");
        }
        site.checkIntact("after the idle connections");
    }
    SECTION("that send a part of a head")
    {
        {
            Crowd crowd(site.instance, idleCallers);
            crowd.each([](RawConnection& connection, std::size_t) { connection.write("POST /booking/x HTTP/1.1\r\nHost: a.ex"); });
            site.checkIntact("beside the partial heads");
        }
        site.checkIntact("after the partial heads");
    }
    SECTION("that send a part of a body")
    {
        {
            Crowd crowd(site.instance, idleCallers);
            crowd.each([](RawConnection& connection, std::size_t n) { connection.write(headFor("/booking/x", absl::StrCat("half-", n), "Content-Length: 64000\r\n") + std::string(halfSentBytes, 'x')); });
            site.checkIntact("beside the partial bodies");
        }
        site.checkIntact("after the partial bodies");
    }
}
