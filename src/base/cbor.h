#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

/// @return the CBOR encoding of a value.
std::string toCbor(const nlohmann::json& value);

/// Decodes a single CBOR item that spans the whole input. Never throws.
///
/// Rejects indefinite lengths, tags, more than 16 levels of nesting and more than a million items. The JSON
/// library recurses for each level of nesting and each chunk of an indefinite-length string, so that without
/// these limits an input of 0x7f bytes would overflow the stack.
///
/// @return std::nullopt if the input is malformed or exceeds a limit.
std::optional<nlohmann::json> fromCbor(std::string_view bytes);

} // namespace lacewing
