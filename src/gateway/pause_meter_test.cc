#include "gateway/pause_meter.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(PauseMeterTest)

// Guards against counting the time to the first event, or the gap when a stream resumes on another engine, as
// a pause of the engine.
BOOST_AUTO_TEST_CASE(MeasuresOnlyBetweenEventsOfOneEngine)
{
    PauseMeter pauses;
    const MonotonicTime start(100s);
    pauses.event(start + 900ms);
    BOOST_TEST(toMilliseconds(pauses.longest()) == 0);
    pauses.event(start + 1000ms);
    pauses.event(start + 1300ms);
    pauses.event(start + 1350ms);
    BOOST_TEST(toMilliseconds(pauses.longest()) == 300);
    pauses.restart();
    pauses.event(start + 5s);
    BOOST_TEST(toMilliseconds(pauses.longest()) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
