#pragma once

#include "base/stable_hash.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewing {

/// The ids of the requests that one connection has carried.
///
/// Keeps hashes of them, so that a connection that stays open for long takes little memory. Two ids with the
/// same hash count as one, which costs a connection at most.
class CarriedIds {
public:
    void add(const std::vector<std::string>& ids)
    {
        for (const std::string& id : ids)
            m_hashes.push_back(stableHash(id));
    }
    /// @return whether one of the ids has been carried.
    bool containsAny(const std::vector<std::string>& ids) const
    {
        return std::any_of(ids.begin(), ids.end(), [this](const std::string& id) {
            return std::find(m_hashes.begin(), m_hashes.end(), stableHash(id)) != m_hashes.end();
        });
    }
    /// @return whether the connection should carry no further request, since too many ids would be kept.
    bool isFull() const { return m_hashes.size() >= maximumIds; }

private:
    /// 8 KiB for each connection.
    static constexpr size_t maximumIds = 1024;

    std::vector<uint64_t> m_hashes;
};

} // namespace lacewing
