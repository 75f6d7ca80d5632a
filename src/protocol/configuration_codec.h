#pragma once

#include "state/configuration_encoding.h"

#include <string>

namespace lacewing {

/// Keeps a configuration as CBOR objects that are named by their SHA-256.
///
/// The root holds the load limits and the hash of one tree per section. A tree is a leaf with the entries
/// themselves, or, above 64 entries (256 adapters), a node with 16 subtrees that the entries are distributed
/// to by the hex digits of the SHA-256 of their ids. At 43,000 adapters a change of one adapter therefore
/// replaces the root, two nodes and one leaf of about 170 adapters.
class ConfigurationCodec : public ConfigurationEncoding {
public:
    EncodedConfiguration encode(const Configuration& configuration) const override;
    std::optional<std::vector<ContentHash>> references(const std::string& object) const override;
    std::optional<Configuration> decode(
        const ContentHash& root, const ConfigurationObjects& objects) const override;
    std::optional<ConfigurationDelta> update(Configuration& target, const ContentHash& from,
        const ContentHash& to, const ConfigurationObjects& objects) const override;
};

} // namespace lacewing
