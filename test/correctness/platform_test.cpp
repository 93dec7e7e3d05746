// Tests the codecs between the platform's formats and the router's types.

#include "config/edge_settings.h"
#include "core/limits/upstream_pauses.h"
#include "core/requests/admit_request.h"
#include "core/routing/upstream_balancer.h"
#include "platform/request_codec.h"
#include "platform/store_codec.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>

using namespace skylarkhitch;
using namespace skylarkhitch::platform;
using namespace std::chrono_literals;

namespace {

using TemplateFields = std::map<std::string, std::string>;

// Fills in the text between the start and the end tag of the section `name`, or the whole text if it is empty, as the platform does
// for values that are no lists or tables. Moves `at` behind what was read.
std::string filledTemplate(const std::string& text, const TemplateFields& fields, std::size_t& at, const std::string& name = {})
{
    std::string filled;
    for (;;) {
        auto open = text.find("{{", at);
        filled += text.substr(at, open == std::string::npos ? open : open - at);
        if (open == std::string::npos) {
            REQUIRE(name.empty());
            at = text.size();
            return filled;
        }
        auto close = text.find("}}", open);
        REQUIRE(close != std::string::npos);
        auto tag = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (absl::StartsWith(tag, "/")) {
            REQUIRE(tag.substr(1) == name);
            return filled;
        }
        if (absl::StartsWith(tag, "#")) {
            auto section = filledTemplate(text, fields, at, tag.substr(1));
            filled += fields.contains(tag.substr(1)) ? section : "";
        } else if (auto it = fields.find(tag); it != fields.end()) {
            filled += it->second;
        }
    }
}

std::optional<EdgeSettings> settingsFromTemplate(const TemplateFields& fields, std::vector<DocumentError>& errors)
{
    std::ifstream in(SKYLARKHITCH_SOURCE_DIR "/platform/settings.yaml.template");
    std::stringstream text;
    text << in.rdbuf();
    std::size_t at = 0;
    auto document = parseYaml(filledTemplate(text.str(), fields, at), "node.yaml", errors);
    return parseEdgeSettings(document, errors);
}

}

// Guards against instances that do not start, since a key that the template writes is unknown or has no value.
TEST_CASE("the platform's template gives the settings of an instance")
{
    TemplateFields fields { { "nodeName", "edge-halle-a-1" }, { "zone", "halle-a" }, { "ip", "10.1.0.40" }, { "listen.frontend", "10.1.0.40:8227" }, { "listen.readiness", "10.1.0.40:8220" },
        { "listen.registry", "10.1.0.40:8224" }, { "internalPorts.0", "7340" }, { "internalPorts.1", "7355" }, { "seedNodes", "10.1.0.40:8229,10.2.0.29:8229" }, { "platform.address", "10.200.1.7:8223" },
        { "limits.cpuQuota", "0.25" }, { "limits.memoryMb", "110" }, { "limits.maxFds", "4100" }, { "bounds.configApplyMs", "2000" }, { "bounds.drainMs", "2000" }, { "bounds.graceS", "8" },
        { "bounds.sessionS", "5" }, { "bounds.retryRatio", "0.9" }, { "bounds.retryWindowS", "10" }, { "bounds.retryHeadroom", "56" } };
    std::vector<DocumentError> errors;
    SECTION("with the limits of its machine")
    {
        auto settings = settingsFromTemplate(fields, errors);
        REQUIRE(settings);
        CHECK(settings->instance.value == "edge-halle-a-1");
        CHECK(settings->seeds.size() == 2);
        CHECK(settings->memoryLimitBytes() == 110 * 1024 * 1024);
        CHECK(settings->descriptorLimit == 4100);
        CHECK(settings->retryHeadroom == 56);
    }
    SECTION("a limit that is no whole number is read as well")
    {
        fields["limits.memoryMb"] = "110.5";
        fields["limits.maxFds"] = "4100.0";
        auto settings = settingsFromTemplate(fields, errors);
        REQUIRE(settings);
        CHECK(settings->memoryLimitBytes() == 110 * 1024 * 1024 + 512 * 1024);
        CHECK(settings->descriptorLimit == 4100);
    }
    SECTION("and without them, no limit is known")
    {
        fields.erase("limits.memoryMb");
        fields.erase("limits.maxFds");
        auto settings = settingsFromTemplate(fields, errors);
        REQUIRE(settings);
        CHECK(settings->memoryLimitBytes() == 0);
        CHECK(settings->descriptorLimit == 0);
        CHECK(settings->stopGrace() == 8s);
    }
}

TEST_CASE("a caller's request is decoded")
{
    HeaderFields fields { { "Host", "Ficu95.Example:8227" }, { "X-Attempt-Id", "9c41" }, { "X-Deadline-Ms", "25000" }, { "Api-Key", "secret" }, { "Last-Event-Id", "12" },
        { "X-Model-Name", "*" }, { "X-Token-Count", "1460,80" }, { "X-Prefix-Hash", "5c1e:800,91bd:410,e440:250" }, { "Session", "s-1" }, { "Connection", "keep-alive, X-Hop" },
        { "X-Hop", "1" }, { "Accept", "a" }, { "Accept", "b" }, { "X-Kv-Hold", "forged" }, { "X-Request-Urgency", "0" } };
    RoutedRequest request;
    decodeRequest(fields, request);
    REQUIRE_FALSE(request.id.empty());
    CHECK(request.host == "ficu95.example");
    CHECK(request.id.value == "9c41");
    CHECK(request.callerTimeout == 25000ms);
    CHECK(request.key == "secret");
    CHECK(request.session == "s-1");
    CHECK(request.lastEvent == 12);
    CHECK(request.anyModel);
    CHECK(request.promptTokens == 1460);
    CHECK(request.maxOutputTokens == 80);
    REQUIRE(request.promptParts.size() == 3);
    CHECK(request.promptParts[1].tokens == 410);

    SECTION("the encoded request has the router's header fields and drops caller-supplied values of fields reserved for the router")
    {
        request.method = "POST";
        request.target = "/x/%2f?a=b";
        request.body = std::make_shared<const std::string>("body");
        auto head = encodeRequestHead(request, { .upstream = { "i-7" }, .callerTimeout = 900ms, .team = TeamId { "t" }, .urgency = 3, .model = ModelId { "small" }, .lastEvent = 12 });
        CHECK(absl::StartsWith(head, "POST /x/%2f?a=b HTTP/1.1\r\n"));
        for (const char* it : { "X-Deadline-Ms: 900\r\n", "X-Expect-Instance: i-7\r\n", "X-Tenant-Name: t\r\n", "X-Request-Urgency: 3\r\n", "X-Model-Name: small\r\n", "Last-Event-Id: 12\r\n", "Content-Length: 4\r\n", "Accept: a\r\nAccept: b\r\n", "X-Prefix-Hash: 5c1e:800,91bd:410,e440:250\r\n" })
            CHECK(absl::StrContains(head, it));
        for (const char* it : { "secret", "forged", "X-Hop", "Connection", "25000", "X-Request-Urgency: 0" })
            CHECK_FALSE(absl::StrContains(head, it));
    }
    SECTION("a model named by the caller is kept")
    {
        RoutedRequest named;
        decodeRequest({ { "X-Attempt-Id", "1" }, { "X-Model-Name", "large" } }, named);
        REQUIRE_FALSE(named.id.empty());
        CHECK_FALSE(named.anyModel);
        CHECK(findField(named.forwardedHeaders, "X-Model-Name"));
    }
    SECTION("a request without an id is rejected")
    {
        RoutedRequest withoutId;
        decodeRequest({ { "Host", "x" } }, withoutId);
        CHECK(withoutId.id.empty());
    }
    SECTION("malformed numbers are treated as missing")
    {
        RoutedRequest malformed;
        decodeRequest({ { "X-Attempt-Id", "1" }, { "X-Deadline-Ms", "soon" }, { "X-Token-Count", "," }, { "X-Prefix-Hash", ":,x" } }, malformed);
        REQUIRE_FALSE(malformed.id.empty());
        CHECK_FALSE(malformed.callerTimeout);
        CHECK(malformed.promptTokens == 0);
    }
}

TEST_CASE("a caller's estimate of the output length is read and forwarded as it is")
{
    auto decode = [](const std::string& hint) {
        RoutedRequest request;
        decodeRequest({ { "X-Attempt-Id", "1" }, { "X-Token-Count", "900,50" }, { "X-Length-Hint", hint } }, request);
        return request;
    };
    SECTION("a number of tokens")
    {
        CHECK(decode("40").outputHint == 40);
        CHECK(decode("0").outputHint == 0);
        CHECK_FALSE(decode("40").isOutputHintMalformed);
    }
    SECTION("no number, a negative or an absurd one is left out and told")
    {
        for (const char* it : { "", "many", "-1", "4.5", "nan", "9223372036854775808", "16777217" }) {
            CHECK_FALSE(decode(it).outputHint);
            CHECK(decode(it).isOutputHintMalformed);
        }
    }
    SECTION("no estimate is none that cannot be read")
    {
        RoutedRequest request;
        decodeRequest({ { "X-Attempt-Id", "1" } }, request);
        CHECK_FALSE(request.outputHint);
        CHECK_FALSE(request.isOutputHintMalformed);
    }
    SECTION("whatever it is, the upstream gets it unchanged")
    {
        for (const char* it : { "40", "many", "-1" }) {
            const auto& fields = decode(it).forwardedHeaders;
            const auto* field = findField(fields, "X-Length-Hint");
            REQUIRE(field);
            CHECK(field->value == it);
        }
    }
}

TEST_CASE("an upstream's response is decoded")
{
    auto response = decodeResponse(200, "OK", { { "X-Attempt-Id", "9c41" }, { "X-Server-Seal", "s" }, { "X-Server-Load", "3,1,8" }, { "X-Confidence", "40" }, { "Keep-Alive", "timeout=5, max=9" }, { "Content-Type", "text/event-stream; charset=utf-8" }, { "Set-Cookie", "a" }, { "Set-Cookie", "b" } });
    CHECK(response.answeredRequest.value == "9c41");
    CHECK(response.isEventStream);
    CHECK(response.load->waiting == 1);
    CHECK(response.confidence == Approx(0.4));
    CHECK(response.keepAliveTimeout == 5s);
    CHECK_FALSE(response.notRun);
    CHECK(response.forwardedHeaders.size() == 6);
    SECTION("a response reports that the request was not executed")
    {
        CHECK(decodeResponse(503, "", { { "X-Not-Executed", "1" } }).notRun);
        CHECK_FALSE(decodeResponse(503, "", {}).notRun);
        auto other = decodeResponse(421, "", { { "X-Instance-Id", "i-2" } });
        CHECK(other.notRun);
        CHECK(other.isMisdirected);
        CHECK(other.answeringUpstream == UpstreamId { "i-2" });
        auto nameless = decodeResponse(421, "", {});
        CHECK(nameless.notRun);
        CHECK(nameless.isMisdirected);
        CHECK_FALSE(nameless.answeringUpstream);
        CHECK_FALSE(decodeResponse(503, "", { { "X-Not-Executed", "1" } }).isMisdirected);
    }
    SECTION("a request limit is decoded and not forwarded")
    {
        auto limited = decodeResponse(200, "", { { "Server-Limit", "2.5" } });
        CHECK(limited.requestLimit == 2.5);
        CHECK(limited.forwardedHeaders.empty());
        CHECK(decodeResponse(503, "", { { "Server-Limit", "0" }, { "X-Not-Executed", "1" } }).requestLimit == 0.0);
        CHECK_FALSE(response.requestLimit);
        CHECK_FALSE(response.isRequestLimitMalformed);
        for (const auto* it : { "", "many", "-1", "nan", "inf", "2 a second" }) {
            auto malformed = decodeResponse(200, "", { { "Server-Limit", it } });
            CHECK_FALSE(malformed.requestLimit);
            CHECK(malformed.isRequestLimitMalformed);
        }
    }
    SECTION("a malformed load is ignored")
    {
        for (const char* it : { "", "3,1", "a,b,c", "1,2,3,x", "1,2,3,", "1,2,3,4,5" })
            CHECK_FALSE(decodeResponse(200, "", { { "X-Server-Load", it } }).load);
    }
}

TEST_CASE("entries and documents of the store are decoded, and errors have a message")
{
    DecodeError error;
    SECTION("an upstream")
    {
        auto entry = decodeUpstream("i-1", R"({"backend":"s","address":"10.0.0.9:80","zone":"z","version":"v1","capacity":64,"state":"draining","born":5,"seq":7,"models":[{"name":"m","version":2}]})", error);
        REQUIRE(entry);
        CHECK_FALSE(entry->entry.takesWork);
        CHECK(entry->entry.born == 5);
        CHECK(entry->entry.models.at({ "m" }) == 2);
        CHECK(entry->writes == 7);
    }
    SECTION("invalid entries of other writers are rejected")
    {
        for (const char* it : { "", "{", "[]", "7", "{}", R"({"backend":"s","address":"10.0.0.9:80","zone":"z","capacity":64,"state":"melting"})",
                 R"({"backend":1,"address":"10.0.0.9:80","zone":"z","capacity":64,"state":"ready"})", R"({"backend":"s","address":"nowhere","zone":"z","capacity":64,"state":"ready"})",
                 R"({"backend":"s","address":"10.0.0.9:80","zone":"z","capacity":"64","state":"ready"})", R"({"backend":"s","address":"10.0.0.9:80","zone":"z","capacity":64,"state":"ready","born":"soon"})", "\xff\xfe" }) {
            error.message.clear();
            CHECK_FALSE(decodeUpstream("i-1", it, error));
            CHECK_FALSE(error.message.empty());
        }
    }
    SECTION("a roll-out record is unchanged after encoding, and the operator status is written with it")
    {
        RolloutRecord record { 7, "v2", RolloutStage::Half, TimePoint { 5s }, { { { { "s" }, "v1", "r", { "m" } }, { 3, 1, 90ms } } } };
        auto transaction = rolloutTransaction({ "s" }, record, 41);
        REQUIRE(transaction.expected.size() == 1);
        CHECK(transaction.expected[0].revision == 41);
        REQUIRE(transaction.puts.size() == 2);
        auto read = decodeRolloutRecord(transaction.puts[0].value, error);
        REQUIRE(read);
        CHECK(read->stage == RolloutStage::Half);
        CHECK(read->startedAt == record.startedAt);
        CHECK(read->baseline == record.baseline);
        CHECK(transaction.puts[1].key == "status/rollout/s");
        CHECK(transaction.puts[1].value == R"({"state":"active","target":"v2"})");
    }
    SECTION("a roll-out order")
    {
        auto order = decodeRolloutOrder("s", 9, R"({"backend":"s","target":"v2","durationS":12.5})", error);
        REQUIRE(order);
        CHECK(order->duration == 12500ms);
        CHECK_FALSE(decodeRolloutOrder("s", 9, R"({"target":"v2"})", error));
    }
    SECTION("a router instance")
    {
        auto transaction = instanceTransaction({ "edge-1" }, { "10.1.0.40:7340", { "halle-a" } }, 7);
        auto peer = decodeInstance(transaction.puts[0].value, error);
        REQUIRE(peer);
        CHECK(peer->address == "10.1.0.40:7340");
        CHECK(peer->domain.value == "halle-a");
        CHECK(decodeDocumentKey(transaction.puts[0].key).kind == DocumentKind::Instance);
        CHECK_FALSE(decodeInstance("10.1.0.40:7340", error));
    }
    SECTION("an invalid configuration is rejected")
    {
        CHECK_FALSE(decodeConfiguration(R"({"version":3,"routes":[{"name":"r"}],"backends":[]})", error));
        CHECK_FALSE(decodeConfiguration(R"({"version":3,"routes":[{"name":"r","hostname":"h","prefix":"/","routeType":"odd","timeoutMs":1,"backend":"s"}],"backends":[]})", error));
        CHECK(absl::StrContains(error.message, "odd"));
    }
}

TEST_CASE("responses of the store are decoded")
{
    std::vector<DecodeError> errors;
    auto changes = decodeChanges(R"({"events":[{"key":"servers/a","value":"bm9kZS0x","revision":412},{"key":"b","revision":413,"deleted":true}],"currentRev":420})", errors);
    REQUIRE(changes);
    CHECK(changes->revision == 420);
    CHECK(changes->changes[0].value == "node-1");
    CHECK_FALSE(changes->changes[1].value);
    CHECK(errors.empty());
    for (const char* it : { "", "{}", R"({"events":[],"currentRev":"2"})", R"({"events":7,"currentRev":2})" })
        CHECK_FALSE(decodeChanges(it, errors));
    auto page = decodePage(R"({"items":[{"key":"servers/a","value":"bm9kZS0x","revision":412}],"morePages":true,"currentRev":420})", errors);
    REQUIRE(page);
    CHECK(page->hasMore);
    CHECK(errors.empty());
    CHECK(decodeLease(R"({"lease":77120,"ttlMs":3000})") == 77120);
    CHECK(watchRequest("a b/", 5, 100ms).target == "/-/kv-watch?prefix=a%20b/&after=5&waitMs=100");
}

TEST_CASE("queries for the entry address are decoded")
{
    CHECK(isEntryRequest("/-/resolve?name=a.example&region=r&zone=halle-a"));
    CHECK_FALSE(isEntryRequest("/-/resolver"));
    CHECK(isReadinessRequest("/-/readyz"));
    auto query = decodeEntryQuery("/-/resolve?name=a%2Eexample&region=r&zone=halle+a");
    CHECK(query.host == "a.example");
    CHECK(query.domain.value == "halle a");
    CHECK(encodeEntryResponse({ "10.1.0.40:8227" }, 2000ms) == R"({"addresses":["10.1.0.40:8227"],"ttlS":2})");
}

TEST_CASE("what an upstream says of itself in its answers is read")
{
    auto decode = [](int status, const HeaderFields& fields) { return platform::decodeResponse(status, "", fields); };
    SECTION("a load of three figures, and of four where the machine tells how long work takes")
    {
        REQUIRE(decode(200, { { "X-Server-Load", "3,1,8" } }).load);
        auto load = decode(200, { { "X-Server-Load", "3,1,8,140" } }).load;
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->waiting == 1);
        CHECK(load->slots == 8);
        CHECK(load->pace == 140);
        CHECK_FALSE(decode(200, { { "X-Server-Load", "3,1,8" } }).load->pace);
        CHECK_FALSE(decode(200, { { "X-Server-Load", "3,1" } }).load);
    }
    SECTION("a wild pace is left out; the rest of the load counts")
    {
        for (const char* it : { "3,1,8,0", "3,1,8,-250", "3,1,8,9223372036854775807" }) {
            auto load = decode(200, { { "X-Server-Load", it } }).load;
            REQUIRE(load);
            CHECK(load->waiting == 1);
            CHECK_FALSE(load->pace);
        }
    }
    SECTION("that its load cannot be read, which no load is not")
    {
        for (const char* it : { "", "3,1", "a,b,c", "1,2,3,x" })
            CHECK(decode(200, { { "X-Server-Load", it } }).isLoadMalformed);
        CHECK_FALSE(decode(200, { { "X-Server-Load", "3,1,8,140" } }).isLoadMalformed);
        CHECK_FALSE(decode(200, {}).isLoadMalformed);
    }
    SECTION("that it leaves, whatever the status")
    {
        for (int status : { 200, 421, 429, 500, 503 })
            CHECK(decode(status, { { "Server-Leaving", "1" } }).isLeaving);
        CHECK_FALSE(decode(200, {}).isLeaving);
    }
    SECTION("how many rejections it bears, and none if that cannot be read")
    {
        CHECK(decode(503, { { "Server-Brittle", "4" } }).admissibleRejections == 4);
        CHECK(decode(200, { { "Server-Brittle", "0.5" } }).admissibleRejections == 0.5);
        CHECK_FALSE(decode(200, {}).admissibleRejections);
        for (const auto* it : { "-1", "many", "nan", "inf", "" })
            CHECK(decode(200, { { "Server-Brittle", it } }).admissibleRejections == 0);
        for (const auto& it : decode(200, { { "Server-Brittle", "4" } }).forwardedHeaders)
            CHECK(it.name != "Server-Brittle");
    }
    SECTION("how long it stays cold, which is nothing for callers")
    {
        CHECK(decode(200, { { "X-Cold-Ms", "2500" } }).coldFor == 2500ms);
        CHECK(decode(200, { { "X-Cold-Ms", "1e300" } }).coldFor == 600s);
        for (const auto* it : { "0", "-1", "long", "nan", "" })
            CHECK(decode(200, { { "X-Cold-Ms", it } }).coldFor == 0ms);
        for (const auto& it : decode(200, { { "X-Cold-Ms", "2500" } }).forwardedHeaders)
            CHECK(it.name != "X-Cold-Ms");
    }
    SECTION("how long it wants nothing: seconds, fractions of them or a date, and only with a refusal")
    {
        CHECK(decode(503, { { "Retry-After", "2" } }).pause == 2000ms);
        CHECK(decode(503, { { "Retry-After", "0.25" } }).pause == 250ms);
        CHECK_FALSE(decode(500, { { "Retry-After", "2" } }).pause);
        CHECK(decode(503, { { "Retry-After", "Wed, 21 Oct 2015 07:28:00 GMT" } }).pause == 0ms);
        CHECK(decode(503, { { "Retry-After", "Wed, 21 Oct 2099 07:28:00 GMT" } }).pause == UpstreamPauses::maxTime);
        CHECK(decode(503, { { "Retry-After", "1" }, { "Retry-After", "3" } }).pause == 3000ms);
    }
    SECTION("a time that cannot be is noticed")
    {
        for (const auto* it : { "-1", "soon", "nan", "inf", "" }) {
            auto response = decode(503, { { "Retry-After", it } });
            CHECK(response.isPauseMalformed);
            CHECK_FALSE(response.pause);
        }
        CHECK(decode(503, { { "Retry-After", "1e300" } }).pause == UpstreamPauses::maxTime);
    }
}

TEST_CASE("an upstream's entry that differs only in the number of writes is a renewal")
{
    auto entry = [](const std::string& seq, const std::string& state = "ready") { return absl::StrCat(R"({"backend":"a","state":")", state, R"(",)", R"("seq":)", seq, R"(,"born":17})"); };
    CHECK(isRenewal("servers/i-1", entry("4"), entry("15")));
    CHECK_FALSE(isRenewal("servers/i-1", entry("4"), entry("5", "draining")));
    CHECK_FALSE(isRenewal("op/config", entry("4"), entry("5")));
    CHECK_FALSE(isRenewal("servers/i-1", entry("4"), entry("\"x\"")));
    CHECK_FALSE(isRenewal("servers/i-1", "{}", "{}"));
    CHECK_FALSE(isRenewal("servers/i-1", "\"seq\":", "\"seq\":4"));
    CHECK(decodeWrites(entry("15")) == 15);
    CHECK(decodeWrites("{}") == 0);
}

TEST_CASE("how long an upstream stays cold, and what it takes then, is read")
{
    DecodeError error;
    auto entry = [](const std::string& cold) { return absl::StrCat(R"({"backend":"a","address":"10.0.0.1:80","zone":"z","version":"v1","capacity":4,"state":"ready","coldRemainingMs":)", cold, R"(,"seq":2})"); };
    CHECK(decodeUpstream("i-1", entry("2500"), error)->coldFor == 2500ms);
    CHECK(decodeUpstream("i-1", entry("-3"), error)->coldFor == 0ms);
    CHECK(decodeUpstream("i-1", entry("1e300"), error)->coldFor == 600s);
    CHECK(decodeUpstream("i-1", entry("\"long\""), error)->coldFor == 0ms);
    auto configuration = decodeConfiguration(R"({"version":1,"routes":[],"backends":[{"name":"a","coldPerS":12.5},{"name":"b"}]})", error);
    REQUIRE(configuration);
    CHECK(configuration->services.at({ "a" }).coldRequestsPerSecond == 12.5);
    CHECK(configuration->services.at({ "b" }).coldRequestsPerSecond == 0);
}

// Guards against a number of one caller that decides where the requests of all others go, or for which a request that fits is refused.
TEST_CASE("numbers of callers that cannot be change nothing for others and refuse nothing")
{
    const TimePoint now { 100s };
    UpstreamBalancer balancer { 7 };
    auto entry = [](const std::string& id) { return UpstreamEntry { { id }, { "assist" }, "10.0.0.1:80", { "a" }, "v1", 8, true, 1, {} }; };
    std::vector<UpstreamEntry> entries { entry("e1"), entry("e2") };
    auto decoded = [](const std::string& counts) {
        RoutedRequest request;
        decodeRequest({ { "X-Attempt-Id", "r" }, { "X-Token-Count", counts } }, request);
        return request;
    };
    RoutedService engines { { "assist" }, "/", 0, EngineProfile {} };
    // How many of 100 requests go to an engine.
    auto requestsTo = [&](const std::string& id) {
        auto request = decoded("900,50");
        std::vector<UpstreamId> tried;
        UpstreamQuery query { &request, &engines, { &entries[0], &entries[1] }, &tried, { "a" } };
        int count = 0;
        for (int n = 0; n < 100; ++n)
            count += balancer.choose(query, now)->id.value == id ? 1 : 0;
        return count;
    };

    SECTION("a prompt of less than no tokens attracts no other request")
    {
        balancer.sent({ "e1" }, decoded("-9000000000,50").promptTokens);
        CHECK(requestsTo("e1") <= 50);
    }
    SECTION("a prompt that is longer than any does not decide the lengths that are typical")
    {
        for (int n = 0; n < 100; ++n)
            balancer.recordPrompt("draft", decoded("900,50").promptTokens);
        balancer.recordPrompt("other", decoded("9223372036854775807,50").promptTokens);
        for (int n = 0; n < 100; ++n)
            balancer.recordPrompt("draft", decoded("900,50").promptTokens);
        CHECK(balancer.promptRatio("draft") > 0.1);
    }
    SECTION("a caller that states the longest time has the time of the route")
    {
        auto configuration = std::make_shared<RoutingConfiguration>();
        Route route;
        route.host = "a.example";
        route.prefix = "/";
        route.timeout = 3000ms;
        route.split = { { { "assist" }, 1 } };
        configuration->routes = { route };
        configuration->services[{ "assist" }] = engines;
        for (const char* it : { "9223372036854775807", "9223372036854775" }) {
            AdmittedRequest admitted;
            admitted.configuration = configuration;
            decodeRequest({ { "Host", "a.example" }, { "X-Attempt-Id", "r" }, { "X-Deadline-Ms", it } }, admitted.request);
            admitted.request.target = "/x";
            admitted.request.body = std::make_shared<const std::string>();
            CAPTURE(it);
            CHECK(admitRequest(admitted, now) == ErrorKind::None);
            CHECK(admitted.deadline == now + 3000ms);
        }
    }
}
