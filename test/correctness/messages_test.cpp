#include "adapters/digest.h"
#include "adapters/peer_frame.h"
#include "core/ledger/ledger_compaction.h"
#include "daemon/request_parser.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;

namespace {

const TimePoint now { Seconds(1000000) };

PeerEnvelope heartbeat(std::uint64_t incarnation)
{
    Heartbeat beat { .domain = { "d" }, .entryAddress = "127.0.0.1:1", .revision = 4, .sequence = 9 };
    beat.upstreams[{ "u" }] = { 1, 2, 3, 4 };
    beat.versions[{ "v" }] = { 5, 6, 7, 8 };
    beat.crashes["f"] = 2;
    return { { { "a" }, incarnation }, beat };
}

HttpRequest chatHttpRequest(const std::string& body)
{
    HttpRequest request { .method = "POST", .path = "/v1/chat/completions", .body = body };
    request.headers["authorization"] = "Bearer key";
    return request;
}

const std::string goodBody = R"({"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":0.5,"max_tokens":7})";

}

TEST_CASE("instances exchange authenticated frames")
{
    FrameEncoder encoder({ { "a" }, 1 }, "secret");
    FrameDecoder decoder({ "b" }, "secret");
    auto frame = encoder.encode({ "b" }, heartbeat(1), now);

    SECTION("a frame is decoded unchanged")
    {
        auto envelope = decoder.decode(frame, now);
        REQUIRE(envelope);
        const auto& beat = std::get<Heartbeat>(envelope->message);
        CHECK(beat.upstreams.at({ "u" }).crashed == 4);
        CHECK(beat.versions.at({ "v" }).ratingThousandths == 8);
        CHECK(beat.crashes.at("f") == 2);

        SECTION("a replayed frame is rejected")
        {
            CHECK_FALSE(decoder.decode(frame, now));
            CHECK(decoder.decode(encoder.encode({ "b" }, heartbeat(1), now), now));
        }
        SECTION("a frame of an earlier incarnation is rejected after one of a later incarnation")
        {
            FrameEncoder later({ { "a" }, 2 }, "secret");
            CHECK(decoder.decode(later.encode({ "b" }, heartbeat(2), now), now));
            CHECK_FALSE(decoder.decode(encoder.encode({ "b" }, heartbeat(1), now), now));
        }
    }
    SECTION("a frame that is for another instance, sealed with another secret, corrupted, truncated or too old is rejected")
    {
        CHECK_FALSE(FrameDecoder({ "c" }, "secret").decode(frame, now));
        CHECK_FALSE(FrameDecoder({ "b" }, "guess").decode(frame, now));
        CHECK_FALSE(decoder.decode(frame.substr(0, 40), now));
        CHECK_FALSE(decoder.decode(frame, now + Seconds(31)));
        for (std::size_t n = 0; n < frame.size(); ++n) {
            auto damaged = frame;
            damaged[n] = static_cast<char>(damaged[n] ^ 1);
            REQUIRE_FALSE(decoder.decode(damaged, now));
        }
    }
}

TEST_CASE("records and documents are unchanged after encoding and decoding")
{
    Outcome outcome { 201, "application/json", std::string("\0\xff", 2), true, Bill { { "t" }, 5, 6, 7, { "v" } } };
    for (const LedgerEntry& entry : { LedgerEntry(Claim { "d", { { "i" }, 3 }, { "r" } }), LedgerEntry(Release { { "r" } }), LedgerEntry(outcome), LedgerEntry(*outcome.bill), LedgerEntry(SessionPin { { "v" }, 2 }) }) {
        auto decoded = decodeRecord(encodeRecord({ "key", now, entry }));
        REQUIRE(decoded);
        CHECK(decoded->entry.index() == entry.index());
        CHECK(encodeRecord(*decoded) == encodeRecord({ "key", now, entry }));
    }
    CHECK_FALSE(decodeRecord("garbage"));
    CHECK_FALSE(decodeSegment("garbage"));
    ConfigurationDocument document { 3, "e", "author", now, "{}", { { 3, "e", "author", now } } };
    CHECK(decodeDocument(encodeDocument(document))->history.size() == 1);
}

// Guards against one odd key of the store that ends the process which reads the ledger.
TEST_CASE("keys that are not of the ledger hide none of its segments")
{
    StoreItem segment { segmentKey(1, 3), encodeBatch({ "b", {}, true }), 1 };
    for (const auto* key : { "", "x", "ledger/1", "ledger/01", "ledger/01/", "ledger/01/x", "ledger/01/-1", "ledger/01/99999999999999999999999" }) {
        CAPTURE(key);
        auto contents = decodeShard(1, { { key, "", 1 }, segment });
        REQUIRE(contents);
        REQUIRE(contents->segments.size() == 1);
        CHECK(contents->segments[0].number == 3);
    }
    CHECK_FALSE(decodeShard(1, { { segmentKey(1, 2), "garbage", 1 }, segment }));
}

TEST_CASE("a caller's request is validated when it is parsed")
{
    SECTION("a valid request is accepted, and only the model is removed from its body")
    {
        auto parsed = parseCallerRequest(chatHttpRequest(goodBody), CallKind::Chat);
        REQUIRE(parsed.error == ErrorKind::None);
        CHECK(parsed.request.target == "m");
        CHECK(parsed.request.maxTokens == 7);
        CHECK(parsed.request.keyDigest == sha256Hex("key"));
        CHECK(*parsed.request.body == R"({"messages":[{"role":"user","content":"hi"}],"temperature":0.5,"max_tokens":7})");
    }
    SECTION("the error for an invalid body names the field")
    {
        struct Case {
            std::string body;
            std::string field;
        };
        auto it = GENERATE(Case { "{", "body" }, Case { "[]", "body" }, Case { R"({"messages":[1]})", "model" }, Case { R"({"model":"m"})", "messages" },
            Case { R"({"model":"m","messages":[]})", "messages" }, Case { R"({"model":"m","messages":[1],"stream":1})", "stream" },
            Case { R"({"model":"m","messages":[1],"max_tokens":-1})", "max_tokens" }, Case { R"({"model":"m","messages":[1],"max_tokens":1e300})", "max_tokens" });
        auto parsed = parseCallerRequest(chatHttpRequest(it.body), CallKind::Chat);
        CHECK(parsed.error == ErrorKind::MalformedRequest);
        CHECK_THAT(parsed.message, Catch::StartsWith(it.field));
    }
    SECTION("the error for an invalid header names the header")
    {
        struct Case {
            std::string name;
            std::string value;
        };
        auto it = GENERATE(Case { "x-deadline-ms", "soon" }, Case { "x-deadline-ms", "0" }, Case { "x-session", "a/b" }, Case { "idempotency-key", std::string(129, 'k') }, Case { "x-rank", "\x01" });
        auto request = chatHttpRequest(goodBody);
        request.headers[it.name] = it.value;
        auto parsed = parseCallerRequest(request, CallKind::Chat);
        CHECK(parsed.error == ErrorKind::BadHeader);
        CHECK_THAT(parsed.message, Catch::StartsWith(it.name));
    }
    SECTION("a missing API key and a body over the size limit are rejected")
    {
        auto request = chatHttpRequest(goodBody);
        request.headers.clear();
        CHECK(parseCallerRequest(request, CallKind::Chat).error == ErrorKind::UnknownKey);
        request.tooLarge = true;
        CHECK(parseCallerRequest(request, CallKind::Chat).error == ErrorKind::RequestTooLarge);
    }
    SECTION("a service call keeps its method, path and query")
    {
        HttpRequest request { .method = "PUT", .path = "/services/orders/slots/4", .body = "b" };
        request.headers["authorization"] = "Bearer key";
        request.query["at"] = "2 pm";
        auto parsed = parseCallerRequest(request, CallKind::Service);
        REQUIRE(parsed.error == ErrorKind::None);
        CHECK(parsed.request.target == "orders");
        CHECK(parsed.request.path == "/slots/4?at=2%20pm");
        CHECK(parsed.request.method == "PUT");
    }
}
