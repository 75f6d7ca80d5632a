#pragma once

#include "state/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// Objects by their content hash.
using ConfigurationObjects = std::map<ContentHash, std::string>;

/// A configuration as immutable objects. The root refers to all others, directly or through each other.
struct EncodedConfiguration {
    ContentHash root;
    ConfigurationObjects objects;
};

/// Port to the form in which configurations are kept in the object store. Equal configurations have equal
/// objects, and a small change shares most objects with its predecessor.
class ConfigurationEncoding {
public:
    virtual ~ConfigurationEncoding() = default;

    /// Encodes everything but the revision.
    virtual EncodedConfiguration encode(const Configuration& configuration) const = 0;

    /// @return the objects that an object refers to, or nothing if it is malformed.
    virtual std::optional<std::vector<ContentHash>> references(const std::string& object) const = 0;

    /// @param objects at least those that the root refers to.
    /// @return the configuration with revision 0, or nothing if an object is missing or malformed.
    virtual std::optional<Configuration> decode(
        const ContentHash& root, const ConfigurationObjects& objects) const = 0;
};

} // namespace lacewing
