#include "gateway/call_decision.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace lacewing::gateway;

namespace {

constexpr ExchangeEnd allEnds[] = { ExchangeEnd::NotSent, ExchangeEnd::NotExecuted,
    ExchangeEnd::AmbiguousRejection, ExchangeEnd::Broken, ExchangeEnd::Failed, ExchangeEnd::Unverified,
    ExchangeEnd::Answered, ExchangeEnd::Streamed, ExchangeEnd::Silent };
constexpr int attemptsOfRepeatable = 2;
constexpr int mostSends = 4;

/// Calls visit for all that a call may have come to when an exchange ends.
void forAllProgress(const std::function<void(const CallProgress& progress)>& visit)
{
    for (int bits = 0; bits < 16; ++bits) {
        CallProgress progress;
        progress.mayRepeat = (bits & 1) != 0;
        progress.hasStartedResponse = (bits & 2) != 0;
        progress.canResume = (bits & 4) != 0;
        progress.hasAlternative = (bits & 8) != 0;
        progress.maximumAttempts = progress.mayRepeat ? attemptsOfRepeatable : 1;
        for (progress.sends = 1; progress.sends <= mostSends; ++progress.sends) {
            for (progress.possibleRuns = 0; progress.possibleRuns < progress.sends; ++progress.possibleRuns)
                visit(progress);
        }
    }
}

/// @return the steps that the decision may lead to.
std::vector<CallStep> stepsOf(const CallDecision& decision)
{
    std::vector<CallStep> steps { decision.step };
    if (decision.ifDenied)
        steps.push_back(*decision.ifDenied);
    return steps;
}

bool sendsAgain(CallStep step)
{
    return step == CallStep::Resend || step == CallStep::Resume;
}

/// @return the decision as text: the step, and after a slash the one if the allowance is used up.
std::string text(const CallDecision& decision)
{
    const std::string step = toString(decision.step);
    return decision.ifDenied ? step + "/" + toString(*decision.ifDenied) : step;
}

/// One row of the table: what follows the end of the first exchange of a call.
struct Row {
    ExchangeEnd end;
    /// The request may run once; it may run more often; the caller has a part of a stream that can be
    /// resumed; or that can't.
    const char* once;
    const char* repeatable;
    const char* resumable;
    const char* partial;
};

constexpr Row table[] = {
    { ExchangeEnd::NotSent, "resend", "resend", "resume/abort", "abort" },
    { ExchangeEnd::NotExecuted, "resend/refuse", "resend/refuse", "resume/abort", "abort" },
    { ExchangeEnd::AmbiguousRejection, "fail", "resend/fail", "resume/abort", "abort" },
    { ExchangeEnd::Broken, "fail", "resend/fail", "resume/abort", "abort" },
    { ExchangeEnd::Failed, "forward", "resend/forward", "resume/abort", "abort" },
    { ExchangeEnd::Unverified, "fail", "fail", "resume/abort", "abort" },
    { ExchangeEnd::Answered, "forward", "forward", "resume/abort", "abort" },
    { ExchangeEnd::Streamed, "forward", "forward", "forward", "forward" },
    { ExchangeEnd::Silent, "wait", "resend/wait", "resume/abort", "abort" },
};

CallProgress firstSend(bool mayRepeat, bool hasStartedResponse = false)
{
    CallProgress progress;
    progress.sends = 1;
    progress.mayRepeat = mayRepeat;
    progress.maximumAttempts = mayRepeat ? attemptsOfRepeatable : 1;
    progress.hasStartedResponse = hasStartedResponse;
    progress.canResume = hasStartedResponse && mayRepeat;
    progress.hasAlternative = true;
    return progress;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallDecisionTest)

BOOST_AUTO_TEST_CASE(FollowsTheTableAfterTheFirstExchange)
{
    BOOST_TEST(std::size(table) == std::size(allEnds));
    for (const Row& row : table) {
        BOOST_TEST_CONTEXT(toString(row.end))
        {
            BOOST_TEST(text(decide(row.end, firstSend(false))) == row.once);
            BOOST_TEST(text(decide(row.end, firstSend(true))) == row.repeatable);
            BOOST_TEST(text(decide(row.end, firstSend(true, true))) == row.resumable);
            BOOST_TEST(text(decide(row.end, firstSend(false, true))) == row.partial);
        }
    }
}

// Guards against a second run of a request that may run once.
BOOST_AUTO_TEST_CASE(ARequestThatMayRunOnceIsNotSentAgainOnceItMayHaveRun)
{
    forAllProgress([](const CallProgress& progress) {
        for (const ExchangeEnd end : allEnds) {
            if (progress.mayRepeat || (progress.possibleRuns == 0 && !mayHaveRun(end)))
                continue;
            for (const CallStep step : stepsOf(decide(end, progress)))
                BOOST_TEST(!sendsAgain(step));
        }
    });
}

// Guards against a false promise that a request has not run.
BOOST_AUTO_TEST_CASE(ARequestThatMayHaveRunIsNotRefused)
{
    forAllProgress([](const CallProgress& progress) {
        for (const ExchangeEnd end : allEnds) {
            if (progress.possibleRuns == 0 && !mayHaveRun(end) && !progress.hasStartedResponse)
                continue;
            for (const CallStep step : stepsOf(decide(end, progress)))
                BOOST_TEST((step != CallStep::Refuse));
        }
    });
}

BOOST_AUTO_TEST_CASE(RunsAndSendsAreBounded)
{
    forAllProgress([](const CallProgress& progress) {
        for (const ExchangeEnd end : allEnds) {
            const int runs = progress.possibleRuns + (mayHaveRun(end) ? 1 : 0);
            const bool isExhausted
                = progress.sends >= mostSends || (runs > 0 && runs >= progress.maximumAttempts);
            for (const CallStep step : stepsOf(decide(end, progress)))
                BOOST_TEST(!(sendsAgain(step) && isExhausted));
        }
    });
}

// Guards against a second response after a part of one, and against one that is cut off and looks complete.
BOOST_AUTO_TEST_CASE(AResponseThatHasStartedIsResumedFinishedOrCutOff)
{
    forAllProgress([](const CallProgress& progress) {
        if (!progress.hasStartedResponse)
            return;
        for (const ExchangeEnd end : allEnds) {
            for (const CallStep step : stepsOf(decide(end, progress))) {
                const bool isWhole = step == CallStep::Forward && end == ExchangeEnd::Streamed;
                BOOST_TEST((isWhole || step == CallStep::Resume || step == CallStep::Abort));
            }
        }
    });
}

BOOST_AUTO_TEST_CASE(OnlyAWholeResponseThatPromisesNothingIsForwarded)
{
    const std::set<ExchangeEnd> wholeEnds { ExchangeEnd::Failed, ExchangeEnd::Answered,
        ExchangeEnd::Streamed };
    forAllProgress([&wholeEnds](const CallProgress& progress) {
        for (const ExchangeEnd end : allEnds) {
            for (const CallStep step : stepsOf(decide(end, progress)))
                BOOST_TEST((step != CallStep::Forward || wholeEnds.count(end) > 0));
        }
    });
}

BOOST_AUTO_TEST_CASE(ACallThatGetsNoMoreUpstreamEndsAsWhatItHasComeTo)
{
    BOOST_TEST((decideEnd(0, false) == CallStep::Refuse));
    BOOST_TEST((decideEnd(1, false) == CallStep::Fail));
    BOOST_TEST((decideEnd(0, true) == CallStep::Abort));
    BOOST_TEST((decideEnd(2, true) == CallStep::Abort));
}

BOOST_AUTO_TEST_SUITE_END()
