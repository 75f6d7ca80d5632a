#include "replay/stated_outcomes.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

namespace {

/// @return how many of the outcomes don't hold for two bookings under one id with these results.
size_t brokenOutcomes(const std::string& text, int64_t runs, const std::vector<RequestResult>& results)
{
    PreparedRequest request;
    request.route.service = "desk";
    request.route.repeatable = false;
    request.workspace = WorkspaceId("w");
    request.runKey = "w/id-1";
    UpstreamCounters after;
    after.runs["w/id-1"] = runs;
    Configuration configuration;
    configuration.workspaces[WorkspaceId("w")] = { WorkspaceId("w"), Tokens(1), Tokens(1) };
    const std::vector<PreparedRequest> requests { request, request };
    const ReplayReport report(configuration, requests, results, {}, after);
    StatedOutcomes outcomes;
    BOOST_REQUIRE(outcomes.parse("file", text));
    return outcomes.broken(report).size();
}

/// @return as above, for a booking that was answered and one that was refused.
size_t brokenOutcomes(const std::string& text, int64_t runs)
{
    RequestResult answered;
    answered.ending = RequestEnding::Answered;
    RequestResult refused;
    refused.ending = RequestEnding::RefusedNotRun;
    refused.code = "rate_limited";
    return brokenOutcomes(text, runs, { answered, refused });
}

RequestResult attempt(RequestEnding ending, const std::string& code, int sentMs, int endedMs)
{
    RequestResult result;
    result.ending = ending;
    result.code = code;
    result.sentAt = std::chrono::milliseconds(sentMs);
    result.endedAt = std::chrono::milliseconds(endedMs);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StatedOutcomesTest)

// Guards against outcomes that hold whatever was seen, also because of a misspelled name.
BOOST_AUTO_TEST_CASE(FindsWhatDoesNotHold)
{
    BOOST_TEST(brokenOutcomes("answered_share: { min: 0.5, max: 0.5 }", 1) == 0u);
    BOOST_TEST(brokenOutcomes("answered_share: { min: 0.6 }", 1) == 1u);
    BOOST_TEST(brokenOutcomes("worst_workspace.answered_share: { max: 0.4 }", 1) == 1u);
    BOOST_TEST(brokenOutcomes("refused.rate_limited: { exactly: 1 }", 1) == 0u);
    BOOST_TEST(brokenOutcomes("refused.rate_limited: { exactly: 0 }", 1) == 1u);
    BOOST_TEST(brokenOutcomes("answerd: { min: 0 }", 1) == 1u);
}

// Guards against missing that a call ran twice, or that an answered call did not run.
BOOST_AUTO_TEST_CASE(ComparesRunsWithAnswers)
{
    const std::string text = "doubled_runs: { exactly: 0 }\nanswered_not_run: { exactly: 0 }";
    BOOST_TEST(brokenOutcomes(text, 1) == 0u);
    BOOST_TEST(brokenOutcomes(text, 2) == 1u);
    BOOST_TEST(brokenOutcomes(text, 0) == 1u);
}

// Guards against a file whose bounds are ignored because they are misspelled.
BOOST_AUTO_TEST_CASE(RefusesBoundsWithoutNumbers)
{
    for (const char* text : { "unknown: 0", "unknown: { max: few }", "unknown: { most: 1 }", "" }) {
        StatedOutcomes outcomes;
        BOOST_TEST(!outcomes.parse("file", text), text);
    }
}

// Guards against calling it a lost outcome when a repeat through another host overtakes the first attempt and
// runs, as seen in table_down and rolling_replacement: the first was sent 5 ms earlier and told
// "in_progress".
BOOST_AUTO_TEST_CASE(EitherOfTwoOverlappingAttemptsMayRun)
{
    const std::string text = "unknown: { exactly: 0 }\nin_progress: { exactly: 1 }";
    const RequestResult overtaken = attempt(RequestEnding::Unknown, "in_progress", 16796, 16805);
    const RequestResult run = attempt(RequestEnding::Answered, "", 16801, 16825);
    BOOST_TEST(brokenOutcomes(text, 1, { overtaken, run }) == 0u);
    BOOST_TEST(brokenOutcomes(text, 1, { run, overtaken }) == 0u);
}

// Guards against a call that is reported as running although no other attempt at it is open.
BOOST_AUTO_TEST_CASE(InProgressWithoutAnotherOpenAttemptIsALostOutcome)
{
    const std::string text = "unknown.in_progress: { exactly: 0 }";
    const RequestResult answered = attempt(RequestEnding::Answered, "", 100, 120);
    const RequestResult late = attempt(RequestEnding::Unknown, "in_progress", 600, 605);
    const RequestResult early = attempt(RequestEnding::Unknown, "in_progress", 10, 15);
    BOOST_TEST(brokenOutcomes(text, 1, { answered, late }) == 1u);
    BOOST_TEST(brokenOutcomes(text, 1, { early, answered }) == 1u);
    BOOST_TEST(brokenOutcomes("unknown: { exactly: 2 }", 0, { early, late }) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
