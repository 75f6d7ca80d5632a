#pragma once

#include "base/ids.h"

#include <optional>
#include <string>

namespace lacewing {

/// Name under which an adapter is loaded on an engine.
struct AdapterName {
    AdapterKey adapter;
    /// Fencing number of the owner that loaded the adapter. Unset on engines that check fencing numbers
    /// themselves.
    std::optional<FencingNumber> fence;

    /// @return `adapter@version`, or `adapter@version#fence`.
    std::string toString() const;

    /// @return std::nullopt if the text does not have the form that toString() returns.
    static std::optional<AdapterName> parse(const std::string& text);
};

} // namespace lacewing
