#include "adapters/digest.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace skylarkhitch {

std::string sha256Hex(std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
    return absl::BytesToHexString({ reinterpret_cast<const char*>(digest), size });
}

std::string hmacSha256(std::string_view key, std::string_view message)
{
    unsigned char code[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(message.data()), message.size(), code, &size);
    return { reinterpret_cast<const char*>(code), size };
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}
