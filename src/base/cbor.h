#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

/// @return the CBOR encoding of a value.
std::string toCbor(const nlohmann::json& value);

/// Decodes one CBOR item that fills the whole input. Never throws.
///
/// Refuses indefinite lengths, tags, more than 16 levels of nesting and more than a million items. The
/// library recurses once per level of nesting and per chunk of an indefinite string, so a frame of 0x7f bytes
/// would overflow the stack.
///
/// @return nothing if the input is malformed or exceeds a limit.
std::optional<nlohmann::json> fromCbor(std::string_view bytes);

} // namespace lacewing
