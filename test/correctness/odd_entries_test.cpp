// Tests that odd entries of other writers and odd bytes from peers are told apart from sound ones, and that nothing else ends.

#include "core/ids.h"
#include "core/membership/fleet_heartbeat.h"
#include "core/membership/peer_message.h"
#include "core/membership/store_mirror.h"
#include "platform/store_codec.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>
#include <random>

using namespace skylarkhitch;
using namespace skylarkhitch::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mebibyte = std::size_t { 1 } << 20;

// An upstream's entry that is sound but for the given fields, which follow the others.
std::string upstreamEntry(const std::string& moreFields)
{
    return absl::StrCat(R"({"backend":"s","address":"10.0.0.9:80","zone":"z","version":"v1","capacity":64,"state":"ready","seq":7,"born":5)", moreFields, "}");
}

// An array in an array, and so on.
std::string nested(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

FleetHeartbeat soundHeartbeat()
{
    FleetHeartbeat heartbeat;
    heartbeat.from = { { "edge-1" }, 9 };
    heartbeat.domain = { "halle-a" };
    heartbeat.addresses = { "10.0.0.1:80", "10.0.0.1:70" };
    heartbeat.sequence = 3;
    heartbeat.storeAge = 40ms;
    heartbeat.work[{ "i-1" }] = { 3, 4000 };
    heartbeat.evidence[{ { "assist" }, "v2", "cards", { "small" } }] = { 7, 1, 900ms, { 7, 33.5, 161.25 }, 2 };
    heartbeat.sessions = { { 77, "v2", 300ms } };
    heartbeat.readsDigests = true;
    heartbeat.digest.emplace();
    heartbeat.digest->sums.evidence = heartbeat.evidence;
    return heartbeat;
}

}

// Guards against instances that end or take much memory because an entry or a message is nested deeply.
TEST_CASE("documents that are nested deeply are not built")
{
    SECTION("an upstream's entry")
    {
        DecodeError error;
        CHECK(decodeUpstream("i-1", upstreamEntry(absl::StrCat(R"(,"x":)", nested(63))), error));
        CHECK_FALSE(decodeUpstream("i-1", upstreamEntry(absl::StrCat(R"(,"x":)", nested(64))), error));
        CHECK_FALSE(decodeUpstream("i-1", std::string(mebibyte, '['), error));
        CHECK(decodeUpstream("i-1", upstreamEntry(absl::StrCat(R"(,"x":")", std::string(1000, '['), R"(\"[[")")), error));
    }
    SECTION("bytes of a peer, of each kind that nests")
    {
        // Arrays and maps of one item, a tag, and arrays, maps, bytes and texts of no stated length.
        for (char it : { '\x81', '\xa1', '\xc1', '\x9f', '\xbf', '\x5f', '\x7f' }) {
            INFO(static_cast<int>(static_cast<unsigned char>(it)));
            CHECK_FALSE(decodeHeartbeat(std::string(64 * 1024, it)));
            CHECK_FALSE(decodeUpdate(std::string(8 * mebibyte, it)));
            CHECK_FALSE(decodeEnvelope(std::string(8 * mebibyte, it)));
            CHECK_FALSE(decodeDocument(std::string(8 * mebibyte, it)));
        }
    }
}

// Guards against instances that end because bytes of a peer state a length that they do not have, or are changed on their way.
TEST_CASE("bytes of a peer that are no message are rejected")
{
    SECTION("lengths that the bytes do not have")
    {
        for (const char* kind : { "\x5b", "\x7b", "\x9b", "\xbb" }) {
            for (const char* length : { "\xff\xff\xff\xff\xff\xff\xff\xff", "\x7f\xff\xff\xff\xff\xff\xff\xff", "\x80\x80\x80\x80\x80\x80\x80\x80" }) {
                CHECK_FALSE(decodeHeartbeat(absl::StrCat(kind, length)));
                CHECK_FALSE(decodeUpdate(absl::StrCat(kind, length)));
            }
        }
    }
    SECTION("a sound message with some bytes changed, seeds 1 to 20,000")
    {
        auto heartbeat = encodeHeartbeat(soundHeartbeat());
        auto update = encodeUpdate({ 12, true, { { "servers/i-1", 11, upstreamEntry("") }, { "b", 12, std::nullopt } } });
        REQUIRE(decodeHeartbeat(heartbeat));
        REQUIRE(decodeUpdate(update));
        for (unsigned seed = 1; seed <= 20000; ++seed) {
            std::mt19937 random(seed);
            for (auto bytes : { heartbeat, update }) {
                for (unsigned n = 0; n <= seed % 4; ++n)
                    bytes[random() % bytes.size()] = static_cast<char>(random());
                INFO(seed);
                CHECK_NOTHROW(decodeHeartbeat(bytes));
                CHECK_NOTHROW(decodeUpdate(bytes));
            }
        }
    }
}

// Guards against instances that learn of no change because the store's answer has one odd item.
TEST_CASE("an odd item in an answer of the store hides no other")
{
    auto item = [](const std::string& key, const std::string& value, const std::string& revision) { return absl::StrCat(R"({"key":)", key, R"(,"value":)", value, R"(,"revision":)", revision, "}"); };
    auto encoded = [](std::size_t bytes) { return absl::StrCat("\"", absl::Base64Escape(std::string(bytes, 'x')), "\""); };
    const std::string sound = item(R"("servers/i-1")", R"("bm9kZS0x")", "411");
    const std::string lastSound = item(R"("servers/i-9")", R"("bm9kZS0x")", "419");
    std::vector<DecodeError> errors;
    SECTION("one without a key or a revision that can be read is left out")
    {
        const std::string odd[] = { "7", "null", "[]", "{}", item("7", R"("bm9kZS0x")", "412"), item("null", R"("bm9kZS0x")", "412"), item(R"("servers/i-2")", R"("bm9kZS0x")", R"("412")"), R"({"key":"servers/i-2","value":"bm9kZS0x"})" };
        auto items = absl::StrCat(sound, ",", absl::StrJoin(odd, ","), ",", lastSound);
        auto page = decodePage(absl::StrCat(R"({"items":[)", items, R"(],"morePages":true,"currentRev":420})"), errors);
        REQUIRE(page);
        CHECK(page->hasMore);
        CHECK(page->revision == 420);
        REQUIRE(page->items.size() == 2);
        CHECK(page->items[1].key == "servers/i-9");
        CHECK(errors.size() == std::size(odd));
        auto changes = decodeChanges(absl::StrCat(R"({"events":[)", items, R"(],"currentRev":420})"), errors);
        REQUIRE(changes);
        CHECK(changes->revision == 420);
        REQUIRE(changes->changes.size() == 2);
        CHECK(changes->changes[0].value == "node-1");
        CHECK(errors.size() == 2 * std::size(odd));
    }
    SECTION("one whose value cannot be read is there, with a value that names nothing")
    {
        const std::string odd[] = { item(R"("servers/i-2")", R"("*")", "412"), item(R"("servers/i-3")", "7", "413"), item(R"("servers/i-4")", "null", "414"), R"({"key":"servers/i-5","revision":415})",
            R"({"key":"servers/i-6","revision":416,"deleted":"true"})", item(R"("servers/i-7")", encoded(mebibyte), "417") };
        auto changes = decodeChanges(absl::StrCat(R"({"events":[)", sound, ",", absl::StrJoin(odd, ","), ",", lastSound, R"(],"currentRev":420})"), errors);
        REQUIRE(changes);
        REQUIRE(changes->changes.size() == 2 + std::size(odd));
        CHECK(changes->changes.back().value == "node-1");
        for (std::size_t n = 1; n <= std::size(odd); ++n)
            CHECK(changes->changes[n].value == "");
        REQUIRE(errors.size() == std::size(odd));
        for (std::size_t n = 0; n < errors.size(); ++n)
            CHECK(absl::StartsWith(errors[n].message, absl::StrCat("servers/i-", n + 2)));
    }
    SECTION("a value as long as the documents of its kind may be is read, a longer one is not, and keys of no kind are not kept")
    {
        const std::pair<const char*, std::size_t> longest[] = { { "op/config", mebibyte }, { "op/rollout/s", 65536 }, { "skylarkhitch/rollout/s", 262144 }, { "servers/i-1", 65536 }, { "skylarkhitch/instances/edge-2", 65536 }, { "status/rollout/s", 0 } };
        for (const auto& [key, bytes] : longest) {
            for (auto more : { 0, 1 }) {
                CAPTURE(key, more);
                auto changes = decodeChanges(absl::StrCat(R"({"events":[)", item(absl::StrCat("\"", key, "\""), encoded(bytes + static_cast<std::size_t>(more)), "412"), R"(],"currentRev":420})"), errors);
                REQUIRE(changes);
                CHECK(changes->changes.at(0).value->size() == (more ? 0 : bytes));
                CHECK(errors.size() == (more && bytes > 0 ? 1 : 0));
                errors.clear();
            }
        }
    }
    SECTION("a page without a key is no end of a read that goes on")
    {
        CHECK_FALSE(decodePage(R"({"items":[{}],"morePages":true,"currentRev":420})", errors));
        CHECK(decodePage(R"({"items":[{}],"morePages":false,"currentRev":420})", errors));
    }
}
