#pragma once

#include "base/clock.h"

#include <deque>
#include <utility>

namespace lacewing {

/// A value that is seen as it was some time ago.
template <typename Value> class Lagged {
public:
    explicit Lagged(Duration lag)
        : m_lag(lag)
    {
    }

    /// @param now must not decrease from call to call.
    void record(MonotonicTime now, Value value)
    {
        forget(now);
        m_history.emplace_back(now, std::move(value));
    }

    /// @return the value recorded last at or before `now` less the lag, or a default value.
    Value seen(MonotonicTime now)
    {
        forget(now);
        const bool known = !m_history.empty() && m_history.front().first <= now - m_lag;
        return known ? m_history.front().second : Value();
    }

private:
    void forget(MonotonicTime now)
    {
        while (m_history.size() > 1 && m_history[1].first <= now - m_lag)
            m_history.pop_front();
    }

    Duration m_lag;
    std::deque<std::pair<MonotonicTime, Value>> m_history;
};

} // namespace lacewing
