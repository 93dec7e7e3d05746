#pragma once

// Decoding of JSON and CBOR that others wrote. A document is built only after a scan of its bytes has shown that it is neither nested
// too deeply nor has too many values: copies and decoders of CBOR recurse once a level, and a value takes some 70 bytes. Numbers are
// read with the range that their use allows. The functions throw std::exception if a document or a value is not as stated.

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace skylarkhitch {

// Arrays and objects in each other, the outermost included.
constexpr std::size_t maxDocumentDepth = 64;
// Values of a document, those in arrays and objects included.
constexpr std::size_t maxDocumentValues = std::size_t { 1 } << 17;

nlohmann::json parseJson(const std::string& text);
// Of CBOR, what instances write: no tags, and a length for all that has one.
nlohmann::json parseCbor(const std::string& bytes);

}
