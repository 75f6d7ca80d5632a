#pragma once

#include "state/configuration_fields.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewing {

/// Reads a number with its unit, for example `30s` as milliseconds or `1000 tokens/s`. The space before the
/// unit may be left out.
///
/// @return nothing if the number or the unit is missing, wrong or out of range.
std::optional<int64_t> parseQuantity(const std::string& text, FieldUnit unit);

/// As parseQuantity(), but allows a fraction.
std::optional<double> parseFraction(const std::string& text, FieldUnit unit);

/// @return an example of how a number with this unit is written.
const char* quantityExample(FieldUnit unit);

} // namespace lacewing
