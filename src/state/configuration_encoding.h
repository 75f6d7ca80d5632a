#pragma once

#include "state/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// Encoded objects, keyed by content hash.
using ConfigurationObjects = std::map<ContentHash, std::string>;

/// A configuration encoded as a Merkle tree of immutable objects: the root references all other objects,
/// directly or indirectly.
struct EncodedConfiguration {
    ContentHash root;
    ConfigurationObjects objects;
};

/// The entries in which two configurations may differ; all other entries are equal in both. An entry that is
/// present in both parts may be unchanged.
struct ConfigurationDelta {
    Configuration before;
    Configuration after;
};

/// Encodes configurations for the object store. The encoding is deterministic: equal configurations have
/// equal objects, and a configuration with a small change shares most objects with its predecessor.
class ConfigurationEncoding {
public:
    virtual ~ConfigurationEncoding() = default;

    /// Encodes the configuration without its revision.
    virtual EncodedConfiguration encode(const Configuration& configuration) const = 0;

    /// @return the hashes that an object references, or std::nullopt if it is malformed.
    virtual std::optional<std::vector<ContentHash>> references(const std::string& object) const = 0;

    /// @param objects must include the root and all objects that it references.
    /// @return the configuration with revision 0, or std::nullopt if an object is missing or malformed.
    virtual std::optional<Configuration> decode(
        const ContentHash& root, const ConfigurationObjects& objects) const = 0;

    /// Updates a configuration in place, decoding only the objects that differ.
    ///
    /// @param target the configuration encoded by `from`. Its revision is kept.
    /// @param objects must include the objects of both configurations.
    /// @return the replaced entries, or std::nullopt if an object is missing or malformed; in that case the
    /// target is unchanged.
    virtual std::optional<ConfigurationDelta> update(Configuration& target, const ContentHash& from,
        const ContentHash& to, const ConfigurationObjects& objects) const = 0;
};

} // namespace lacewing
