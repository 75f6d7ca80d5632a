#include "fakes/content_hash.h"

namespace lacewing {

std::string hexOf(uint64_t hash)
{
    std::string text(16, '0');
    for (size_t digit = 16; digit > 0; --digit, hash >>= 4)
        text[digit - 1] = "0123456789abcdef"[hash & 15];
    return text;
}

} // namespace lacewing
