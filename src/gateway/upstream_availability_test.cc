#include "gateway/upstream_availability.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const UpstreamId upstream("u-1");
const MonotonicTime start(100s);

struct Fixture {
    bool learn(int64_t startedAt, MonotonicTime now = start)
    {
        return availability.learnLeaving({ upstream, startedAt }, StatementOrigin::Response, now);
    }

    Duration left(MonotonicTime now) const { return availability.restLeft(upstream, 5, now); }

    UpstreamAvailability availability;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamAvailabilityTest, Fixture)

// Guards against an upstream that gets requests again although the process that leaves still runs, and
// against one that gets none after it has started anew.
BOOST_AUTO_TEST_CASE(LeavingEndsWithANewStartOnly)
{
    BOOST_TEST(learn(5));
    BOOST_TEST(!learn(5, start + 1s));
    BOOST_TEST(availability.isLeaving(upstream, 5));
    BOOST_TEST((availability.leavingFor(upstream, start + 3s) == Duration(3s)));
    BOOST_TEST(!availability.isLeaving(upstream, 6));
    availability.retain({ { upstream, 5 } }, start + 1h);
    BOOST_TEST(availability.isLeaving(upstream, 5));
    availability.retain({ { upstream, 6 } }, start + 1h);
    BOOST_TEST(availability.leavingCount() == 0u);
}

// Guards against the statement of a former process that arrives late, from a peer that was cut off.
BOOST_AUTO_TEST_CASE(AStatementOfAFormerProcessChangesNothing)
{
    learn(5);
    BOOST_TEST(!learn(4));
    BOOST_TEST(availability.isLeaving(upstream, 5));
}

// Guards against forgetting a statement when the upstream's row expires in an outage of the store.
BOOST_AUTO_TEST_CASE(AnUpstreamWithoutARowIsRememberedForAWhile)
{
    learn(5);
    availability.retain({}, start);
    availability.retain({}, start + 1min);
    BOOST_TEST(availability.isLeaving(upstream, 5));
    availability.retain({}, start + 6min);
    BOOST_TEST(!availability.isLeaving(upstream, 5));
}

// Guards against requests within a rest (BUDGET), and against one that never ends.
BOOST_AUTO_TEST_CASE(AnUpstreamRestsForTheTimeThatItNames)
{
    BOOST_TEST((availability.learnRest(upstream, 5, 3s, start) == Duration(3s)));
    BOOST_TEST((left(start) == 3s));
    BOOST_TEST((left(start + 2s) == 1s));
    BOOST_TEST((left(start + 3s) == 0s));
    BOOST_TEST((availability.restLeft(UpstreamId("u-2"), 5, start) == 0s));
    BOOST_TEST(availability.restingCount(start) == 1u);
    BOOST_TEST(availability.restingCount(start + 3s) == 0u);
    BOOST_TEST(!availability.learnRest(upstream, 5, 0s, start + 4s));
}

// Guards against a rest that is cut short: a later response may answer an earlier request, and each counts.
BOOST_AUTO_TEST_CASE(AShorterTimeOrASuccessDoesNotShortenARest)
{
    availability.learnRest(upstream, 5, 3s, start);
    BOOST_TEST(!availability.learnRest(upstream, 5, 1s, start + 1s));
    BOOST_TEST(!availability.requestSucceeded(upstream, start - 1s));
    BOOST_TEST((left(start + 1s) == 2s));
    BOOST_TEST((availability.learnRest(upstream, 5, 4s, start + 1s) == Duration(4s)));
    BOOST_TEST((left(start + 1s) == 4s));
}

// Guards against a rest that the next process of the upstream inherits.
BOOST_AUTO_TEST_CASE(ARestEndsWithANewStart)
{
    availability.learnRest(upstream, 5, 3s, start);
    BOOST_TEST((availability.restLeft(upstream, 6, start) == 0s));
    BOOST_TEST(!availability.learnRest(upstream, 4, 1min, start));
    availability.learnRest(upstream, 6, 1s, start);
    BOOST_TEST((availability.restLeft(upstream, 6, start) == 1s));
}

// Guards against an upstream that one bad response takes out for an hour, and against a third request to one
// that does want to rest for so long.
BOOST_AUTO_TEST_CASE(ALongRestIsProbedTwice)
{
    const auto stated = availability.learnRest(upstream, 5, 1h, start);
    BOOST_TEST((stated == UpstreamAvailability::maximumRest));
    BOOST_TEST((left(start + 1s) == 9s));
    for (const Duration probe : { Duration(10s), Duration(60s) }) {
        BOOST_TEST((left(start + probe - 1ms) > 0s));
        BOOST_TEST((left(start + probe) == 0s));
        availability.requestSent(upstream, start + probe);
        BOOST_TEST((left(start + probe) > 0s));
    }
    BOOST_TEST((left(start + 61s) == UpstreamAvailability::maximumRest - 61s));
}

BOOST_AUTO_TEST_CASE(TheSuccessOfAProbeEndsARest)
{
    availability.learnRest(upstream, 5, 1h, start);
    availability.requestSent(upstream, start + 10s);
    BOOST_TEST(!availability.requestSucceeded(upstream, start));
    BOOST_TEST(availability.requestSucceeded(upstream, start + 10s));
    BOOST_TEST((left(start + 11s) == 0s));
}

BOOST_AUTO_TEST_SUITE_END()
