// Tests that documents which are nested deeply are refused, whoever sends them.

#include "config/document_tree.h"
#include "core/bounded_document.h"
#include "core/ledger/ledger_compaction.h"
#include "core/ledger/ledger_record.h"
#include "core/membership/peer_message.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace skylarkhitch;

namespace {

constexpr std::size_t manyLevels = std::size_t { 4 } << 20;

std::string repeated(const std::string& text, std::size_t n)
{
    std::string all;
    for (std::size_t k = 0; k < n; ++k)
        all += text;
    return all;
}

}

// Guards against a document of a peer or of the store that ends the processes that read it.
TEST_CASE("binary documents that are nested deeply are refused")
{
    struct Opening {
        const char* name;
        std::string bytes;
    };
    auto it = GENERATE(Opening { "lists of one", "\x81" }, Opening { "lists of any length", "\x9f" }, Opening { "maps of one", std::string("\xa1\x01") }, Opening { "maps of any length", "\xbf\x61k" },
        Opening { "strings in parts", "\x7f" }, Opening { "bytes in parts", "\x5f" }, Opening { "tags", "\xc1" });
    CAPTURE(it.name);
    auto bytes = repeated(it.bytes, manyLevels / it.bytes.size());
    CHECK_FALSE(decodeEnvelope(bytes));
    CHECK_FALSE(decodeDocument(bytes));
    CHECK_FALSE(decodeRecord(bytes));
    CHECK_FALSE(decodeSegment(bytes));
    CHECK_FALSE(decodeTotals(bytes));
    SECTION("also as a part of a valid one")
    {
        auto head = std::string("\x84\x61") + "a" + "\x01\x05";
        CHECK_FALSE(decodeEnvelope(head + bytes));
        // Two items in a row, the second of which is nested deeply.
        CHECK_FALSE(decodeSegment(encodeBatch({}) + bytes));
    }
}

// Guards against a settings or configuration file that ends the process which reads it.
TEST_CASE("YAML that is nested deeply is refused")
{
    auto levels = std::size_t { 1'000'000 };
    auto text = GENERATE_COPY(repeated("[", levels), repeated("[", levels) + repeated("]", levels), repeated("{a: ", levels) + repeated("}", levels), repeated("- ", levels) + "x", repeated("? ", levels));
    std::vector<DocumentError> errors;
    parseYaml(text, "file", errors);
    CHECK_FALSE(errors.empty());
}

// Guards against a limit that refuses documents which are not nested too deeply.
TEST_CASE("the depth of a document is that of its arrays and objects")
{
    auto levels = [](std::size_t n) { return repeated("[", n) + repeated("]", n); };
    constexpr std::size_t anyNumber = std::size_t { 1 } << 30;
    SECTION("of JSON")
    {
        CHECK_NOTHROW(checkJson(levels(4), { 4, anyNumber }));
        CHECK_THROWS(checkJson(levels(5), { 4, anyNumber }));
        CHECK_THROWS(checkJson(R"({"a":[{"b":[{}]}]})", { 4, anyNumber }));
        CHECK_NOTHROW(checkJson(repeated("[],{},", 100), { 1, anyNumber }));
        CHECK_NOTHROW(checkJson(R"(["[[[[","\"[[[[","\\","{{{{"])", { 1, anyNumber }));
        CHECK(parseJson(levels(maxDocumentDepth)).is_array());
        CHECK_THROWS(parseJson(levels(maxDocumentDepth + 1)));
        CHECK_THROWS(parseJson("[1"));
    }
    SECTION("of CBOR")
    {
        auto cbor = [&](std::size_t n) {
            std::string bytes;
            nlohmann::json::to_cbor(nlohmann::json::parse(levels(n)), bytes);
            return bytes;
        };
        CHECK_NOTHROW(checkCborSequence(cbor(4), { 4, anyNumber }));
        CHECK_THROWS(checkCborSequence(cbor(5), { 4, anyNumber }));
        CHECK(parseCbor(cbor(maxDocumentDepth)).is_array());
        CHECK_THROWS(parseCbor(cbor(maxDocumentDepth + 1)));
        CHECK_THROWS(parseCbor(cbor(1) + cbor(1)));
        // Members, strings, numbers of all sizes and items in a row do not add up.
        nlohmann::json wide = nlohmann::json::array();
        for (int n = 0; n < 1000; ++n)
            wide.push_back({ { "text", std::string(300, '\x9f') }, { "numbers", { n, n << 20, -n, n * 0.5, std::uint64_t { 1 } << 60 } }, { "bytes", nlohmann::json::binary(std::vector<std::uint8_t>(70000 / 100, 0x5f)) }, { "none", nullptr } });
        std::string bytes;
        nlohmann::json::to_cbor(wide, bytes);
        CHECK_NOTHROW(checkCborSequence(bytes, { 3, anyNumber }));
        CHECK_THROWS(checkCborSequence(bytes, { 2, anyNumber }));
        CHECK_NOTHROW(checkCborSequence(bytes + bytes, { 3, anyNumber }));
        // A map of the largest stated size, lengths beyond the end, and an item without the values that it states.
        CHECK_THROWS(checkCborSequence(std::string("\xbb\xff\xff\xff\xff\xff\xff\xff\xff\x01", 10)));
        CHECK_THROWS(checkCborSequence(std::string("\x5b\xff\xff\xff\xff\xff\xff\xff\xff", 9)));
        CHECK_THROWS(checkCborSequence("\x9b\x01"));
        CHECK_THROWS(checkCborSequence("\x82\x01"));
    }
}
