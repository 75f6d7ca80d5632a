#pragma once

#include "base/ids.h"

#include <optional>
#include <set>
#include <utility>

namespace lacewing::gateway {

/// The software versions whose upstreams may get a request.
class VersionFilter {
public:
    /// Accepts every version.
    VersionFilter() = default;
    explicit VersionFilter(std::set<SoftwareVersion> accepted)
        : m_accepted(std::move(accepted))
    {
    }

    bool accepts(const SoftwareVersion& version) const
    {
        return !m_accepted || m_accepted->count(version) > 0;
    }

private:
    std::optional<std::set<SoftwareVersion>> m_accepted;
};

} // namespace lacewing::gateway
