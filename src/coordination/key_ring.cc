#include "coordination/key_ring.h"

#include "base/digest.h"

#include <utility>

namespace lacewing {

namespace {

constexpr size_t indexDigits = 8;

std::string indexOf(const std::string& hash)
{
    return hash.substr(0, indexDigits);
}

} // namespace

const KeyConfig* KeyRing::find(std::string_view presentedKey) const
{
    return findHash(hashOf(m_secret, presentedKey));
}

bool KeyRing::grantsAccess(const std::string& hash, const WorkspaceId& workspace) const
{
    const KeyConfig* key = findHash(hash);
    return key != nullptr && key->workspace == workspace;
}

std::vector<KeyConfig> KeyRing::update(const std::vector<KeyConfig>& keys)
{
    Index previous = std::exchange(m_index, {});
    for (const KeyConfig& key : keys)
        m_index.emplace(indexOf(key.hash), key);
    std::vector<KeyConfig> withdrawn;
    for (auto& [index, key] : previous) {
        if (!grantsAccess(key.hash, key.workspace))
            withdrawn.push_back(std::move(key));
    }
    return withdrawn;
}

std::string KeyRing::hashOf(std::string_view secret, std::string_view presentedKey)
{
    return hmacSha256Hex(secret, presentedKey);
}

const KeyConfig* KeyRing::findHash(const std::string& hash) const
{
    const auto [first, last] = m_index.equal_range(indexOf(hash));
    const KeyConfig* found = nullptr;
    for (auto candidate = first; candidate != last; ++candidate) {
        if (equalInConstantTime(candidate->second.hash, hash))
            found = &candidate->second;
    }
    return found;
}

} // namespace lacewing
