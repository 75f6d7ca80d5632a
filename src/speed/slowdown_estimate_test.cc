#include "speed/slowdown_estimate.h"

#include "base/random.h"
#include "speed/attempt_time.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::speed;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start(100s);
constexpr Duration interval = 100ms;

/// An upstream that is slowed by a factor of 2.5 in 600 ms of each 4 s, which is 15 % of the time.
double trueSlowdown(MonotonicTime now)
{
    return (now - start) % 4s < 600ms ? 2.5 : 1;
}

/// Plays two minutes of runs, each followed by the figure that the upstream reports then.
template <typename Figure> SlowdownEstimate played(Figure figure, MonotonicTime& now)
{
    SlowdownEstimate estimate;
    Random random(7);
    for (now = start; now < start + 120s; now += interval) {
        estimate.reported(figure(random), now);
        estimate.runMeasured(trueSlowdown(now) * (0.9 + 0.2 * random.uniform()), now);
    }
    now -= interval;
    return estimate;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlowdownEstimateTest)

// Guards against a cost that changes where no figure is stated.
BOOST_AUTO_TEST_CASE(ChangesNothingWithoutFigures)
{
    const SlowdownEstimate estimate;
    BOOST_TEST(!estimate.isStated(start));
    BOOST_TEST(estimate.current(start) == 1);
    BOOST_TEST((estimate.timeFor(123456789ns, start) == 123456789ns));
}

// Load: an upstream that is slowed by turns and reports so. Guards against figures that are not believed, and
// against a mean that follows single stretches.
BOOST_AUTO_TEST_CASE(BelievesFiguresThatRunsFollow)
{
    MonotonicTime now;
    MonotonicTime* clock = &now;
    const SlowdownEstimate estimate = played([clock](Random&) { return trueSlowdown(*clock); }, now);
    BOOST_TEST(estimate.weight(now) > 0.9);
    BOOST_TEST(estimate.mean(now) > 1.05);
    BOOST_TEST(estimate.mean(now) < 1.4);
    BOOST_TEST(estimate.current(now) == 1, boost::test_tools::tolerance(0.1));
}

// Guards against untrue figures that keep their effect: figures at random, and figures that never change.
BOOST_AUTO_TEST_CASE(GivesUntrueFiguresLittleWeight)
{
    MonotonicTime now;
    const auto atRandom = [](Random& random) { return random.uniform() < 0.5 ? 0.01 : 100; };
    BOOST_TEST(played(atRandom, now).weight(now) < 0.2);
    for (const double always : { 1.0, 100.0 }) {
        const SlowdownEstimate estimate = played([always](Random&) { return always; }, now);
        BOOST_TEST(estimate.current(now) < 1.5);
        BOOST_TEST(estimate.current(now) >= 1);
    }
}

// Guards against a figure that excludes an upstream before anything is known of it.
BOOST_AUTO_TEST_CASE(BoundsEachFigure)
{
    for (const double figure : { 1e-9, 100.0, 1e300 }) {
        SlowdownEstimate estimate;
        estimate.reported(figure, start);
        BOOST_TEST(estimate.current(start) >= minimumSlowdown);
        BOOST_TEST(estimate.current(start) <= maximumSlowdown);
    }
}

// Load: figures stop arriving during a stretch. Guards against an upstream that is avoided until its next
// response.
BOOST_AUTO_TEST_CASE(FadesIntoTheMean)
{
    MonotonicTime now;
    MonotonicTime* clock = &now;
    SlowdownEstimate estimate = played([clock](Random&) { return trueSlowdown(*clock); }, now);
    estimate.reported(2.5, now);
    BOOST_TEST(estimate.current(now) > 2);
    const double mean = estimate.mean(now);
    BOOST_TEST(estimate.current(now + 400ms) < mean + 0.6 * (2.5 - mean));
    BOOST_TEST(estimate.current(now + 5s) == mean, boost::test_tools::tolerance(0.01));
    BOOST_TEST(!estimate.isStated(now + 31s));
    BOOST_TEST(estimate.current(now + 31s) == 1);
}

// Guards against a stretch of 600 ms that counts for work of many seconds, or not for work of some
// milliseconds.
BOOST_AUTO_TEST_CASE(ShortWorkIsSlowedMoreThanLongWork)
{
    BOOST_TEST(toMilliseconds(slowedTime(20ms, 2.5)) >= 48);
    BOOST_TEST((slowedTime(10s, 2.5) < 11s));
    BOOST_TEST((slowedTime(20ms, 0.5) >= 10ms));
    BOOST_TEST((slowedTime(20ms, 1) == 20ms));
}

// Guards against requests that are repeated early because of an untrue figure, or so late that the other
// upstream has no time left.
BOOST_AUTO_TEST_CASE(AttemptTimeIsOnlyLengthenedAndBounded)
{
    BOOST_TEST((attemptTime(500ms, 1, 4s) == 500ms));
    BOOST_TEST((attemptTime(500ms, 0.5, 4s) == 500ms));
    BOOST_TEST((attemptTime(500ms, 1.5, 4s) == 750ms));
    BOOST_TEST((attemptTime(500ms, 5, 4s) == 1000ms));
    BOOST_TEST((attemptTime(500ms, 5, 1200ms) == 600ms));
    BOOST_TEST((attemptTime(500ms, 5, 600ms) == 500ms));
}

BOOST_AUTO_TEST_SUITE_END()
