#pragma once

#include "base/ids.h"

#include <string_view>

namespace lacewing {

/// @return the SHA-256 of the content.
ContentHash contentHashOf(std::string_view content);

} // namespace lacewing
