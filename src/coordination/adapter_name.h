#pragma once

#include "base/ids.h"

#include <optional>
#include <string>

namespace lacewing {

/// A name under which an engine holds an adapter.
struct AdapterName {
    AdapterKey adapter;
    /// Fencing number of the owner that loaded it; none in plain names.
    std::optional<FencingNumber> fence;

    /// @return `adapter@version`, or `adapter@version#fence`.
    std::string toString() const;

    /// @return nothing if the text is not such a name.
    static std::optional<AdapterName> parse(const std::string& text);
};

} // namespace lacewing
