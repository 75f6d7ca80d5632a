#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace lacewing {

namespace {

constexpr size_t sha256Bytes = 32;
using Sha256 = std::array<unsigned char, sha256Bytes>;

std::string toHex(const Sha256& digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view content)
{
    Sha256 digest {};
    EVP_Digest(content.data(), content.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return toHex(digest);
}

std::string hmacSha256Hex(std::string_view secret, std::string_view content)
{
    Sha256 digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(content.data()), content.size(), digest.data(), &length);
    return toHex(digest);
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool isSha256Hex(std::string_view text)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == 2 * sha256Bytes && std::all_of(text.begin(), text.end(), isDigit);
}

} // namespace lacewing
