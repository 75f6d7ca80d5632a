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

/// The entries in which two configurations may differ; entries that both parts share are equal in both.
struct ConfigurationDelta {
    Configuration before;
    Configuration after;
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

    /// Turns a configuration into another by decoding only the objects in which they differ.
    ///
    /// @param target content of the root `from`. Its revision is kept.
    /// @param objects those of both configurations.
    /// @return what was replaced, or nothing if an object is missing or malformed; the target is unchanged
    /// then.
    virtual std::optional<ConfigurationDelta> update(Configuration& target, const ContentHash& from,
        const ContentHash& to, const ConfigurationObjects& objects) const = 0;
};

} // namespace lacewing
