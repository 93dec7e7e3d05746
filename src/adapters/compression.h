#pragma once

// Compresses documents that instances send each other (zlib format, the "deflate" of HTTP).

#include <optional>
#include <string>
#include <string_view>

namespace skylarkhitch {

std::string compress(std::string_view bytes);
// Returns nullopt if the bytes are not a whole compressed document, or if it has more than `maxBytes`.
std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

}
