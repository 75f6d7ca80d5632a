#include "coordination/object_cache.h"

#include "base/digest.h"

namespace lacewing {

bool ObjectCache::add(const ContentHash& hash, const std::string& content)
{
    if (m_objects.count(hash) != 0)
        return true;
    if (sha256Hex(content) != hash.value())
        return false;
    std::optional<std::vector<ContentHash>> references = m_encoding.references(content);
    if (!references)
        return false;
    m_references.emplace(hash, std::move(*references));
    m_objects.emplace(hash, content);
    return true;
}

const std::string* ObjectCache::find(const ContentHash& hash) const
{
    const auto found = m_objects.find(hash);
    return found == m_objects.end() ? nullptr : &found->second;
}

std::set<ContentHash> ObjectCache::missing(const ContentHash& root) const
{
    std::set<ContentHash> present;
    std::set<ContentHash> missing;
    visit(root, present, missing);
    return missing;
}

std::set<ContentHash> ObjectCache::reachable(const ContentHash& root) const
{
    std::set<ContentHash> present;
    std::set<ContentHash> missing;
    visit(root, present, missing);
    return present;
}

void ObjectCache::retain(const std::vector<ContentHash>& roots)
{
    std::set<ContentHash> present;
    std::set<ContentHash> missing;
    for (const ContentHash& root : roots)
        visit(root, present, missing);
    for (auto object = m_objects.begin(); object != m_objects.end();) {
        if (present.count(object->first) != 0) {
            ++object;
            continue;
        }
        m_references.erase(object->first);
        object = m_objects.erase(object);
    }
}

void ObjectCache::visit(
    const ContentHash& hash, std::set<ContentHash>& present, std::set<ContentHash>& missing) const
{
    const auto found = m_references.find(hash);
    if (found == m_references.end()) {
        missing.insert(hash);
        return;
    }
    if (!present.insert(hash).second)
        return;
    for (const ContentHash& next : found->second)
        visit(next, present, missing);
}

} // namespace lacewing
