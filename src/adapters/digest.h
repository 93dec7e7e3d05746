#pragma once

// SHA-256 digests and message authentication codes (OpenSSL).

#include <string>
#include <string_view>

namespace skylarkhitch {

// Lower-case hexadecimal SHA-256.
std::string sha256Hex(std::string_view);

// HMAC-SHA-256, 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view message);

// Compares two strings in time that does not depend on the position of the first difference. Returns false at
// once if their lengths differ.
bool equalInConstantTime(std::string_view, std::string_view);

}
