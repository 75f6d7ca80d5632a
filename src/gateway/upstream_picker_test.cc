#include "gateway/upstream_picker.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

std::vector<PickCandidate> upstreams(int count)
{
    std::vector<PickCandidate> candidates;
    for (int index = 0; index < count; ++index)
        candidates.push_back({ UpstreamId("upstream-" + std::to_string(index)), 6, true });
    return candidates;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamPickerTest)

// Load: one upstream fails while its health check passes. Guards against sending it a full share of the
// requests, and against never sending it a request again.
BOOST_AUTO_TEST_CASE(AvoidsAFailingUpstreamButNotForever)
{
    UpstreamPicker picker(3);
    const auto candidates = upstreams(3);
    MonotonicTime now(100s);
    std::map<UpstreamId, int> picks;
    for (int request = 0; request < 600; ++request) {
        now += 30ms;
        const UpstreamId upstream = *picker.pick(candidates, {}, now);
        ++picks[upstream];
        picker.started(upstream);
        const bool fails = upstream == candidates[0].upstream;
        picker.ended(upstream, fails ? ExchangeOutcome::Failed : ExchangeOutcome::Answered, now);
    }
    BOOST_TEST(picks[candidates[0].upstream] < 150);
    BOOST_TEST(picks[candidates[0].upstream] > 0);
}

// Guards against excluding all upstreams when all fail.
BOOST_AUTO_TEST_CASE(StillPicksWhenAllFail)
{
    UpstreamPicker picker(3);
    const auto candidates = upstreams(2);
    const MonotonicTime now(100s);
    for (int request = 0; request < 50; ++request) {
        const auto upstream = picker.pick(candidates, {}, now);
        BOOST_REQUIRE(upstream.has_value());
        picker.started(*upstream);
        picker.ended(*upstream, ExchangeOutcome::Unreachable, now);
    }
}

// Guards against a second send of a request to the same upstream.
BOOST_AUTO_TEST_CASE(SkipsExcludedUpstreams)
{
    UpstreamPicker picker(3);
    const auto candidates = upstreams(2);
    const MonotonicTime now(100s);
    BOOST_TEST(picker.pick(candidates, { candidates[0].upstream }, now).value() == candidates[1].upstream);
    BOOST_TEST(!picker.pick(candidates, { candidates[0].upstream, candidates[1].upstream }, now).has_value());
}

// Guards against sending requests to a busy upstream while another one is idle.
BOOST_AUTO_TEST_CASE(PrefersTheLessLoadedUpstream)
{
    UpstreamPicker picker(3);
    const auto candidates = upstreams(2);
    const MonotonicTime now(100s);
    for (int request = 0; request < 5; ++request)
        picker.started(candidates[0].upstream);
    for (int request = 0; request < 20; ++request)
        BOOST_TEST(picker.pick(candidates, {}, now).value() == candidates[1].upstream);
}

BOOST_AUTO_TEST_SUITE_END()
