#include "gateway/request_pacer.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RequestPacerTest)

// Guards against exceeding a rate in any window, and against leaving it unused.
BOOST_AUTO_TEST_CASE(RequestsKeepWithinTheRateInAnyWindow)
{
    for (const double perSecond : { 0.2, 1.0, 1.2, 30.0 }) {
        RequestPacer pacer;
        MonotonicTime now(100s);
        pacer.setRate(RequestRate(perSecond), now);
        std::vector<MonotonicTime> starts;
        for (int step = 0; step < 6000; ++step, now += 10ms) {
            if (pacer.waitFor(0, now) > 0s)
                continue;
            pacer.started(now);
            starts.push_back(now);
        }
        BOOST_TEST_CONTEXT(perSecond << " a second")
        {
            BOOST_TEST(static_cast<double>(starts.size()) >= 60 * perSecond - 2);
            for (size_t first = 0; first < starts.size(); ++first) {
                size_t last = first;
                while (last < starts.size() && starts[last] - starts[first] < 4s)
                    ++last;
                BOOST_TEST(static_cast<double>(last - first) <= 4.5 * perSecond + 2);
            }
        }
    }
}

// Guards against a burst of each host that takes over.
BOOST_AUTO_TEST_CASE(StartsWithoutACredit)
{
    RequestPacer pacer;
    const MonotonicTime now(100s);
    pacer.setRate(RequestRate(2), now);
    BOOST_TEST((pacer.waitFor(0, now) == 500ms));
    BOOST_TEST((pacer.waitFor(3, now) == 2s));
    pacer.setRate(std::nullopt, now);
    BOOST_TEST((pacer.waitFor(9, now) == 0s));
}

// Guards against an upstream that is never asked again whether its limit still holds.
BOOST_AUTO_TEST_CASE(ALimitOfZeroLetsARequestThroughNowAndThen)
{
    RequestPacer pacer;
    const MonotonicTime now(100s);
    pacer.setRate(RequestRate(0), now);
    BOOST_TEST((pacer.waitFor(0, now) > 10s));
    BOOST_TEST((pacer.waitFor(0, now + 40s) == 0s));
}

BOOST_AUTO_TEST_SUITE_END()
