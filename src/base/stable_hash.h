#pragma once

#include <cstdint>
#include <string_view>

namespace lacewing {

/// Hashes text with FNV-1a. Unlike std::hash, the result is the same on every host and in every build.
///
/// @return the 64-bit hash, in which the last characters are poorly mixed; see stableHash().
inline uint64_t fnv1a(std::string_view text)
{
    uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

/// Hashes text with FNV-1a and a finalizer, so that similar texts get unrelated values.
///
/// @return 64 well-mixed bits. Not collision-resistant against adversarial input.
inline uint64_t stableHash(std::string_view text)
{
    uint64_t hash = fnv1a(text);
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}

} // namespace lacewing
