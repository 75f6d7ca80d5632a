#pragma once

#include "state/configuration.h"

#include <string>
#include <vector>

namespace lacewing {

/// A violation of a validation rule.
struct ConfigurationProblem {
    /// Path of the invalid field, for example {"adapters", "night-tour", "workspace"}.
    std::vector<std::string> path;
    /// Description of the violation.
    std::string what;
    /// Description of a valid value.
    std::string instead;

    /// @return path, violation and valid value on one line.
    std::string text() const;
};

/// Validates the ranges, cross-references and combinations of values.
///
/// @return all problems; empty if the configuration is valid and may be activated.
std::vector<ConfigurationProblem> checkConfiguration(const Configuration& configuration);

} // namespace lacewing
