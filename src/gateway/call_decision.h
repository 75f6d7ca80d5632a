#pragma once

#include "gateway/exchange_end.h"

#include <optional>

namespace lacewing::gateway {

/// What a call has come to, without the exchange that is being decided on, except in the number of sends.
struct CallProgress {
    /// Whether the route lets the request run more than once.
    bool mayRepeat = false;
    /// Maximum number of runs, if the request may run more than once.
    int maximumAttempts = 1;
    int sends = 0;
    /// Number of sends after which the request may have run.
    int possibleRuns = 0;
    /// Whether the caller has got a part of the response.
    bool hasStartedResponse = false;
    /// Whether a stream can be resumed after the last event that the caller has got.
    bool canResume = false;
    /// Whether another upstream may get the request. Counts only after a failure on a route that allows
    /// repeats.
    bool hasAlternative = false;
};

enum class CallStep {
    /// The upstream's response goes to the caller.
    Forward,
    /// The rest of the stream is requested from another upstream.
    Resume,
    /// The request is sent to another upstream.
    Resend,
    /// The exchange goes on.
    Wait,
    /// The caller is told that the request has not run and never will.
    Refuse,
    /// The caller is told that the request has failed, and may have run.
    Fail,
    /// The response that the caller has got a part of is cut off.
    Abort,
};

/// @return the step's name in snake_case, for logs.
const char* toString(CallStep step);

struct CallDecision {
    CallStep step = CallStep::Abort;
    /// The step in its place if the retry allowance is used up; nothing if the step doesn't draw on it.
    std::optional<CallStep> ifDenied = std::nullopt;
};

/// Decides what becomes of a call when an exchange has ended. All that may send a request again, or tell its
/// caller that it has not run, is decided here.
///
/// Load pattern: upstreams reject requests, fail, fall silent and break off responses under load, and a
/// request that may run only once must not run twice, nor be refused as not run if it may have run.
CallDecision decide(ExchangeEnd end, const CallProgress& progress);

/// Decides how a call ends that no upstream is to get any more.
///
/// @param possibleRuns number of sends after which the request may have run.
/// @param hasStartedResponse whether the caller has got a part of the response.
/// @return Refuse, Fail or Abort.
CallStep decideEnd(int possibleRuns, bool hasStartedResponse);

} // namespace lacewing::gateway
