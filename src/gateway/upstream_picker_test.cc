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

namespace {

/// Plays a minute of requests that take 60 ms each on upstreams of different speeds, of which each is slowed
/// by a factor of 2.5 for 600 ms of each 4 s.
///
/// @param statedOf what an upstream states of its slowdown.
/// @return the mean time of a request in milliseconds.
template <typename Stated> double playUneven(Stated statedOf)
{
    struct Run {
        UpstreamId upstream;
        MonotonicTime begun;
    };
    UpstreamPicker picker(3);
    const auto candidates = upstreams(4);
    std::map<UpstreamId, size_t> indices;
    for (size_t index = 0; index < candidates.size(); ++index)
        indices[candidates[index].upstream] = index;
    const double times[] = { 0.6, 1.4, 1, 1 };
    const auto slowdown = [](size_t index, MonotonicTime now) {
        return (now + index * 1s).time_since_epoch() % 4s < 600ms ? 2.5 : 1;
    };
    std::multimap<MonotonicTime, Run> running;
    std::map<UpstreamId, MonotonicTime> freeAt;
    Duration total {};
    int64_t count = 0;
    for (MonotonicTime now(100s); now < MonotonicTime(160s); now += 25ms) {
        while (!running.empty() && running.begin()->first <= now) {
            const auto [at, run] = *running.begin();
            running.erase(running.begin());
            const size_t index = indices.at(run.upstream);
            picker.loadReported(run.upstream, { 0, 0, 6, statedOf(index, slowdown(index, at)) }, at);
            picker.ended(run.upstream, ExchangeOutcome::Answered, at);
            picker.speeds().runEnded(run.upstream, at - run.begun, at);
        }
        const UpstreamId upstream = *picker.pick(candidates, {}, now);
        picker.started(upstream);
        const size_t index = indices.at(upstream);
        // Each upstream works on one request at a time.
        const MonotonicTime begin = std::max(now, freeAt[upstream]);
        const auto taken = std::chrono::duration_cast<Duration>(times[index] * slowdown(index, begin) * 60ms);
        freeAt[upstream] = begin + taken;
        running.emplace(begin + taken, Run { upstream, now });
        total += begin + taken - now;
        ++count;
    }
    return toSeconds(total) * 1000 / static_cast<double>(count);
}

std::optional<double> statesNothing(size_t, double)
{
    return std::nullopt;
}

} // namespace

// Load: upstreams of one service differ for good and are slowed by turns. Guards against an even division of
// requests over them.
BOOST_AUTO_TEST_CASE(FastUpstreamsGetMore)
{
    const double before = playUneven(statesNothing);
    const double after = playUneven([](size_t, double slowdown) { return std::make_optional(slowdown); });
    BOOST_TEST_MESSAGE("mean time of a request " << before << " ms before, " << after << " ms after");
    BOOST_TEST(after < before);
}

// Load: the same with an upstream that always states 100, one that always states 10,000, or the smallest
// figures. Guards against an untrue figure that excludes an upstream or draws all requests.
BOOST_AUTO_TEST_CASE(UntrueFiguresHaveABoundedEffect)
{
    const double before = playUneven(statesNothing);
    for (const double always : { 1.0, 100.0, 0.0001 }) {
        for (const size_t untrue : { 0, 1 }) {
            const double after = playUneven([always, untrue](size_t index, double slowdown) {
                return std::make_optional(index == untrue ? always : slowdown);
            });
            BOOST_TEST(after < 1.25 * before, always << " by upstream " << untrue);
        }
    }
}

// Guards against a request without an upstream while all state that they are slow.
BOOST_AUTO_TEST_CASE(PicksAllUpstreamsWhileAllAreSlow)
{
    UpstreamPicker picker(3);
    const auto candidates = upstreams(3);
    const MonotonicTime now(100s);
    std::set<UpstreamId> picked;
    for (const PickCandidate& candidate : candidates)
        picker.loadReported(candidate.upstream, { 0, 0, 6, 100 }, now);
    for (int request = 0; request < 50; ++request)
        picked.insert(*picker.pick(candidates, {}, now));
    BOOST_TEST(picked.size() == 3);
}

// Load: upstreams that state no slowdown. Guards against choices that differ from the load per slot as
// before.
BOOST_AUTO_TEST_CASE(ComparesLoadPerSlotWithoutSlowdowns)
{
    UpstreamPicker picker(9);
    Random expected(9);
    const auto candidates = upstreams(5);
    std::vector<int> inFlight(5);
    MonotonicTime now(100s);
    Random load(4);
    for (int request = 0; request < 500; ++request, now += 10ms) {
        const size_t first = expected.below(5);
        size_t second = expected.below(5);
        if (second == first)
            second = (first + 1) % 5;
        const size_t best = inFlight[first] <= inFlight[second] ? first : second;
        BOOST_REQUIRE(*picker.pick(candidates, {}, now) == candidates[best].upstream);
        picker.started(candidates[best].upstream);
        ++inFlight[best];
        const size_t ended = load.below(5);
        if (inFlight[ended] == 0)
            continue;
        --inFlight[ended];
        picker.ended(candidates[ended].upstream, ExchangeOutcome::Answered, now);
    }
}

BOOST_AUTO_TEST_SUITE_END()
