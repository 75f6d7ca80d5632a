#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>

namespace lacewing {

/// Limits retries to a share of recent requests. Load pattern: a failing fleet, whose load unlimited retries
/// would multiply.
///
/// Over a window of ten seconds, it allows retries of 20 % of the requests plus 3 for each second.
class RetryBudget {
public:
    /// @param clock must outlive the budget.
    explicit RetryBudget(const Clock& clock);

    /// Counts a request that is not a retry.
    void countRequest();

    /// Counts a retry if the budget has room for it.
    ///
    /// @return false if the retry must not be made.
    bool tryRetry();

private:
    static constexpr int64_t windowSeconds = 10;

    struct Slot {
        int64_t second = 0;
        int64_t requests = 0;
        int64_t retries = 0;
    };

    int64_t currentSecond() const;
    Slot& currentSlot();

    const Clock& m_clock;
    MonotonicTime m_start;
    std::array<Slot, windowSeconds> m_slots {};
};

} // namespace lacewing
