// Tests that odd entries of other writers and odd bytes from peers are told apart from sound ones, and that nothing else ends.

#include "core/ids.h"
#include "core/membership/fleet_heartbeat.h"
#include "core/membership/peer_message.h"
#include "core/membership/store_mirror.h"
#include "platform/store_codec.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
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
