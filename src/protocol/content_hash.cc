#include "protocol/content_hash.h"

#include <openssl/sha.h>

namespace lacewing {

ContentHash contentHashOf(std::string_view content)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(), digest);
    constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 0xf];
    }
    return ContentHash(hex);
}

} // namespace lacewing
