// Tests that bytes without end from an upstream, the store or a peer cost an entry instance neither its memory nor its other
// callers. Real instances on loopback.

#include "core/membership/fleet_heartbeat.h"
#include "core/requests/event_stream_parser.h"
#include "fakes/fleet_standin.h"
#include "processes/edge_site.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <future>
#include <sys/socket.h>
#include <unistd.h>

using namespace skylarkhitch;
using namespace skylarkhitch::standin;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::int64_t kibibyte = 1024;
// An instance has as little as 88 MB of memory.
constexpr std::int64_t smallestMachine = 88 * 1024 * kibibyte;
constexpr std::int64_t maxMemoryGrowth = 16 * 1024 * kibibyte;
// How long a caller waits for its answer.
constexpr auto callerTimeout = 2500ms;
// The instance waits for a call that may run once for as long as its caller does, and then answers within this time.
constexpr auto answerMargin = 100ms;
// An answer that exceeds a limit at once is given up within this time on a busy machine.
constexpr auto fastDecision = 1000ms;
constexpr auto slowestOtherRequest = 1000ms;
// So that an instance without limits does not take the whole memory of the machine.
constexpr std::int64_t maxBytesSent = 128 * 1024 * kibibyte;
constexpr auto slowInterval = 50ms;

enum class Pace { Fast,
    Slow };

std::string repeated(const std::string& text, std::size_t times)
{
    std::string result;
    for (std::size_t n = 0; n < times; ++n)
        result += text;
    return result;
}

std::string headerLine() { return absl::StrCat("X-Filler: ", std::string(52, 'x'), "\r\n"); }

std::string headFor(const RawRequest& request, const std::string& fields, const std::string& status = "200 OK")
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\nX-Attempt-Id: ", request.field("X-Attempt-Id"), "\r\nX-Server-Seal: seal\r\nX-Confidence: 100\r\n", fields, "\r\n");
}

// Writes bytes without end and records when the receiver closed the connection.
class EndlessWriter {
public:
    explicit EndlessWriter(Pace pace)
        : m_pace(pace)
    {
    }

    // Returns when the connection is closed. Nothing follows the start if the block is empty.
    void write(RawConnection& connection, const std::string& start, const std::string& block)
    {
        ++m_begun;
        connection.write(start);
        if (block.empty())
            connection.isClosedWithin(20s);
        else if (m_pace == Pace::Fast)
            writeFast(connection, block);
        else
            writeSlowly(connection, block);
        ++m_ended;
    }

    int begun() const { return m_begun; }
    bool hasEndedAll() const { return m_ended == m_begun; }

private:
    static void writeFast(RawConnection& connection, const std::string& block)
    {
        // A multiple of the block, so that reads often end where a block does.
        auto bytes = repeated(block, std::max<std::size_t>(1, 64 * kibibyte / block.size()));
        std::int64_t sent = 0;
        while (sent < maxBytesSent && connection.write(bytes))
            sent += static_cast<std::int64_t>(bytes.size());
        connection.isClosedWithin(20s);
    }
    static void writeSlowly(RawConnection& connection, const std::string& block)
    {
        for (std::size_t n = 0; connection.write(block.substr(n % block.size(), 1)); ++n)
            std::this_thread::sleep_for(slowInterval);
    }

    Pace m_pace;
    std::atomic<int> m_begun = 0;
    std::atomic<int> m_ended = 0;
};

// An answer without end: a start, and a block that is repeated until the receiver closes the connection.
struct EndlessAnswer {
    std::string name;
    std::function<std::string(const RawRequest&)> start;
    std::string block;
};

std::vector<EndlessAnswer> endlessHeads()
{
    auto text = [](const std::string& bytes) { return [bytes](const RawRequest&) { return bytes; }; };
    return {
        { "status line", text("HTTP/1.1 200 "), "x" },
        { "header line", text("HTTP/1.1 200 OK\r\nX-Filler: "), "x" },
        { "header lines", text("HTTP/1.1 200 OK\r\n"), headerLine() },
        { "informational responses", text(""), "HTTP/1.1 100 Continue\r\n\r\n" },
        { "bytes that are no HTTP", text(""), "noise" },
    };
}

std::vector<EndlessAnswer> endlessBodies()
{
    auto head = [](const std::string& fields, const std::string& bodyStart = {}) {
        return [=](const RawRequest& request) { return headFor(request, fields) + bodyStart; };
    };
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    return {
        { "chunks", head(chunked), chunk(std::string(kibibyte, 'x')) },
        { "chunk size line", head(chunked), "0" },
        { "chunk extension", head(chunked, "1;name="), "x" },
        { "trailers", head(chunked, "0\r\n"), headerLine() },
        { "no stated length", head(""), "x" },
        { "stated length of 10^11", head("Content-Length: 100000000000\r\n"), "x" },
        { "stated length of 10^11 without a body", head("Content-Length: 100000000000\r\n"), "" },
        { "stated length of 2^63", head("Content-Length: 9223372036854775808\r\n"), "x" },
        { "stated length of 2^63 without a body", head("Content-Length: 9223372036854775808\r\n"), "" },
    };
}

std::vector<EndlessAnswer> endlessRefusals()
{
    const std::string block = chunk(std::string(kibibyte, 'x'));
    return {
        { "not executed", [](const RawRequest& request) { return headFor(request, "X-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n", "503 Busy"); }, block },
        { "another instance", [](const RawRequest& request) { return headFor(request, "Transfer-Encoding: chunked\r\n", "421 Misdirected"); }, block },
        { "not executed, without a stated length", [](const RawRequest& request) { return headFor(request, "X-Not-Executed: 1\r\n", "503 Busy"); }, "x" },
    };
}

// Streams whose bytes do not contain a complete event.
std::vector<EndlessAnswer> endlessStreams()
{
    auto start = [](const std::string& bytes) {
        return [=](const RawRequest& request) { return headFor(request, "Content-Type: text/event-stream\r\n") + bytes; };
    };
    return {
        { "event", start("id: 1\ndata: "), "x" },
        { "event of many lines", start("id: 1\n"), "data: x\n" },
        { "comment lines", start(""), ": comment\n" },
        { "comments", start(""), ": comment\n\n" },
        { "blank lines", start(""), "\n" },
    };
}

// Returns an empty response if the instance closes the connection without one. May be called on any thread.
std::string responseTo(const EdgeInstance& instance, const std::string& bytes)
{
    auto connection = RawConnection::connect(instance.port());
    if (!connection)
        return {};
    connection->write(bytes);
    return connection->readResponse();
}

std::string draftBytes(const std::string& target, const std::string& id) { return requestBytes("POST", target, id, "X-Model-Name: *\r\nX-Token-Count: 10,5\r\n", "prompt"); }

// A value in bytes from the process status, for example VmHWM, the largest resident memory so far.
std::int64_t memoryOf(pid_t pid, const std::string& name)
{
    std::ifstream in(absl::StrCat("/proc/", pid, "/status"));
    for (std::string line; std::getline(in, line);) {
        if (absl::StartsWith(line, name + ":"))
            return std::atoll(line.c_str() + name.size() + 1) * kibibyte;
    }
    return 0;
}

// Sends requests for other targets one after the other until it is stopped.
class OtherCaller {
public:
    explicit OtherCaller(const EdgeInstance& instance)
        : m_result(std::async(std::launch::async, [&] { return run(instance); }))
    {
    }
    struct Result {
        int served = 0;
        int failed = 0;
        std::chrono::milliseconds slowest { 0 };
    };
    Result stop()
    {
        m_stopping = true;
        return m_result.get();
    }

private:
    Result run(const EdgeInstance& instance)
    {
        Result result;
        for (int n = 0; !m_stopping || result.served + result.failed < 3; ++n) {
            auto start = Clock::now();
            bool isServed = statusOf(responseTo(instance, requestBytes("GET", "/status/other", absl::StrCat("other-", n)))) == 200;
            ++(isServed ? result.served : result.failed);
            result.slowest = std::max(result.slowest, std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start));
            std::this_thread::sleep_for(5ms);
        }
        return result;
    }

    std::atomic<bool> m_stopping = false;
    std::future<Result> m_result;
};

// A site whose first upstream to get a request for the target answers without end. Other requests, and further ones for the
// target, are served.
class EndlessSite : public Site {
public:
    EndlessSite(const EndlessAnswer& answer, Pace pace, const std::string& target, int endlessAnswers = 1)
        : writer(std::make_shared<EndlessWriter>(pace))
        , m_target(target)
    {
        // Owns what it uses, since it may still run when this object is destroyed.
        auto answers = std::make_shared<std::atomic<int>>(0);
        auto script = [=, writer = writer](const RawRequest& request, RawConnection& connection) {
            if (request.target == target && (*answers)++ < endlessAnswers) {
                writer->write(connection, answer.start(request), answer.block);
                return false;
            }
            if (absl::StartsWith(request.target, "/draft/"))
                return streamEvents(3, 5ms)(request, connection);
            return respondWith("hello")(request, connection);
        };
        setScripts(script);
        setEngineScripts(script);
    }

    // Number of times that upstreams received requests for the target.
    int received()
    {
        int n = 0;
        for (auto* upstream : { &first, &second, &engine, &otherEngine }) {
            for (const auto& it : upstream->received())
                n += it.target == m_target ? 1 : 0;
        }
        return n;
    }

    std::shared_ptr<EndlessWriter> writer;
    EdgeInstance instance { "edge-1", store.address() };

private:
    std::string m_target;
};

struct Observation {
    std::string response;
    std::chrono::milliseconds time { 0 };
    OtherCaller::Result others;
    std::int64_t memoryGrowth = 0;
};

Observation observe(EndlessSite& site, const std::string& bytes)
{
    REQUIRE(waitUntil(5s, [&] { return site.instance.isReady() && statusOf(responseTo(site.instance, requestBytes("GET", "/status/other", "warm-up"))) == 200; }));
    auto pid = site.instance.process().pid();
    auto memoryBefore = memoryOf(pid, "VmRSS");
    OtherCaller others(site.instance);
    auto start = Clock::now();
    Observation result;
    result.response = responseTo(site.instance, bytes);
    result.time = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start);
    result.others = others.stop();
    result.memoryGrowth = memoryOf(pid, "VmHWM") - memoryBefore;
    return result;
}

void checkContained(EndlessSite& site, const Observation& seen, const std::string& id)
{
    CHECK(waitUntil(1s, [&] { return site.writer->hasEndedAll(); }));
    CHECK(seen.memoryGrowth < maxMemoryGrowth);
    CHECK(seen.others.failed == 0);
    CHECK(seen.others.slowest < slowestOtherRequest);
    CHECK(site.instance.linesContaining("what=task_failed").empty());
    CHECK(waitUntil(1s, [&] { return site.instance.linesContaining(absl::StrCat("what=request id=", id, " ")).size() == 1; }));
}

bool isWholeStream(const std::string& response)
{
    return statusOf(response) == 200 && absl::StrContains(response, "id: 1\n") && absl::StrContains(response, "id: 3\n") && absl::EndsWith(response, "0\r\n\r\n");
}

void checkUnknownOutcome(const std::string& response) { CHECK((statusOf(response) == 502 || statusOf(response) == 504)); }

std::vector<EndlessAnswer> joined(std::vector<EndlessAnswer> answers, const std::vector<EndlessAnswer>& more)
{
    answers.insert(answers.end(), more.begin(), more.end());
    return answers;
}

// For a fast answer, the log line of the attempt names bytes that are no answer; a slow one may end by a timeout.
void checkCause(EndlessSite& site, const std::string& id, Pace pace)
{
    auto lines = site.instance.linesContaining(absl::StrCat("what=attempt_failed id=", id, " "));
    REQUIRE(lines.size() == 1);
    INFO(lines[0]);
    bool isMalformed = absl::StrContains(lines[0], "end=malformed");
    auto causes = site.instance.linesContaining(absl::StrCat("what=upstream_answer_malformed id=", id, " "));
    INFO((causes.empty() ? "" : causes[0]));
    CHECK(causes.size() == (isMalformed ? 1 : 0));
    CHECK((isMalformed || (pace == Pace::Slow && absl::StrContains(lines[0], "end=timed_out"))));
}

void checkIdempotent(const EndlessAnswer& answer, Pace pace)
{
    EndlessSite site(answer, pace, "/status/endless");
    auto seen = observe(site, requestBytes("GET", "/status/endless", "id-1"));
    CHECK(statusOf(seen.response) == 200);
    CHECK(absl::EndsWith(seen.response, "hello"));
    CHECK(site.received() == 2);
    CHECK(seen.time < (pace == Pace::Slow ? callerTimeout : fastDecision));
    checkContained(site, seen, "id-1");
    checkCause(site, "id-1", pace);
}

void checkNonIdempotent(const EndlessAnswer& answer, Pace pace)
{
    EndlessSite site(answer, pace, "/booking/endless");
    auto seen = observe(site, requestBytes("POST", "/booking/endless", "id-1", "", "slot 7"));
    checkUnknownOutcome(seen.response);
    CHECK(site.received() == 1);
    CHECK(seen.time < (pace == Pace::Slow ? callerTimeout + answerMargin : fastDecision));
    checkContained(site, seen, "id-1");
    checkCause(site, "id-1", pace);
}

void checkStream(const EndlessAnswer& answer, Pace pace)
{
    EndlessSite site(answer, pace, "/draft/endless");
    auto seen = observe(site, draftBytes("/draft/endless", "id-1"));
    CHECK(isWholeStream(seen.response));
    CHECK(site.received() == 2);
    CHECK(seen.time < (pace == Pace::Slow ? callerTimeout : fastDecision));
    checkContained(site, seen, "id-1");
    checkCause(site, "id-1", pace);
}

void checkRefused(const EndlessAnswer& answer, Pace pace)
{
    EndlessSite site(answer, pace, "/booking/endless");
    auto seen = observe(site, requestBytes("POST", "/booking/endless", "id-1", "", "slot 7"));
    CHECK(statusOf(seen.response) == 200);
    CHECK(site.received() == 2);
    CHECK(seen.time < fastDecision);
    checkContained(site, seen, "id-1");
}

}

// Guards against a head without end that holds a repeatable call, or that takes the instance's memory.
TEST_CASE("a fast endless head is given up and the call is repeated")
{
    for (const auto& it : endlessHeads()) {
        DYNAMIC_SECTION(it.name) { checkIdempotent(it, Pace::Fast); }
    }
}

// Guards against a second run, or a wrong status, of a call that may run once.
TEST_CASE("a fast endless head ends a call that may run once with an unknown outcome")
{
    for (const auto& it : endlessHeads()) {
        DYNAMIC_SECTION(it.name) { checkNonIdempotent(it, Pace::Fast); }
    }
}

// Guards against bodies without end that are buffered, or whose stated length alone ends the coroutine of the caller.
TEST_CASE("a fast endless body is given up and the call is repeated")
{
    for (const auto& it : endlessBodies()) {
        DYNAMIC_SECTION(it.name) { checkIdempotent(it, Pace::Fast); }
    }
}

// Guards against a connection that is closed without an answer, and a second run.
TEST_CASE("a fast endless body ends a call that may run once with an unknown outcome")
{
    for (const auto& it : endlessBodies()) {
        DYNAMIC_SECTION(it.name) { checkNonIdempotent(it, Pace::Fast); }
    }
}

// Guards against a trickle of bytes that moves the time limit of a call.
TEST_CASE("a slow endless answer is given up in time and the call is repeated")
{
    for (const auto& it : joined(endlessHeads(), endlessBodies())) {
        DYNAMIC_SECTION(it.name) { checkIdempotent(it, Pace::Slow); }
    }
}

// Guards against a trickle of bytes that holds a call until its caller has left.
TEST_CASE("a slow endless answer ends a call that may run once within its time limit")
{
    for (const auto& it : joined(endlessHeads(), endlessBodies())) {
        DYNAMIC_SECTION(it.name) { checkNonIdempotent(it, Pace::Slow); }
    }
}

// Guards against reading the body of a refusal to its end before another upstream is asked.
TEST_CASE("a refusal whose body never ends is a refusal at once")
{
    auto pace = GENERATE(Pace::Fast, Pace::Slow);
    for (const auto& it : endlessRefusals()) {
        DYNAMIC_SECTION(it.name << (pace == Pace::Fast ? ", fast" : ", slow")) { checkRefused(it, pace); }
    }
}

// Guards against event streams without a complete event that are buffered, or whose bytes move the time limit.
TEST_CASE("an event stream without a complete event is given up and resumed elsewhere")
{
    auto pace = GENERATE(Pace::Fast, Pace::Slow);
    for (const auto& it : joined(endlessStreams(), endlessHeads())) {
        DYNAMIC_SECTION(it.name << (pace == Pace::Fast ? ", fast" : ", slow")) { checkStream(it, pace); }
    }
}

// Guards against a limit on events that a stream of many ordinary events would reach.
TEST_CASE("a long event stream of complete events is relayed")
{
    auto event = [](int n) { return absl::StrCat("id: ", n, "\ndata: ", std::string(4000, 'x'), "\n\n"); };
    constexpr int events = 2000;
    Site site;
    site.setEngineScripts([&](const RawRequest& request, RawConnection& connection) {
        bool isOpen = connection.write(headFor(request, "Content-Type: text/event-stream\r\n"));
        for (int n = 1; isOpen && n <= events; ++n)
            isOpen = connection.write(n % 100 == 0 ? absl::StrCat(": comment\n\n", event(n)) : event(n));
        return false;
    });
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto connection = RawConnection::connect(instance.port());
    REQUIRE(connection);
    connection->write(draftBytes("/draft/long", "id-1"));
    std::size_t size = 0;
    CHECK(connection->readUntil([&](const std::string& in) {
        size = in.size();
        return absl::EndsWith(in, "\r\n0\r\n\r\n");
    }));
    CHECK(size > static_cast<std::size_t>(events) * event(1).size());
}

// Guards against events that follow the end of a stream and reach its caller, or the next one on the connection.
TEST_CASE("bytes after the end of a response are not relayed, and their connection is closed")
{
    EndlessWriter writer(Pace::Fast);
    Site site;
    SECTION("events after the end of a stream")
    {
        site.setEngineScripts([&](const RawRequest& request, RawConnection& connection) {
            writer.write(connection, headFor(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + chunk("id: 1\ndata: piece 1\n\n") + "0\r\n\r\n", chunk("id: 2\ndata: piece 2\n\n"));
            return false;
        });
        EdgeInstance instance("edge-1", site.store.address());
        REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
        auto response = responseTo(instance, draftBytes("/draft/x", "id-1"));
        CHECK(absl::EndsWith(response, "0\r\n\r\n"));
        CHECK(absl::StrContains(response, "piece 1"));
        CHECK_FALSE(absl::StrContains(response, "piece 2"));
        CHECK(waitUntil(1s, [&] { return writer.hasEndedAll(); }));
    }
    SECTION("bytes after a response, on a connection that the upstream keeps for long")
    {
        site.setScripts([&](const RawRequest& request, RawConnection& connection) {
            if (writer.begun() > 0)
                return respondWith("hello")(request, connection);
            connection.write(responseBytes(200, "hello", { { "X-Attempt-Id", request.field("X-Attempt-Id") }, { "X-Server-Seal", "s" }, { "Keep-Alive", "timeout=60" } }));
            std::this_thread::sleep_for(200ms);
            writer.write(connection, "", "noise");
            return false;
        });
        EdgeInstance instance("edge-1", site.store.address());
        REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
        CHECK(absl::EndsWith(responseTo(instance, requestBytes("GET", "/status/x", "id-1")), "hello"));
        REQUIRE(waitUntil(1s, [&] { return writer.begun() == 1; }));
        CHECK(waitUntil(1s, [&] { return writer.hasEndedAll(); }));
        CHECK(absl::EndsWith(responseTo(instance, requestBytes("GET", "/status/x", "id-2")), "hello"));
    }
}

// Guards against a request that is refused everywhere because upstreams that are alive sent wrong bytes for it.
TEST_CASE("answers without end do not count as crashes of upstreams")
{
    auto answer = GENERATE(from_range(joined(endlessHeads(), endlessBodies())));
    INFO(answer.name);
    EndlessSite site(answer, Pace::Fast, "/status/endless", 2);
    auto seen = observe(site, requestBytes("GET", "/status/endless", "id-1"));
    CHECK(statusOf(seen.response) == 502);
    CHECK(site.received() == 2);
    CHECK(site.instance.linesContaining("what=upstream_connection_lost").empty());
    CHECK(statusOf(responseTo(site.instance, requestBytes("GET", "/status/endless", "id-2"))) == 200);
}

// Guards against limits that hold for one response but not for all that are read at the same time.
TEST_CASE("many endless bodies at the same time keep memory within its limit")
{
    constexpr int requests = 30;
    auto answer = endlessBodies()[0];
    EndlessWriter writer(Pace::Fast);
    Site site;
    site.setScripts([&](const RawRequest& request, RawConnection& connection) {
        if (!absl::StartsWith(request.target, "/booking/"))
            return respondWith("hello")(request, connection);
        writer.write(connection, answer.start(request), answer.block);
        return false;
    });
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto pid = instance.process().pid();
    auto memoryBefore = memoryOf(pid, "VmRSS");
    OtherCaller others(instance);
    std::vector<std::future<std::string>> responses;
    for (int n = 0; n < requests; ++n)
        responses.push_back(std::async(std::launch::async, [&, n] { return responseTo(instance, requestBytes("POST", absl::StrCat("/booking/", n), absl::StrCat("id-", n), "", "slot")); }));
    for (auto& it : responses)
        checkUnknownOutcome(it.get());
    auto seen = others.stop();
    CHECK(seen.failed == 0);
    CHECK(seen.slowest < slowestOtherRequest);
    CHECK(waitUntil(1s, [&] { return writer.hasEndedAll(); }));
    // Each connection also has buffers of its own.
    CHECK(memoryOf(pid, "VmHWM") - memoryBefore < 2 * maxMemoryGrowth);
}

// Guards against limits on one answer that many answers at the same time exceed together, so that the platform ends the process.
TEST_CASE("many answers that stay within their own limits keep memory within that of a small machine")
{
    constexpr int requests = 300;
    struct Kind {
        std::string name;
        // As much as the instance keeps of one answer.
        std::function<std::string(const RawRequest&)> bytes;
        bool isStream = false;
    };
    const std::vector<Kind> kinds {
        { "heads", [](const RawRequest&) { return absl::StrCat("HTTP/1.1 200 OK\r\n", repeated(headerLine(), 60 * kibibyte / headerLine().size())); } },
        { "events", [](const RawRequest& request) { return absl::StrCat(headFor(request, "Content-Type: text/event-stream\r\n"), "id: 1\ndata: ", std::string(250 * kibibyte, 'x')); }, true },
        { "comments", [](const RawRequest& request) { return absl::StrCat(headFor(request, "Content-Type: text/event-stream\r\n"), repeated(": comment\n\n", 250 * kibibyte / 11)); }, true },
        { "bodies of refusals", [](const RawRequest& request) { return headFor(request, "X-Not-Executed: 1\r\n", "503 Busy") + std::string(60 * kibibyte, 'x'); } },
        { "bodies", [](const RawRequest& request) { return headFor(request, "") + std::string(60 * kibibyte, 'x'); } },
    };
    auto kind = GENERATE_COPY(from_range(kinds));
    CAPTURE(kind.name);
    EndlessWriter writer(Pace::Fast);
    Site site;
    auto script = [&](const RawRequest& request, RawConnection& connection) {
        if (absl::StrContains(request.target, "/other"))
            return respondWith("hello")(request, connection);
        writer.write(connection, kind.bytes(request), "");
        return false;
    };
    site.setScripts(script);
    site.setEngineScripts(script);
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    OtherCaller others(instance);
    std::vector<std::future<std::string>> responses;
    for (int n = 0; n < requests; ++n)
        responses.push_back(std::async(std::launch::async, [&, n] {
            auto id = absl::StrCat("id-", n);
            return responseTo(instance, kind.isStream ? draftBytes(absl::StrCat("/draft/", n), id) : requestBytes("POST", absl::StrCat("/booking/", n), id, "", "slot"));
        }));
    for (auto& it : responses)
        CHECK(statusOf(it.get()) != 200);
    auto seen = others.stop();
    CHECK(seen.failed == 0);
    CHECK(waitUntil(2s, [&] { return writer.hasEndedAll(); }));
    CHECK(memoryOf(instance.process().pid(), "VmHWM") < smallestMachine);
    CHECK(instance.ownEnds() == 0);
}

// Guards against an event without end that is kept, and against counting comments as events.
TEST_CASE("the parser of event streams limits an event and counts no comments")
{
    EventStreamParser parser;
    SECTION("an event within the limit")
    {
        auto event = absl::StrCat("id: 1\ndata: ", std::string(EventStreamParser::maxEventBytes / 2, 'x'), "\n\n");
        for (char it : event.substr(0, event.size() - 1))
            CHECK_FALSE(parser.feed(std::string(1, it)).isTooLong);
        auto chunk = parser.feed("\n");
        CHECK(chunk.events == 1);
        CHECK(chunk.bytes == event);
    }
    SECTION("an event over the limit")
    {
        parser.feed("data: ");
        CHECK(parser.feed(std::string(EventStreamParser::maxEventBytes, 'x')).isTooLong);
    }
    SECTION("comments go with the event that follows them")
    {
        auto comments = parser.feed(": one\n\n: two\n\n");
        CHECK(comments.events == 0);
        CHECK(comments.bytes.empty());
        CHECK_FALSE(parser.hasPartialEvent());
        auto chunk = parser.feed("id: 1\ndata: x\n\n");
        CHECK(chunk.events == 1);
        CHECK(chunk.bytes == ": one\n\n: two\n\nid: 1\ndata: x\n\n");
    }
    SECTION("comments at the end of a stream")
    {
        CHECK(parser.feed("id: 1\ndata: x\n\n: end\n\n").bytes == "id: 1\ndata: x\n\n");
        CHECK(parser.takeComments() == ": end\n\n");
        CHECK(parser.takeComments().empty());
    }
    SECTION("comments without end")
    {
        bool isTooLong = false;
        for (std::size_t n = 0; n < EventStreamParser::maxEventBytes && !isTooLong; n += 10)
            isTooLong = parser.feed(": comment\n\n").isTooLong;
        CHECK(isTooLong);
    }
}

// Guards against answers of the store that take the instance's memory, or occupy its connection for ever.
TEST_CASE("answers of the store without end are given up")
{
    auto pace = GENERATE(Pace::Fast, Pace::Slow);
    CAPTURE(static_cast<int>(pace));
    Site site;
    EndlessWriter writer(pace);
    std::atomic<bool> isEndless = false;
    LoopbackServer relay([&](const RawRequest& request, RawConnection& connection) {
        if (!isEndless) {
            auto store = RawConnection::connect(std::atoi(site.store.address().substr(site.store.address().rfind(':') + 1).c_str()));
            auto head = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
            for (const auto& it : request.fields)
                absl::StrAppend(&head, it.name, ": ", it.value, "\r\n");
            store->write(absl::StrCat(head, "\r\n", request.body));
            auto response = store->readResponse(10s);
            if (!isEndless)
                return connection.write(response);
        }
        writer.write(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"items\":[\"", "x");
        return false;
    });
    EdgeInstance instance("edge-1", relay.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto pid = instance.process().pid();
    auto memoryBefore = memoryOf(pid, "VmRSS");
    OtherCaller others(instance);
    isEndless = true;
    // Makes the store answer the pending watch.
    site.store.put("op/other", "1");
    REQUIRE(waitUntil(10s, [&] { return writer.begun() >= 2; }));
    std::this_thread::sleep_for(3s);
    isEndless = false;
    site.store.put("op/config", sampleConfiguration(7));
    CHECK(waitUntil(12s, [&] { return !instance.linesContaining("what=configuration version=7").empty(); }));
    CHECK(waitUntil(12s, [&] { return writer.hasEndedAll(); }));
    auto seen = others.stop();
    CHECK(seen.failed == 0);
    CHECK(seen.slowest < slowestOtherRequest);
    CHECK(memoryOf(pid, "VmHWM") - memoryBefore < 2 * maxMemoryGrowth);
}

namespace {

// A peer that claims to be ahead, and whose answers never end.
class EndlessPeer {
public:
    explicit EndlessPeer(Pace pace)
        : writer(pace)
        , m_server([this](const RawRequest&, RawConnection& connection) {
            writer.write(connection, "HTTP/1.1 200 OK\r\n\r\n", "x");
            return false;
        })
    {
    }

    void sendHeartbeat(const EdgeInstance& instance)
    {
        FleetHeartbeat heartbeat;
        heartbeat.from = { { "edge-9" }, 1 };
        heartbeat.domain = { "halle-a" };
        heartbeat.addresses = { "127.0.0.1:9", m_server.address() };
        heartbeat.sequence = ++m_sequence;
        heartbeat.storeRevision = 1000000;
        heartbeat.storeReachable = true;
        heartbeat.storeAge = Milliseconds(1);
        auto bytes = encodeHeartbeat(heartbeat);
        int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto peer = instance.peerAddress();
        auto address = loopbackAddress(std::atoi(peer.substr(peer.rfind(':') + 1).c_str()));
        ::sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&address), sizeof address);
        ::close(fd);
    }

    EndlessWriter writer;

private:
    LoopbackServer m_server;
    std::uint64_t m_sequence = 0;
};

}

// Guards against a peer's answer that takes the instance's memory, or that keeps it from asking other peers.
TEST_CASE("answers of a peer without end are given up")
{
    auto pace = GENERATE(Pace::Fast, Pace::Slow);
    CAPTURE(static_cast<int>(pace));
    Site site;
    EndlessPeer peer(pace);
    EdgeInstance instance("edge-1", site.store.address());
    REQUIRE(waitUntil(5s, [&] { return instance.isReady(); }));
    auto pid = instance.process().pid();
    auto memoryBefore = memoryOf(pid, "VmRSS");
    OtherCaller others(instance);
    CHECK(waitUntil(8s, [&] {
        peer.sendHeartbeat(instance);
        std::this_thread::sleep_for(200ms);
        return !instance.linesContaining("what=peer_catch_up peer=edge-9").empty();
    }));
    CHECK(peer.writer.begun() > 0);
    auto seen = others.stop();
    CHECK(seen.failed == 0);
    CHECK(seen.slowest < slowestOtherRequest);
    CHECK(memoryOf(pid, "VmHWM") - memoryBefore < 2 * maxMemoryGrowth);
    CHECK(waitUntil(8s, [&] { return peer.writer.hasEndedAll(); }));
}
