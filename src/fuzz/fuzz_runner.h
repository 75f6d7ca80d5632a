#pragma once

#include "fuzz/fuzz_target.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::fuzz {

/// Selects the corpus and the mutated inputs of a fuzz run.
struct FuzzOptions {
    /// Directory with one subdirectory of inputs per target.
    std::string corpus;
    /// Directory to which a failing input is written.
    std::string failures;
    uint64_t seed = 1;
    int runs = 1000;
};

/// Runs a target on its corpus and then on mutated copies of it. If an input crashes the process, a signal
/// handler writes it to a file first.
class FuzzRunner {
public:
    explicit FuzzRunner(FuzzOptions options)
        : m_options(std::move(options))
    {
    }

    /// Prints one line with the result of the target, or one with its first failure.
    ///
    /// @return whether all inputs passed; false if the corpus is empty.
    bool runTarget(FuzzTarget& target);

private:
    std::vector<std::string> readCorpus(const FuzzTarget& target) const;
    bool runInput(FuzzTarget& target, const std::string& input, const std::string& label);

    FuzzOptions m_options;
};

} // namespace lacewing::fuzz
