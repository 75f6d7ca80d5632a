#pragma once

#include "state/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// Finds the workspace of a presented key. Keys are known only by their HMAC-SHA-256.
class KeyRing {
public:
    /// @param secret key of the HMAC, the same on all daemons.
    explicit KeyRing(std::string secret)
        : m_secret(std::move(secret))
    {
    }

    /// @return the entry of the key, valid until the next update(), or nothing if it is not in force.
    const KeyConfig* find(std::string_view presentedKey) const;

    /// @return whether a hash that find() returned earlier still opens the same workspace.
    bool grantsAccess(const std::string& hash, const WorkspaceId& workspace) const;

    /// Replaces all keys.
    ///
    /// @return the keys that no longer open their workspace. Requests that came with one must be cancelled.
    std::vector<KeyConfig> update(const std::vector<KeyConfig>& keys);

    /// @return the hash under which a key is kept in the configuration.
    static std::string hashOf(std::string_view secret, std::string_view presentedKey);

private:
    /// Leading digits of a hash. Looking up whole hashes would compare them in a time that depends on them.
    using Index = std::unordered_multimap<std::string, KeyConfig>;

    const KeyConfig* findHash(const std::string& hash) const;

    std::string m_secret;
    Index m_index;
};

} // namespace lacewing
