#pragma once

#include "gateway/run_request.h"

#include <algorithm>
#include <optional>

namespace lacewing::gateway {

/// How a request looks for an engine that starts it: how many owners it asks, how late each of them may start
/// it, and when its caller should come back if none does.
///
/// Load pattern: in a burst one engine has room while another has a queue. Only the last owner asked may
/// start the request late; the others must be on time, so that a queue at one engine does not hold requests
/// that another could serve at once.
///
/// Has no clock and does no input or output.
class AdmissionSearch {
public:
    AdmissionSearch() = default;
    /// @param targetLatency time from the arrival to the first event of an answer on time.
    /// @param limit time from the arrival at which the caller must have its final answer.
    AdmissionSearch(MonotonicTime arrival, Duration targetLatency, Duration limit)
        : m_arrival(arrival)
        , m_targetLatency(targetLatency)
        , m_limit(limit)
    {
    }

    /// @return whether another owner may be asked.
    bool hasAttemptsLeft() const { return m_attempts < maximumAttempts; }

    /// @return how many owners were asked.
    int attempts() const { return m_attempts; }

    /// Counts an owner that is asked and sets how late it may start the request.
    ///
    /// @param choices engines that can be asked, this one included.
    void prepare(RunRequest& request, size_t choices)
    {
        ++m_attempts;
        const bool isLast = choices == 1 || m_attempts >= maximumAttempts;
        const auto patience = std::chrono::duration_cast<Duration>(latestStartFactor * m_targetLatency);
        const Duration useful = std::min(patience, m_limit - startMargin);
        request.onTimeStart = m_arrival + m_targetLatency - startMargin;
        request.latestStart = isLast ? m_arrival + useful : request.onTimeStart;
    }

    void denied(const RunDenial& denial)
    {
        if (denial.reason == RunRefusal::Overloaded)
            m_retryAfter = std::min(m_retryAfter.value_or(denial.retryAfter), denial.retryAfter);
    }

    /// An engine that had accepted the request did not run it; one more owner may be asked.
    void allowOneMore() { m_attempts = std::min(m_attempts, maximumAttempts - 1); }

    /// @return the earliest time after which an owner expects room, or nothing if no owner was overloaded.
    std::optional<Duration> retryAfter() const
    {
        return m_retryAfter ? std::make_optional(std::max(*m_retryAfter, shortestRetryAfter)) : std::nullopt;
    }

private:
    static constexpr int maximumAttempts = 5;
    /// Time that a request needs at the least after it was started.
    static constexpr Duration startMargin = std::chrono::milliseconds(40);
    /// Callers leave a stream whose first event is far later than its target; a start is of no use after so
    /// many times the target.
    static constexpr double latestStartFactor = 2.2;
    static constexpr Duration shortestRetryAfter = std::chrono::milliseconds(100);

    MonotonicTime m_arrival;
    Duration m_targetLatency {};
    Duration m_limit {};
    int m_attempts = 0;
    std::optional<Duration> m_retryAfter;
};

} // namespace lacewing::gateway
