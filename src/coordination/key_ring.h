#pragma once

#include "state/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// Maps API keys to workspaces. Keys are stored only as their HMAC-SHA-256.
class KeyRing {
public:
    /// @param secret HMAC key, identical on all daemons.
    explicit KeyRing(std::string secret)
        : m_secret(std::move(secret))
    {
    }

    /// @return the entry of the key, valid until the next update(), or nullptr if the key is unknown.
    const KeyConfig* find(std::string_view presentedKey) const;

    /// @return whether a key hash returned by an earlier find() still grants access to the workspace.
    bool grantsAccess(const std::string& hash, const WorkspaceId& workspace) const;

    /// Replaces all keys.
    ///
    /// @return the keys that no longer grant access to their workspace. The caller must cancel the requests
    /// that use them.
    std::vector<KeyConfig> update(const std::vector<KeyConfig>& keys);

    /// @return the hash that represents a key in the configuration.
    static std::string hashOf(std::string_view secret, std::string_view presentedKey);

private:
    /// Indexed by the leading digits of the hash. Looking up whole hashes would leak timing information about
    /// them.
    using Index = std::unordered_multimap<std::string, KeyConfig>;

    const KeyConfig* findHash(const std::string& hash) const;

    std::string m_secret;
    Index m_index;
};

} // namespace lacewing
