#pragma once

#include "gateway/run_request.h"

#include <algorithm>
#include <optional>

namespace lacewing::gateway {

/// Controls the search for an engine that admits a request: how many owners are asked, how late each of them
/// may start the request, and the retry delay for the caller if all deny it.
///
/// Load pattern: in a burst one engine has capacity while another has a queue. Only the last owner asked may
/// start the request late; the others must start it on time, so that a queue at one engine does not hold
/// requests that another could serve at once.
///
/// Has no clock and does no I/O.
class AdmissionSearch {
public:
    AdmissionSearch() = default;
    /// @param targetLatency time from the arrival to the first event within which an answer is on time.
    /// @param limit time from the arrival by which the caller must have its final answer.
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

    /// Counts an attempt and sets how late the owner may start the request.
    ///
    /// @param choices number of candidate engines, including the one that is asked.
    void prepare(RunRequest& request, size_t choices)
    {
        ++m_attempts;
        const bool isLast = choices == 1 || m_attempts >= maximumAttempts;
        const auto patience = std::chrono::duration_cast<Duration>(latestStartFactor * m_targetLatency);
        const Duration useful = std::min(patience, m_limit - startMargin);
        request.onTimeStart = m_arrival + m_targetLatency - startMargin;
        request.latestStart = isLast ? m_arrival + useful : request.onTimeStart;
        request.returnsWithin = m_limit / limitPerPause;
    }

    void denied(const RunDenial& denial)
    {
        m_isOverloaded = m_isOverloaded || denial.reason == RunRefusal::Overloaded;
        if (denial.isPromised) {
            m_retryAfter = denial.retryAfter;
            return;
        }
        if (denial.reason == RunRefusal::Overloaded || denial.reason == RunRefusal::UpstreamLimit)
            m_retryAfter = std::min(m_retryAfter.value_or(denial.retryAfter), denial.retryAfter);
    }

    /// @return whether only limits that engines state have kept the request from starting.
    bool isLimitedOnly() const { return m_retryAfter && !m_isOverloaded; }

    /// Allows one more attempt, because an engine that admitted the request did not run it.
    void allowOneMore() { m_attempts = std::min(m_attempts, maximumAttempts - 1); }

    /// @return the retry delay that an owner has promised, else the shortest that an overloaded owner
    /// suggested, but no less than shortestRetryAfter; nothing if no owner was overloaded.
    std::optional<Duration> retryAfter() const
    {
        return m_retryAfter ? std::make_optional(std::max(*m_retryAfter, shortestRetryAfter)) : std::nullopt;
    }

private:
    static constexpr int maximumAttempts = 5;
    /// Minimum time that a request needs after its start.
    static constexpr Duration startMargin = std::chrono::milliseconds(40);
    /// Multiple of the target latency after which a start is useless, since callers abandon a stream whose
    /// first event is that late.
    static constexpr double latestStartFactor = 2.2;
    /// Callers come back only if the pause is at most the time limit divided by this number.
    static constexpr int limitPerPause = 3;
    static constexpr Duration shortestRetryAfter = std::chrono::milliseconds(100);

    MonotonicTime m_arrival;
    Duration m_targetLatency {};
    Duration m_limit {};
    int m_attempts = 0;
    std::optional<Duration> m_retryAfter;
    bool m_isOverloaded = false;
};

} // namespace lacewing::gateway
