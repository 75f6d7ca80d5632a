#include "replay/stated_outcomes.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

namespace {

/// @return how many of the outcomes don't hold for two bookings under one id, of which one was answered.
size_t brokenOutcomes(const std::string& text, int64_t runs)
{
    PreparedRequest request;
    request.route.service = "desk";
    request.route.repeatable = false;
    request.workspace = WorkspaceId("w");
    request.runKey = "w/id-1";
    RequestResult answered;
    answered.ending = RequestEnding::Answered;
    RequestResult refused;
    refused.ending = RequestEnding::RefusedNotRun;
    refused.code = "rate_limited";
    UpstreamCounters after;
    after.runs["w/id-1"] = runs;
    Configuration configuration;
    configuration.workspaces[WorkspaceId("w")] = { WorkspaceId("w"), Tokens(1), Tokens(1) };
    const std::vector<PreparedRequest> requests { request, request };
    const std::vector<RequestResult> results { answered, refused };
    const ReplayReport report(configuration, requests, results, {}, after);
    StatedOutcomes outcomes;
    BOOST_REQUIRE(outcomes.parse("file", text));
    return outcomes.broken(report).size();
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

BOOST_AUTO_TEST_SUITE_END()
