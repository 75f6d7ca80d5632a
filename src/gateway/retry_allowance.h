#pragma once

#include "base/clock.h"
#include "gateway/serving_configuration.h"

#include <deque>
#include <map>

namespace lacewing::gateway {

/// How many sends beyond the first of each request a service may get, over all hosts.
struct RetryLimits {
    /// Sends for each request.
    double ratio = 0.2;
    /// Sends in a window that are always allowed.
    double fixedAllowance = 0;
    Duration window = std::chrono::seconds(10);
};

/// This host's part of the retries that a service may get.
///
/// Load pattern: a failing service turns every request into several, on all hosts at once. Each host spends
/// only what its own requests earn and an even part of the slack, so the sum holds without any messages.
class RetryAllowance {
public:
    explicit RetryAllowance(RetryLimits limits)
        : m_limits(limits)
    {
    }

    void setLimits(const RetryLimits& limits) { m_limits = limits; }
    /// @param hosts number of hosts that share the slack.
    void setHostCount(size_t hosts) { m_hosts = hosts; }

    void countRequest(const ServiceId& service, MonotonicTime now);
    /// Counts one more send of a request if it is allowed.
    ///
    /// @return false if the request must not be sent again.
    bool tryRetry(const ServiceId& service, MonotonicTime now);

private:
    struct History {
        std::deque<MonotonicTime> requests;
        std::deque<MonotonicTime> retries;
    };

    History& current(const ServiceId& service, MonotonicTime now);

    RetryLimits m_limits;
    size_t m_hosts = 1;
    std::map<ServiceId, History> m_histories;
};

} // namespace lacewing::gateway
