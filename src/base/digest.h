#pragma once

#include <string>
#include <string_view>

namespace lacewing {

/// @return the SHA-256 digest of the content in lower-case hex.
std::string sha256Hex(std::string_view content);

/// @return the HMAC-SHA-256 of the content, keyed with the secret, in lower-case hex.
std::string hmacSha256Hex(std::string_view secret, std::string_view content);

/// Compares two texts in a time that depends only on their lengths, to prevent timing attacks.
bool equalInConstantTime(std::string_view a, std::string_view b);

/// @return whether the text is formatted as a SHA-256 digest in lower-case hex.
bool isSha256Hex(std::string_view text);

} // namespace lacewing
