// Tests documents that instances send each other in a compressed form.

#include "adapters/compression.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace skylarkhitch;

TEST_CASE("a compressed document is read as it was written, or not at all")
{
    std::string document;
    for (int n = 0; n < 1000; ++n)
        absl::StrAppend(&document, "{\"name\":\"route-", n, "\",\"prefix\":\"/r", n, "/\",\"timeoutMs\":3000},");
    auto compressed = compress(document);
    constexpr std::size_t limit = std::size_t { 1 } << 20;

    SECTION("it is much smaller")
    {
        CHECK(compressed.size() < document.size() / 5);
        CHECK(decompress(compressed, limit) == document);
        CHECK(decompress(compress(""), limit) == "");
    }
    SECTION("one that is cut after any byte, or followed by others, is none")
    {
        for (std::size_t n = 0; n < compressed.size(); n += 7)
            CHECK_FALSE(decompress(compressed.substr(0, n), limit));
        CHECK_FALSE(decompress(compressed + "x", limit));
        CHECK_FALSE(decompress("{\"version\":3}", limit));
    }
    SECTION("one that is longer than allowed is none, and takes no more memory than that")
    {
        CHECK(decompress(compressed, document.size()) == document);
        CHECK_FALSE(decompress(compressed, document.size() - 1));
        CHECK_FALSE(decompress(compress(std::string(50 * limit, 'x')), limit));
    }
}
