#pragma once

#include "base/clock.h"
#include "base/request_rate.h"

#include <cstddef>
#include <optional>

namespace lacewing::gateway {

/// Token bucket that keeps the requests to one upstream within the rate that it has stated.
///
/// Load pattern: an upstream in need takes few requests, often less than one per second, while many callers
/// ask for it. The bucket starts empty, so that a host that takes over from another one does not repeat the
/// burst that the other has just spent. It holds no more than one request and a fraction of a second of the
/// rate, which leaves room for requests that arrive in clumps.
///
/// Has no clock and does no I/O.
class RequestPacer {
public:
    /// @param rate nothing if there is no limit.
    void setRate(std::optional<RequestRate> rate, MonotonicTime now);
    bool isLimited() const { return m_rate.has_value(); }
    /// @param ahead number of requests that start before.
    /// @return the time until a request can start after these, zero if it can start now.
    Duration waitFor(size_t ahead, MonotonicTime now) const;
    /// @return the time between two requests, zero without a limit.
    Duration interval() const { return m_rate ? m_rate->interval() : Duration::zero(); }
    /// Counts a request that starts now, or that has been promised the next start.
    void started(MonotonicTime now);

private:
    double capacity() const;
    double levelAt(MonotonicTime now) const;

    std::optional<RequestRate> m_rate;
    /// Requests that can start at once; negative if starts in the future have been promised.
    double m_level = 0;
    MonotonicTime m_updated;
};

} // namespace lacewing::gateway
