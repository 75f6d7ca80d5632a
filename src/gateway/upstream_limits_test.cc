#include "gateway/upstream_limits.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const UpstreamId upstream("u-1");
const MonotonicTime start(100s);

std::optional<RequestRate> rate(double perSecond)
{
    return RequestRate(perSecond);
}

LimitObservation observation(std::optional<RequestRate> stated, MonotonicTime requestSent)
{
    return { upstream, 1, stated, true, requestSent };
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamLimitsTest)

BOOST_AUTO_TEST_CASE(FollowsALimitThatIsStatedChangedAndDropped)
{
    UpstreamLimits limits(HostId("host-1"));
    BOOST_TEST(!limits.observe(observation(std::nullopt, start), start));
    BOOST_TEST(limits.observe(observation(rate(0.5), start), start + 1s).has_value());
    BOOST_TEST((limits.rate(upstream) == rate(0.5)));
    BOOST_TEST(!limits.observe(observation(rate(0.5), start + 2s), start + 3s));
    limits.observe(observation(rate(2), start + 2s), start + 3s);
    BOOST_TEST((limits.rate(upstream) == rate(2)));
    limits.observe(observation(std::nullopt, start + 4s), start + 5s);
    BOOST_TEST(!limits.rate(upstream));
    BOOST_TEST(limits.limitedCount() == 0u);
}

// Guards against lifting a limit because of a response that the upstream began before it stated the limit.
BOOST_AUTO_TEST_CASE(AResponseToAnOldRequestDoesNotLiftALimit)
{
    UpstreamLimits limits(HostId("host-1"));
    limits.observe(observation(rate(1), start), start + 1s);
    limits.observe(observation(std::nullopt, start), start + 2s);
    BOOST_TEST((limits.rate(upstream) == rate(1)));
    limits.observe(observation(rate(3), start), start + 2s);
    BOOST_TEST((limits.rate(upstream) == rate(1)));
    limits.observe(observation(rate(0.5), start), start + 2s);
    BOOST_TEST((limits.rate(upstream) == rate(0.5)));
}

// Guards against lifting a limit because an upstream rejects a request without stating the limit.
BOOST_AUTO_TEST_CASE(ARejectionDoesNotLiftALimit)
{
    UpstreamLimits limits(HostId("host-1"));
    limits.observe(observation(rate(1), start), start);
    LimitObservation rejection = observation(std::nullopt, start + 1s);
    rejection.isConclusive = false;
    limits.observe(rejection, start + 2s);
    BOOST_TEST((limits.rate(upstream) == rate(1)));
}

// Guards against a host that was frozen or cut off and returns with an old limit.
BOOST_AUTO_TEST_CASE(TheNewestLimitHoldsWhicheverWayItArrives)
{
    UpstreamLimits first(HostId("host-1"));
    UpstreamLimits second(HostId("host-2"));
    const auto old = first.observe(observation(rate(5), start), start);
    second.merge(*old, start);
    const auto current = second.observe(observation(rate(1), start + 1s), start + 1s);
    BOOST_REQUIRE(current);
    BOOST_TEST(first.merge(*current, start + 9s));
    BOOST_TEST(!second.merge(*old, start + 9s));
    BOOST_TEST((first.rate(upstream) == rate(1)));
    BOOST_TEST((second.rate(upstream) == rate(1)));
}

// Guards against forgetting limits in an outage of the store, when the entries of upstreams lapse.
BOOST_AUTO_TEST_CASE(ALimitEndsWithTheProcessAndNotWithItsEntry)
{
    UpstreamLimits limits(HostId("host-1"));
    limits.observe(observation(rate(1), start), start);
    limits.retain({}, start + 1s);
    limits.retain({}, start + 10s);
    BOOST_TEST((limits.rate(upstream) == rate(1)));
    limits.retain({ { upstream, 2 } }, start + 11s);
    BOOST_TEST(!limits.rate(upstream));
}

// Guards against a late response of a former process that replaces the limit of the present one.
BOOST_AUTO_TEST_CASE(AResponseOfAFormerProcessChangesNothing)
{
    UpstreamLimits limits(HostId("host-1"));
    limits.observe({ upstream, 2, rate(3), true, start }, start);
    BOOST_TEST(!limits.observe({ upstream, 1, rate(1), true, start }, start + 1s));
    BOOST_TEST((limits.rate(upstream) == rate(3)));
}

BOOST_AUTO_TEST_SUITE_END()
