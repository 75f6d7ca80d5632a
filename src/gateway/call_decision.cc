#include "gateway/call_decision.h"

namespace lacewing::gateway {

namespace {

/// Maximum number of sends of one request, including sends that were not executed.
constexpr int maximumSends = 4;

bool mayRunAgain(const CallProgress& progress, int possibleRuns)
{
    return possibleRuns == 0 || (progress.mayRepeat && possibleRuns < progress.maximumAttempts);
}

/// @param otherwise step if the request must not be sent again.
CallDecision resendOr(bool mayResend, CallStep otherwise)
{
    if (mayResend)
        return { CallStep::Resend, otherwise };
    return { otherwise };
}

} // namespace

const char* toString(CallStep step)
{
    switch (step) {
    case CallStep::Forward:
        return "forward";
    case CallStep::Resume:
        return "resume";
    case CallStep::Resend:
        return "resend";
    case CallStep::Wait:
        return "wait";
    case CallStep::Refuse:
        return "refuse";
    case CallStep::Fail:
        return "fail";
    case CallStep::Abort:
        return "abort";
    }
    return "unknown";
}

CallDecision decide(ExchangeEnd end, const CallProgress& progress)
{
    const int possibleRuns = progress.possibleRuns + (mayHaveRun(end) ? 1 : 0);
    const bool mayResend = progress.sends < maximumSends && mayRunAgain(progress, possibleRuns);
    if (progress.hasStartedResponse) {
        if (end == ExchangeEnd::Streamed)
            return { CallStep::Forward };
        if (progress.mayRepeat && progress.canResume && mayResend)
            return { CallStep::Resume, CallStep::Abort };
        return { CallStep::Abort };
    }
    const CallStep rejection = possibleRuns == 0 ? CallStep::Refuse : CallStep::Fail;
    const bool mayResendFailure = mayResend && progress.hasAlternative;
    switch (end) {
    case ExchangeEnd::NotSent:
        // It costs the upstreams nothing, so it doesn't draw on the allowance.
        return { mayResend ? CallStep::Resend : rejection };
    case ExchangeEnd::NotExecuted:
        return resendOr(mayResend, rejection);
    case ExchangeEnd::AmbiguousRejection:
        return resendOr(mayResendFailure, CallStep::Fail);
    case ExchangeEnd::Broken:
        return resendOr(mayResend, CallStep::Fail);
    case ExchangeEnd::Failed:
        return resendOr(mayResendFailure, CallStep::Forward);
    case ExchangeEnd::Unverified:
        return { CallStep::Fail };
    case ExchangeEnd::Answered:
    case ExchangeEnd::Streamed:
        return { CallStep::Forward };
    case ExchangeEnd::Silent:
        return resendOr(mayResendFailure, CallStep::Wait);
    }
    return { CallStep::Fail };
}

CallStep decideEnd(int possibleRuns, bool hasStartedResponse)
{
    if (hasStartedResponse)
        return CallStep::Abort;
    return possibleRuns > 0 ? CallStep::Fail : CallStep::Refuse;
}

} // namespace lacewing::gateway
