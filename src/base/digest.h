#pragma once

#include <string>
#include <string_view>

namespace lacewing {

/// @return the SHA-256 of the content in lower-case hex.
std::string sha256Hex(std::string_view content);

/// @return the HMAC-SHA-256 of the content in lower-case hex.
std::string hmacSha256Hex(std::string_view secret, std::string_view content);

/// Compares in a time that depends only on the lengths.
bool equalInConstantTime(std::string_view a, std::string_view b);

/// @return whether the text has the form of a SHA-256 in lower-case hex.
bool isSha256Hex(std::string_view text);

} // namespace lacewing
