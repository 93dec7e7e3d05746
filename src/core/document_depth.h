#pragma once

// Limits how deeply documents from others may be nested. The JSON library reads CBOR and copies, compares and writes a value with
// one call for each level, so that a document of many levels would overflow the stack and end the process.

#include <nlohmann/json.hpp>
#include <string_view>

namespace skylarkhitch {

// Levels of arrays and objects that a document may have.
constexpr std::size_t maxDocumentDepth = 128;

// Whether more than `limit` arrays and objects are open at the same place of the text, which need not be valid JSON.
bool isJsonDeeperThan(std::string_view text, std::size_t limit);

// Whether more than `limit` arrays, maps, tags and strings of indefinite length are open at the same place of a sequence of CBOR items.
// Malformed bytes end the sequence.
bool isCborDeeperThan(std::string_view bytes, std::size_t limit);

// Parses JSON text. The result is discarded, as by the library, if the text is invalid or has more levels than maxDocumentDepth.
template <typename Json = nlohmann::json>
Json parseBoundedJson(std::string_view text)
{
    if (isJsonDeeperThan(text, maxDocumentDepth))
        return Json(Json::value_t::discarded);
    return Json::parse(text, nullptr, false);
}

// Decodes one CBOR item. Throws std::exception if it is malformed or has more levels than maxDocumentDepth.
nlohmann::json decodeBoundedCbor(const std::string& bytes);

}
