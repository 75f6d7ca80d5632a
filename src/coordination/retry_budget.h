#pragma once

#include "base/clock.h"

#include <deque>

namespace lacewing {

/// Bounds retries to a share of recent requests, so that an outage is not made worse by its retries.
class RetryBudget {
public:
    struct Options {
        /// Retries per request ...
        double share = 0.2;
        /// ... and retries a second that are always allowed, so that a host with few requests can retry.
        double perSecond = 3;
        /// Length of the sliding window.
        Duration window = std::chrono::seconds(10);
    };

    RetryBudget()
        : RetryBudget(Options())
    {
    }
    explicit RetryBudget(Options options)
        : m_options(options)
    {
    }

    /// Counts a request, without its retries.
    void countRequest(MonotonicTime now);

    /// @return whether a retry is allowed; it is counted then.
    bool takeRetry(MonotonicTime now);

private:
    void forgetBefore(std::deque<MonotonicTime>& times, MonotonicTime time) const;

    Options m_options;
    std::deque<MonotonicTime> m_requests;
    std::deque<MonotonicTime> m_retries;
};

} // namespace lacewing
