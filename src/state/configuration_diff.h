#pragma once

#include "state/configuration.h"

#include <string>
#include <vector>

namespace lacewing {

/// A difference between two configurations in one field, list item or whole entry.
struct ConfigurationChange {
    enum class Kind { Added, Removed, Changed };

    Kind kind = Kind::Changed;
    /// "workspace", "key", "adapter", "upstream", "route" or "loadLimits".
    std::string subject;
    std::string id;
    /// Name of the changed field; empty if the whole entry was added or removed.
    std::string field;
    /// Old and new value with units; empty if there is no such value.
    std::string before;
    std::string after;

    /// @return the change on one line, for example "workspace lagos: rate 100 tokens/s -> 200 tokens/s".
    std::string text() const;
};

/// @return the changes that turn `before` into `after`, in the order of sections; revisions are not
/// compared.
std::vector<ConfigurationChange> diffConfigurations(const Configuration& before, const Configuration& after);

} // namespace lacewing
