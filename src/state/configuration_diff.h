#pragma once

#include "state/configuration.h"

#include <string>
#include <vector>

namespace lacewing {

/// One difference between two configurations.
struct ConfigurationChange {
    enum class Kind { Added, Removed, Changed };

    Kind kind = Kind::Changed;
    /// "workspace", "key", "adapter", "upstream", "route" or "loadLimits".
    std::string subject;
    std::string id;
    /// Name of the changed field; empty if the whole entry was added or removed.
    std::string field;
    /// Values with their units; empty where there is none.
    std::string before;
    std::string after;

    /// @return the change on one line, for example "workspace lagos: rate 100 tokens/s -> 200 tokens/s".
    std::string text() const;
};

/// @return all changes that lead from one configuration to the other; revisions are not compared.
std::vector<ConfigurationChange> diffConfigurations(const Configuration& before, const Configuration& after);

} // namespace lacewing
