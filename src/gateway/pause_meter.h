#pragma once

#include "base/clock.h"

#include <algorithm>
#include <optional>

namespace lacewing::gateway {

/// Measures the longest pause between two events of a stream from one engine.
class PauseMeter {
public:
    /// Records the arrival of an event.
    void event(MonotonicTime now)
    {
        if (m_last)
            m_longest = std::max(m_longest, now - *m_last);
        m_last = now;
    }
    /// Resets the measurement when the stream resumes on another engine, so that each engine is measured by
    /// its own pauses only.
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
