#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lacewing {

constexpr uint64_t hashStart = 0xcbf29ce484222325ULL;

/// FNV-1a, 64 bits. Equal on every platform, and the hash of a text continues from that of its prefix.
///
/// @param state hash of the text before, or hashStart.
constexpr uint64_t hashBytes(std::string_view bytes, uint64_t state = hashStart)
{
    for (const char byte : bytes) {
        state ^= static_cast<unsigned char>(byte);
        state *= 0x100000001b3ULL;
    }
    return state;
}

/// @return the hash as 16 lower-case hex digits.
std::string hexOf(uint64_t hash);

} // namespace lacewing
