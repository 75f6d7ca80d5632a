#pragma once

#include "state/configuration_encoding.h"

#include <set>
#include <vector>

namespace lacewing {

/// The configuration objects that a daemon holds, with the references between them.
class ObjectCache {
public:
    /// @param encoding must outlive the cache.
    explicit ObjectCache(const ConfigurationEncoding& encoding)
        : m_encoding(encoding)
    {
    }

    /// Adds an object.
    ///
    /// @return false if the content doesn't match the hash or is malformed.
    bool add(const ContentHash& hash, const std::string& content);

    /// @return the content, or nothing.
    const std::string* find(const ContentHash& hash) const;

    /// @return the objects that a root refers to and that are not here, as far as they are known.
    std::set<ContentHash> missing(const ContentHash& root) const;

    /// @return the root and everything here that it refers to.
    std::set<ContentHash> reachable(const ContentHash& root) const;

    /// Drops all objects that none of the roots refers to.
    void retain(const std::vector<ContentHash>& roots);

    const ConfigurationObjects& objects() const { return m_objects; }

private:
    void visit(const ContentHash& hash, std::set<ContentHash>& present, std::set<ContentHash>& missing) const;

    const ConfigurationEncoding& m_encoding;
    ConfigurationObjects m_objects;
    std::map<ContentHash, std::vector<ContentHash>> m_references;
};

} // namespace lacewing
