#pragma once

#include "base/clock.h"
#include "state/outcome.h"

#include <optional>
#include <string>

namespace lacewing {

/// Error response sent to the caller of a rejected or failed request.
struct RefusalAnswer {
    /// HTTP status.
    int status = 0;
    /// One of the codes in state/refusal.h.
    std::string code;
    std::string message;
    Outcome outcome = Outcome::RefusedNotRun;
    /// Time after which a retry of the same request may succeed; std::nullopt if it never will.
    std::optional<Duration> retryAfter;
};

} // namespace lacewing
