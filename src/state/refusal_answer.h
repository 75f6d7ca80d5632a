#pragma once

#include "base/clock.h"
#include "state/outcome.h"

#include <optional>
#include <string>

namespace lacewing {

/// Why a request got no answer, as told to the caller.
struct RefusalAnswer {
    /// HTTP status.
    int status = 0;
    /// One of the codes in state/refusal.h.
    std::string code;
    std::string message;
    Outcome outcome = Outcome::RefusedNotRun;
    /// When the same request may succeed; nothing if it never will.
    std::optional<Duration> retryAfter;
};

} // namespace lacewing
