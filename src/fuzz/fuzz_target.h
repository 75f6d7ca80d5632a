#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lacewing::fuzz {

/// A reader of input from outside that is tried with damaged input.
class FuzzTarget {
public:
    virtual ~FuzzTarget() = default;

    /// @return the name of the target and of its folder in the corpus.
    virtual std::string name() const = 0;
    /// Reads one input. A crash or a sanitizer's report is a failure as well.
    ///
    /// @return what is wrong with the result, or nothing.
    virtual std::optional<std::string> run(std::string_view input) = 0;
};

} // namespace lacewing::fuzz
