#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace lacewing::gateway {

/// Tells when what is known of one process of an upstream may be forgotten: once the upstream has started
/// anew, or has had no row for long.
///
/// Load pattern: rows expire in an outage of the store although the processes go on.
class ProcessAbsence {
public:
    /// @param known start of the process.
    /// @param present start of the process that the upstream's row names; nothing if there is no row.
    /// @return whether the process is gone.
    bool isGone(int64_t known, std::optional<int64_t> present, MonotonicTime now)
    {
        if (present) {
            m_since.reset();
            return *present > known;
        }
        if (!m_since)
            m_since = now;
        return now - *m_since > longestAbsence;
    }

private:
    static constexpr Duration longestAbsence = std::chrono::minutes(5);

    std::optional<MonotonicTime> m_since;
};

} // namespace lacewing::gateway
