#pragma once

#include "base/clock.h"
#include "base/request_rate.h"

#include <optional>
#include <utility>
#include <vector>

namespace lacewing::experiment {

/// The limit that a simulated upstream states, and the requests that it gets meanwhile.
class StatedLimit {
public:
    /// States another limit from now on, or none.
    void state(std::optional<RequestRate> rate, MonotonicTime now) { m_history.emplace_back(now, rate); }
    std::optional<RequestRate> rate() const { return m_history.back().second; }
    /// Records a request.
    void requestArrived(MonotonicTime now) { m_arrivals.push_back(now); }
    /// @return the largest number of requests in a window by the number that the limits allow there; at most
    /// 1
    ///     if the limits were kept.
    double worstRatio() const;

private:
    /// @return the requests that are allowed in (begin, end], or nothing unless a limit has been stated for
    /// the
    ///     settling time before and through all of it.
    std::optional<double> allowed(MonotonicTime begin, MonotonicTime end) const;

    /// Limits, each with the time from which it holds.
    std::vector<std::pair<MonotonicTime, std::optional<RequestRate>>> m_history { { MonotonicTime(),
        std::nullopt } };
    std::vector<MonotonicTime> m_arrivals;
};

} // namespace lacewing::experiment
