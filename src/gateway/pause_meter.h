#pragma once

#include "base/clock.h"

#include <algorithm>
#include <optional>

namespace lacewing::gateway {

/// Measures the longest pause between two events of a stream as one engine produced them.
class PauseMeter {
public:
    /// An event has arrived.
    void event(MonotonicTime now)
    {
        if (m_last)
            m_longest = std::max(m_longest, now - *m_last);
        m_last = now;
    }
    /// The stream goes on at another engine, which answers for its own pauses only.
    void restart()
    {
        m_last.reset();
        m_longest = Duration::zero();
    }
    Duration longest() const { return m_longest; }

private:
    std::optional<MonotonicTime> m_last;
    Duration m_longest {};
};

} // namespace lacewing::gateway
