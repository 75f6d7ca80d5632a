#pragma once

#include "state/configuration.h"

#include <string>
#include <vector>

namespace lacewing {

/// A rule that a configuration breaks.
struct ConfigurationProblem {
    /// Where, for example {"adapters", "night-tour", "workspace"}.
    std::vector<std::string> path;
    std::string what;
    /// What to write instead.
    std::string instead;

    /// @return the problem on one line.
    std::string text() const;
};

/// Checks ranges, references and combinations of values.
///
/// @return all problems; empty if the configuration may be put in force.
std::vector<ConfigurationProblem> checkConfiguration(const Configuration& configuration);

} // namespace lacewing
