// Tests that documents which are nested deeply are refused, whoever sends them.

#include "core/document_depth.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;

namespace {

std::string repeated(const std::string& text, std::size_t n)
{
    std::string all;
    for (std::size_t k = 0; k < n; ++k)
        all += text;
    return all;
}

}

// Guards against a limit that refuses documents which are not nested too deeply.
TEST_CASE("the depth of a document is that of its arrays and objects")
{
    auto levels = [](std::size_t n) { return repeated("[", n) + repeated("]", n); };
    SECTION("of JSON")
    {
        CHECK_FALSE(isJsonDeeperThan(levels(4), 4));
        CHECK(isJsonDeeperThan(levels(5), 4));
        CHECK(isJsonDeeperThan(R"({"a":[{"b":[{}]}]})", 4));
        CHECK_FALSE(isJsonDeeperThan(repeated("[],{},", 100), 1));
        CHECK_FALSE(isJsonDeeperThan(R"(["[[[[","\"[[[[","\\","{{{{"])", 1));
        CHECK(parseBoundedJson(levels(maxDocumentDepth)).is_array());
        CHECK(parseBoundedJson(levels(maxDocumentDepth + 1)).is_discarded());
        CHECK(parseBoundedJson("[1").is_discarded());
    }
    SECTION("of CBOR")
    {
        auto cbor = [&](std::size_t n) {
            std::string bytes;
            nlohmann::json::to_cbor(nlohmann::json::parse(levels(n)), bytes);
            return bytes;
        };
        CHECK_FALSE(isCborDeeperThan(cbor(4), 4));
        CHECK(isCborDeeperThan(cbor(5), 4));
        CHECK(decodeBoundedCbor(cbor(maxDocumentDepth)).is_array());
        CHECK_THROWS(decodeBoundedCbor(cbor(maxDocumentDepth + 1)));
        // Members, strings, numbers of all sizes and items in a row do not add up.
        nlohmann::json wide = nlohmann::json::array();
        for (int n = 0; n < 1000; ++n)
            wide.push_back({ { "text", std::string(300, '\x9f') }, { "numbers", { n, n << 20, -n, n * 0.5, std::uint64_t { 1 } << 60 } }, { "bytes", nlohmann::json::binary(std::vector<std::uint8_t>(70000 / 100, 0x5f)) }, { "none", nullptr } });
        std::string bytes;
        nlohmann::json::to_cbor(wide, bytes);
        CHECK_FALSE(isCborDeeperThan(bytes, 3));
        CHECK(isCborDeeperThan(bytes, 2));
        CHECK_FALSE(isCborDeeperThan(bytes + bytes, 3));
        // A map of the largest stated size, and lengths beyond the end.
        CHECK_FALSE(isCborDeeperThan(std::string("\xbb\xff\xff\xff\xff\xff\xff\xff\xff\x01", 10), 1));
        CHECK_FALSE(isCborDeeperThan(std::string("\x5b\xff\xff\xff\xff\xff\xff\xff\xff", 9), 1));
        CHECK_FALSE(isCborDeeperThan("\x9b\x01", 1));
    }
}
