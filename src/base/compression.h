#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

/// Compresses bytes in the zlib format, fast rather than small.
std::string compress(std::string_view bytes);

/// @param maximumBytes longest result that is accepted.
/// @return the bytes that were compressed, or nothing if the input is malformed, incomplete or followed by
///     further bytes, or if the result would be longer.
std::optional<std::string> decompress(std::string_view compressed, size_t maximumBytes);

} // namespace lacewing
