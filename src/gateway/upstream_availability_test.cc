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

BOOST_AUTO_TEST_SUITE_END()
