// Tests an instance on a platform without declared routes with bytes of others
// that it cannot use: of callers, upstreams, operators and the platform.

#include "adapters/digest.h"
#include "adapters/http_client.h"
#include "fakes/loopback_server.h"
#include "processes/child_process.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

using namespace skylarkhitch;
using standin::LoopbackServer;
using standin::RawConnection;
using standin::RawRequest;

namespace {

using Json = nlohmann::json;

// The servers close each connection after its response, so they say so: a connection that closes unannounced may be reused just then,
// and a request that is lost there is not sent again.
std::string responseBytes(int status, const std::string& body)
{
    return standin::responseBytes(status, body, { { "Connection", "close" } });
}

constexpr Seconds eventuallyLimit { 15 };
constexpr Milliseconds eventuallyPeriod { 20 };
const HttpHeader callerKey { "Authorization", "Bearer key" };

bool eventually(const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + eventuallyLimit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(eventuallyPeriod);
    }
    return false;
}

std::string fieldOf(const std::string& line, const std::string& name)
{
    std::istringstream words(line);
    for (std::string word; std::getline(words, word, ' ');) {
        if (word.rfind(name + "=", 0) == 0)
            return word.substr(name.size() + 1);
    }
    return {};
}

// The same text many times, for documents that are nested deeply.
std::string repeated(const std::string& text, std::size_t n)
{
    std::string all;
    for (std::size_t k = 0; k < n; ++k)
        all += text;
    return all;
}

// A server that answers each path with the raw bytes that were set for it, and
// then closes the connection.
class ScriptedServer {
public:
    // Paths without bytes get status 404.
    void answer(const std::string& path, std::string bytes)
    {
        std::lock_guard lock(m_mutex);
        m_answers[path] = std::move(bytes);
    }
    std::string address() const { return m_server.address(); }
    int requests(const std::string& path) const
    {
        std::lock_guard lock(m_mutex);
        auto it = m_requests.find(path);
        return it == m_requests.end() ? 0 : it->second;
    }

private:
    bool serve(const RawRequest& request, RawConnection& connection)
    {
        std::unique_lock lock(m_mutex);
        ++m_requests[request.path()];
        auto it = m_answers.find(request.path());
        auto bytes = it == m_answers.end() ? responseBytes(404, "") : it->second;
        lock.unlock();
        connection.write(bytes);
        return false;
    }

    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_answers;
    std::map<std::string, int> m_requests;
    LoopbackServer m_server {
        [this](const RawRequest& request, RawConnection& connection) {
            return serve(request, connection);
        }
    };
};

// One instance with a scripted engine, service and platform.
class OddSite {
public:
    // A standalone instance has its configuration from a file and asks no
    // platform.
    explicit OddSite(bool standalone)
    {
        auto pattern = (std::filesystem::temp_directory_path() / "skylarkhitch-XXXXXX")
                           .string();
        m_directory = mkdtemp(pattern.data());
        engine.answer("/v1/load",
            responseBytes(200, R"({"running":0,"waiting":0})"));
        service.answer("/v1/load",
            responseBytes(200, R"({"running":0,"waiting":0})"));
        engine.answer(
            "/v1/chat/completions",
            responseBytes(
                200, chatAnswer(R"({"prompt_tokens":2,"completion_tokens":3})")));
        platform.answer("/v1/instances", responseBytes(200, "[]"));
        std::ofstream(m_directory + "/configuration.yaml") << configuration();
        std::ofstream settings(m_directory + "/settings.yaml");
        settings << "instance: entry-0\ndomain: d0\nlisten: "
                    "127.0.0.1:0\noperator_listen: 127.0.0.1:0\npeer_listen: "
                    "127.0.0.1:0\npeer_secret: test\n"
                 << "drain_grace_ms: 100\nheartbeat_ms: 200\nlist_period_ms: "
                    "100\nload_period_ms: 100\nseed: 7\nlog_level: warning\n"
                 << "rating_address: " << platform.address() << "\n"
                 << "platform: " << (standalone ? "memory" : platform.address())
                 << "\n";
        if (standalone)
            settings << "configuration_file: " << m_directory
                     << "/configuration.yaml\n";
        settings.close();
        m_process = std::make_unique<ChildProcess>(std::vector<std::string> {
            std::string(SKYLARKHITCH_BINARY_DIR) + "/skylarkhitchd", "--settings",
            m_directory + "/settings.yaml" });
        m_callers = fieldOf(m_process->firstLine(), "callers");
        m_operators = fieldOf(m_process->firstLine(), "operators");
        if (standalone)
            REQUIRE(eventually([&] { return call("GET", "/readyz").status == 200; }));
    }
    ~OddSite() { std::filesystem::remove_all(m_directory); }

    static std::string chatAnswer(const std::string& usage)
    {
        return R"({"choices":[{"message":{"content":"hi"}}],"usage":)" + usage + "}";
    }

    HttpResult call(const std::string& method, const std::string& path,
        const std::string& body = {},
        std::vector<HttpHeader> headers = {})
    {
        return send(m_callers, method, path, body, std::move(headers));
    }
    HttpResult operate(const std::string& method, const std::string& path,
        const std::string& body = {})
    {
        return send(m_operators, method, path, body, {});
    }
    HttpResult chat(const std::string& more = {})
    {
        return call(
            "POST", "/v1/chat/completions",
            R"({"model":"small","messages":[{"role":"user","content":"hi"}])" + more + "}",
            { callerKey });
    }
    // Whether the process runs and serves, and no exception had to be contained.
    bool runs() { return !m_process->exitStatus() && call("GET", "/healthz").status == 200 && gauge("failed_callbacks") == 0; }
    // The same, and callers' chats are answered.
    bool serves() { return runs() && chat().status == 200; }
    // The value of a gauge of the instance's state, or -1 if there is none.
    double gauge(const std::string& name)
    {
        auto text = operate("GET", "/metrics").body;
        auto at = text.find("skylarkhitch_state{name=\"" + name + "\"}");
        return at == std::string::npos
            ? -1
            : std::stod(text.substr(text.find('}', at) + 1));
    }

    ScriptedServer engine;
    ScriptedServer service;
    ScriptedServer platform;

private:
    std::string configuration() const
    {
        return absl::StrCat(
            "ranks:\n  urgent: { order: 0, deadline_ms: 5000, guaranteed_share: "
            "0.3 }\n",
            "models:\n  small: { current: small-1 }\nversions:\n  small-1: { "
            "model: small, cost_per_output_token: 2, quality: 0.6 }\n",
            "teams:\n  weavers: { key_sha256: [", sha256Hex("key"),
            "], models: [small], services: [orders] }\n",
            "services:\n  orders: { cost_per_call: 500, rank: urgent }\nlimits: { "
            "rated_share: 1, attempt_timeout_ms: 2000 }\nupstreams:\n",
            "  orders-a: { address: \"", service.address(),
            "\", domain: d0, service: orders }\n", "  small-a: { address: \"",
            engine.address(), "\", domain: d0, version: small-1 }\n");
    }

    HttpResult send(const std::string& address, const std::string& method,
        const std::string& path, const std::string& body,
        std::vector<HttpHeader> headers)
    {
        HttpCall http { .method = method,
            .address = address,
            .path = path,
            .headers = std::move(headers),
            .timeout = Seconds(10) };
        if (method != "GET")
            http.body = std::make_shared<const std::string>(body);
        std::promise<HttpResult> result;
        m_client.start(std::move(http), { .onEnd = [&](HttpResult it) {
            result.set_value(std::move(it));
        } });
        return result.get_future().get();
    }

    std::string m_directory;
    HttpClient m_client;
    std::unique_ptr<ChildProcess> m_process;
    std::string m_callers;
    std::string m_operators;
};

std::string errorKind(const HttpResult& result)
{
    auto json = Json::parse(result.body, nullptr, false);
    return json.is_object() && json.contains("error") && json["error"].is_object()
        ? json["error"].value("kind", "")
        : "";
}

}

// Guards against an empty 200 for a call whose service stopped while it wrote
// the head of its response.
TEST_CASE(
    "a call whose response breaks off in its head has an unknown outcome")
{
    OddSite site(true);
    auto head = GENERATE(std::string("HTTP/1.1 200 OK\r\n"),
        std::string("HTTP/1.1 201 Created\r\nContent-Ty"),
        std::string("HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\n"));
    CAPTURE(head);
    site.service.answer("/slots", head);
    SECTION("and is not sent again")
    {
        auto result = site.call("POST", "/services/orders/slots", "loom 1",
            { callerKey, { "Idempotency-Key", "k" } });
        CHECK(result.status >= 400);
        CHECK(errorKind(result) == "outcome_unknown");
        CHECK(result.headers["x-ran"] == "unknown");
        CHECK(site.service.requests("/slots") == 1);
    }
    SECTION("and one that may be repeated fails, in its time")
    {
        auto result = site.call("GET", "/services/orders/slots", "", { callerKey });
        CHECK(result.status == 502);
        CHECK(result.headers["x-ran"] != "no");
    }
}

// Guards against a request whose body, nested deeply, ends the process and with
// it the requests of all callers.
TEST_CASE("a chat body that is nested too deeply is refused as malformed")
{
    OddSite site(true);
    auto levels = std::size_t { 1'000'000 };
    auto nested = GENERATE_COPY(repeated("[", levels) + repeated("]", levels),
        repeated("{\"a\":", levels) + "1" + repeated("}", levels),
        repeated("[", levels));
    auto result = site.chat(R"(,"more":)" + nested);
    CHECK(result.status == 400);
    CHECK(errorKind(result) == "malformed_request");
    CHECK(site.serves());
}

// Guards against a load report or counts of one upstream that end the process.
TEST_CASE("numbers of upstreams that cannot be used count as zero")
{
    OddSite site(true);
    SECTION("in load reports")
    {
        for (const auto* report :
            { R"({"running":"many","waiting":0})",
                R"({"running":null,"waiting":[1]})",
                R"({"running":1e300,"waiting":-1e300})",
                R"({"running":18446744073709551615,"waiting":-5})",
                R"({"running":1,"leaving":"yes"})", R"([1])", "{" }) {
            CAPTURE(report);
            auto before = site.engine.requests("/v1/load");
            site.engine.answer("/v1/load", responseBytes(200, report));
            CHECK(eventually(
                [&] { return site.engine.requests("/v1/load") > before + 2; }));
            CHECK(site.serves());
        }
    }
    SECTION("in the usage of a response")
    {
        for (
            const auto* usage :
            { R"({"prompt_tokens":-5,"completion_tokens":-3})",
                R"({"prompt_tokens":1e300,"completion_tokens":1e300})",
                R"({"prompt_tokens":18446744073709551615,"completion_tokens":9223372036854775807})",
                R"({"prompt_tokens":"2","completion_tokens":{}})", "[]" }) {
            CAPTURE(usage);
            site.engine.answer("/v1/chat/completions",
                responseBytes(200, OddSite::chatAnswer(usage)));
            auto result = site.chat();
            CHECK(result.status == 200);
            CHECK(result.headers["x-cost-micros"] == "0");
        }
        site.engine.answer(
            "/v1/chat/completions",
            responseBytes(200,
                OddSite::chatAnswer(
                    R"({"prompt_tokens":2,"completion_tokens":3})")));
        // Two tokens of input for 1 each, three of output for 2 each.
        CHECK(site.chat().headers["x-cost-micros"] == "8");
    }
    SECTION("in a response that is nested deeply")
    {
        site.engine.answer(
            "/v1/chat/completions",
            responseBytes(200, OddSite::chatAnswer(repeated("[", 1'000'000) + repeated("]", 1'000'000))));
        site.chat();
        site.engine.answer("/v1/chat/completions",
            responseBytes(200, OddSite::chatAnswer("{}")));
        CHECK(eventually([&] { return site.serves(); }));
    }
}

// Guards against a rating of one response that ends the process.
TEST_CASE("ratings that cannot be used are none")
{
    OddSite site(true);
    for (const auto& rating :
        { std::string(R"({"rating":"good"})"), std::string(R"({"rating":1e300})"),
            std::string(R"({"rating":-1})"), std::string("[]"), std::string("{"),
            R"({"rating":)" + repeated("[", 1'000'000) + repeated("]", 1'000'000) + "}" }) {
        CAPTURE(rating.substr(0, 40));
        site.platform.answer("/v1/ratings", responseBytes(200, rating));
        auto before = site.platform.requests("/v1/ratings");
        CHECK(site.chat().status == 200);
        CHECK(eventually(
            [&] { return site.platform.requests("/v1/ratings") > before; }));
        CHECK(site.serves());
    }
    // A rating that was taken although it is out of range would have the version
    // quarantined, or its mean show it.
    auto versions = Json::parse(site.operate("GET", "/admin/status").body)["versions"];
    CHECK(versions[0]["health"] == "healthy");
    CHECK(versions[0]["mean_rating"].get<double>() <= 1);
    CHECK(versions[0]["mean_rating"].get<double>() >= 0);
}

// Guards against one odd entry of the instance list that ends the processes
// that read the list, or hides the entries after it.
TEST_CASE("an odd entry of the instance list hides no other")
{
    const Json good = { { "id", "entry-8" },
        { "role", "entry" },
        { "address", "127.0.0.1:1" },
        { "peer_address", "127.0.0.1:1" },
        { "state", "live" } };
    for (
        const std::string odd :
        { R"({"id":"entry-9","role":5})", R"({"id":7,"role":"entry"})",
            R"({"role":"entry"})",
            R"({"id":"entry-9","role":"entry","address":["x"],"peer_address":null,"state":{}})",
            R"({"id":"entry-9","role":"entry","peer_address":"nonsense"})",
            R"({"id":"entry-9","role":"entry","peer_address":"127.0.0.1:99999"})",
            R"({"id":"entry-9","role":"entry","peer_address":"host.example:80"})",
            R"([[["entry"]]])", "null", "1e300" }) {
        DYNAMIC_SECTION("of " << odd)
        {
            OddSite site(false);
            site.platform.answer(
                "/v1/instances",
                responseBytes(200, "[" + odd + "," + good.dump() + "]"));
            CHECK(eventually([&] {
                return site.operate("GET", "/admin/status").body.find("entry-8") != std::string::npos;
            }));
            auto before = site.platform.requests("/v1/instances");
            // Heartbeats are sent to the listed entries meanwhile.
            CHECK(eventually([&] {
                return site.platform.requests("/v1/instances") > before + 5;
            }));
            CHECK(site.runs());
        }
    }
    SECTION("even if it is nested deeply")
    {
        OddSite site(false);
        site.platform.answer("/v1/instances",
            responseBytes(200, "[" + repeated("[", 1'000'000) + repeated("]", 1'000'000) + "," + good.dump() + "]"));
        CHECK(eventually([&] {
            return site.operate("GET", "/admin/status").body.find("entry-8") != std::string::npos;
        }));
        CHECK(site.runs());
    }
}

// Guards against a question or an edit of an operator that ends the process.
TEST_CASE(
    "what an operator sends that cannot be used is answered with an error")
{
    OddSite site(true);
    auto revision = Json::parse(site.operate("GET", "/admin/config").body)["revision"].dump();
    SECTION("an edit whose fields have other types")
    {
        for (const auto& edit :
            { std::string(R"({"edit_id":"e","base":)" + revision + R"(,"author":5,"configuration":{}})"),
                std::string(R"({"edit_id":"e","base":1e300,"configuration":{}})"),
                std::string(R"({"edit_id":"e","base":-1,"configuration":{}})"),
                std::string(R"({"edit_id":null,"base":1,"configuration":[]})"),
                std::string("[]"), std::string("{") }) {
            CAPTURE(edit);
            CHECK(site.operate("POST", "/admin/config", edit).status == 400);
            CHECK(site.serves());
        }
    }
    SECTION("an edit that is nested too deeply")
    {
        auto levels = std::size_t { 300'000 };
        auto result = site.operate(
            "POST", "/admin/config",
            R"({"edit_id":"e","base":)" + revision + R"(,"configuration":)" + repeated("{\"a\":", levels) + "1" + repeated("}", levels) + "}");
        CHECK(result.status == 400);
        CHECK(site.serves());
    }
    SECTION("a question with bytes that are not UTF-8")
    {
        CHECK(site.operate("GET", "/admin/explain?team=%ff&target=%fe").status == 200);
        CHECK(site.operate("GET",
                      "/admin/explain?team=weavers&target=%fe&session=%00")
                  .status
            == 200);
        CHECK(site.serves());
    }
    SECTION("a caller's target with bytes that are not UTF-8")
    {
        CHECK(site.call("GET", "/services/%ff/x", "", { callerKey }).status >= 400);
        CHECK(site.call("GET", "/v1/entry?session=%ff&domain=%fe").status < 500);
        CHECK(site.serves());
    }
}

// Guards against one odd key of the store that ends the process which an
// operator asks for the bills.
TEST_CASE("keys of the ledger that cannot be read are left out of the bills")
{
    OddSite site(false);
    auto key = GENERATE(std::string("ledger/zz/1"), std::string("ledger/"),
        std::string("l"), std::string(""),
        std::string("ledger/-1/1"), std::string("ledger/1"),
        std::string("ledger/01/x"), std::string("ledger/01/-1"));
    CAPTURE(key);
    site.platform.answer(
        "/v1/kv/ledger/",
        responseBytes(
            200, Json::array({ { { "Key", key }, { "Value", "" }, { "ModifyIndex", 1 } } }).dump()));
    CHECK(site.operate("GET", "/admin/bills").status == 200);
    CHECK(site.runs());
}
