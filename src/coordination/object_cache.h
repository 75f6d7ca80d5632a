#pragma once

#include "state/configuration_encoding.h"

#include <set>
#include <vector>

namespace lacewing {

/// Configuration objects held by a daemon, with the references between them.
class ObjectCache {
public:
    /// @param encoding must outlive the cache.
    explicit ObjectCache(const ConfigurationEncoding& encoding)
        : m_encoding(encoding)
    {
    }

    /// Adds an object.
    ///
    /// @return false if the content does not match the hash or is malformed.
    bool add(const ContentHash& hash, const std::string& content);

    /// @return the content, or nullptr if the object is not in the cache.
    const std::string* find(const ContentHash& hash) const;

    /// @return the known objects that a root refers to, directly or indirectly, and that are not in the
    /// cache. References of missing objects are unknown.
    std::set<ContentHash> missing(const ContentHash& root) const;

    /// @return the cached objects that are reachable from a root, including the root.
    std::set<ContentHash> reachable(const ContentHash& root) const;

    /// Removes all objects that are not reachable from any of the roots.
    void retain(const std::vector<ContentHash>& roots);

    const ConfigurationObjects& objects() const { return m_objects; }

private:
    void visit(const ContentHash& hash, std::set<ContentHash>& present, std::set<ContentHash>& missing) const;

    const ConfigurationEncoding& m_encoding;
    ConfigurationObjects m_objects;
    std::map<ContentHash, std::vector<ContentHash>> m_references;
};

} // namespace lacewing
