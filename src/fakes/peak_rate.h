#pragma once

#include "base/clock.h"

#include <algorithm>
#include <deque>

namespace lacewing {

/// The highest number of calls in any interval of one second.
class PeakRate {
public:
    void count(MonotonicTime now)
    {
        m_recent.push_back(now);
        while (m_recent.front() <= now - std::chrono::seconds(1))
            m_recent.pop_front();
        m_peak = std::max(m_peak, m_recent.size());
    }

    size_t peak() const { return m_peak; }

private:
    std::deque<MonotonicTime> m_recent;
    size_t m_peak = 0;
};

} // namespace lacewing
