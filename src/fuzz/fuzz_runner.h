#pragma once

#include "fuzz/fuzz_target.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::fuzz {

/// How many damaged inputs a target gets, and which.
struct FuzzOptions {
    /// Folder with one folder of inputs for each target.
    std::string corpus;
    /// Where an input that fails is written to.
    std::string failures;
    uint64_t seed = 1;
    int runs = 1000;
};

/// Plays the corpus of a target and then damaged copies of it. An input that ends the process is written to a
/// file first, by a signal handler.
class FuzzRunner {
public:
    explicit FuzzRunner(FuzzOptions options)
        : m_options(std::move(options))
    {
    }

    /// @return whether no input failed; prints a line for the target and one for a failure.
    bool runTarget(FuzzTarget& target);

private:
    std::vector<std::string> readCorpus(const FuzzTarget& target) const;
    bool runInput(FuzzTarget& target, const std::string& input, const std::string& label);

    FuzzOptions m_options;
};

} // namespace lacewing::fuzz
