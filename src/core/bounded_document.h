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
#include <string_view>

namespace skylarkhitch {

// Arrays and objects in each other, the outermost included.
constexpr std::size_t maxDocumentDepth = 64;
// Values of a document, those in arrays and objects included.
constexpr std::size_t maxDocumentValues = std::size_t { 1 } << 17;

// Limits of a document. Of CBOR, the depth is at most maxDocumentDepth.
struct DocumentBounds {
    std::size_t depth = maxDocumentDepth;
    std::size_t values = maxDocumentValues;
};

// Throws if the text exceeds the bounds. Whether it is JSON is left to the parser.
void checkJson(std::string_view text, DocumentBounds = {});
// Throws if one of the CBOR items, any number of which may follow each other, exceeds the bounds or is not as instances write it: without
// tags, and with a length for all that has one.
void checkCborSequence(std::string_view bytes, DocumentBounds = {});
// Check a document and parse it.
nlohmann::json parseJson(const std::string& text);
nlohmann::json parseCbor(const std::string& bytes);
// The position of the quote that ends a string of JSON, from the one that begins it; npos if there is none.
std::size_t endOfString(std::string_view text, std::size_t quote);

// The largest whole number that all readers of JSON read exactly. Sums of it over thousands of terms do not overflow.
constexpr std::int64_t maxWholeNumber = std::int64_t { 1 } << 53;
// The largest sum that instances tell each other. Two of them can be added.
constexpr std::int64_t maxSum = std::int64_t { 1 } << 60;
// The longest time that a document may state: a year, so that it can be added to any point in time.
constexpr Milliseconds maxStatedTime { std::chrono::hours(24 * 365) };
// Points in time that may be stated, in microseconds since the epoch: some thousand years.
constexpr std::int64_t maxStatedMicroseconds = 100000000000000000;

// The lowest and the highest value that is allowed.
struct IntegerRange {
    std::int64_t min = 0;
    std::int64_t max = maxWholeNumber;
};
struct NumberRange {
    double min = 0;
    double max = 1e9;
};

// Whole numbers; booleans, texts and fractions are none. The first throws if the number is out of the range, the second takes the nearest
// end of it.
std::int64_t integerFrom(const nlohmann::json&, IntegerRange);
std::int64_t clampedIntegerFrom(const nlohmann::json&, IntegerRange);
std::uint64_t unsignedFrom(const nlohmann::json&);
// Any numbers, likewise.
double numberFrom(const nlohmann::json&, NumberRange);
double clampedNumberFrom(const nlohmann::json&, NumberRange);
// A time in milliseconds up to maxStatedTime, a fraction of which is dropped.
Milliseconds timeFrom(const nlohmann::json&);
// What messages of peers state: a count or sum, which is never negative, and an age. Values out of the range are taken as the nearest
// end of it, since a message that is dropped makes its sender look dead.
std::int64_t countFrom(const nlohmann::json&);
Milliseconds ageFrom(const nlohmann::json&, Milliseconds min = Milliseconds(0));
TimePoint timePointFrom(const nlohmann::json&);

// Throws if the field is absent or no array. Loops over other values find one item in them, or none.
const nlohmann::json& arrayField(const nlohmann::json& object, const char* name);
// Read a field of an object, or take the given value if it is absent. Errors name the field.
std::int64_t integerField(const nlohmann::json& object, const char* name, IntegerRange, std::optional<std::int64_t> ifAbsent = {});
double numberField(const nlohmann::json& object, const char* name, NumberRange, std::optional<double> ifAbsent = {});
Milliseconds timeField(const nlohmann::json& object, const char* name, std::optional<Milliseconds> ifAbsent = {});

}
