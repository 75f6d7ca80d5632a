#pragma once

#include "base/clock.h"
#include "gateway/serving_configuration.h"

#include <deque>
#include <map>

namespace lacewing::gateway {

/// Limits the retries that all hosts together may send to a service.
struct RetryLimits {
    /// Retries per request.
    double ratio = 0.2;
    /// Retries per window that are allowed regardless of the number of requests.
    double fixedAllowance = 0;
    Duration window = std::chrono::seconds(10);
};

/// Retry budget of this host for each service, over a sliding window.
///
/// Load pattern: a service fails, and retries multiply the requests that it gets from all hosts at once. Each
/// host uses only the ratio of its own requests and an equal share of the fixed allowance, so the limit for
/// all hosts holds without communication between them.
class RetryAllowance {
public:
    explicit RetryAllowance(RetryLimits limits)
        : m_limits(limits)
    {
    }

    void setLimits(const RetryLimits& limits) { m_limits = limits; }
    /// @param hosts number of hosts that share the fixed allowance.
    void setHostCount(size_t hosts) { m_hosts = hosts; }

    void countRequest(const ServiceId& service, MonotonicTime now);
    /// Takes one retry from the budget.
    ///
    /// @return false if the budget is used up, so that the request must not be retried.
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
