#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lacewing::fuzz {

/// A parser of untrusted input that is tested with malformed input.
class FuzzTarget {
public:
    virtual ~FuzzTarget() = default;

    /// @return the name of the target and of its subdirectory in the corpus.
    virtual std::string name() const = 0;
    /// Parses one input. A crash or a sanitizer report counts as a failure, too.
    ///
    /// @return a description of the failure, or nothing if the input passed.
    virtual std::optional<std::string> run(std::string_view input) = 0;
};

} // namespace lacewing::fuzz
