#include "overload/return_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::overload;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { 100s };
constexpr double rate = 10;

ReturnSchedule::Refused refused(uint64_t fingerprint, int priority = 0, Duration returnsWithin = 2s)
{
    return { fingerprint, priority, Tokens(1000), returnsWithin };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReturnScheduleTest)

// Guards against callers that all return at the same time, so that most are refused again.
BOOST_AUTO_TEST_CASE(SpreadsReturnsByTheWorkPromisedBefore)
{
    ReturnSchedule schedule;
    BOOST_TEST((schedule.promise(refused(1), Tokens(4000), rate, start).after == 400ms));
    BOOST_TEST((schedule.promise(refused(2), Tokens(4000), rate, start).after == 500ms));
    BOOST_TEST((schedule.promise(refused(3), Tokens(4000), rate, start).after == 600ms));
}

// Guards against a gap in the promises that stays empty while callers are told later times.
BOOST_AUTO_TEST_CASE(UsesTheTimeBetweenTwoPromises)
{
    ReturnSchedule schedule;
    BOOST_TEST((schedule.promise(refused(1), Tokens(8000), rate, start).after == 800ms));
    BOOST_TEST((schedule.promise(refused(2), Tokens(3000), rate, start).after == 300ms));
    BOOST_TEST((schedule.promise(refused(3), Tokens(3000), rate, start).after == 400ms));
}

// Guards against more urgent callers that wait for the return of less urgent ones.
BOOST_AUTO_TEST_CASE(LessUrgentPromisesDelayNobodyMoreUrgent)
{
    ReturnSchedule schedule;
    schedule.promise(refused(1, 2), Tokens(4000), rate, start);
    BOOST_TEST((schedule.promise(refused(2, 0), Tokens(4000), rate, start).after == 400ms));
    BOOST_TEST((schedule.promise(refused(3, 2), Tokens(4000), rate, start).after == 600ms));
}

// Guards against capacity that is held back for callers that do not wait that long, or that never come.
BOOST_AUTO_TEST_CASE(PromisesLapse)
{
    ReturnSchedule schedule;
    BOOST_TEST(!schedule.promise(refused(1, 0, 300ms), Tokens(4000), rate, start).isPromised);
    BOOST_TEST(schedule.promises(start) == 0u);
    BOOST_TEST(schedule.promise(refused(2), Tokens(4000), rate, start).isPromised);
    BOOST_TEST((schedule.heldFrom(2, start, start + 500ms) == Tokens(1000)));
    BOOST_TEST((schedule.heldFrom(2, start, start + 300ms) == Tokens(0)));
    BOOST_TEST((schedule.heldFrom(0, start, start + 500ms) == Tokens(0)));
    BOOST_TEST((schedule.heldFrom(2, start + 600ms, start + 1s) == Tokens(0)));
    BOOST_TEST(!schedule.returned(2, start + 600ms));
}

// Guards against holding capacity back for a caller that has already returned, and against taking any request
// with the same prompt for a return.
BOOST_AUTO_TEST_CASE(AReturnFulfilsItsPromise)
{
    ReturnSchedule schedule;
    schedule.promise(refused(1), Tokens(4000), rate, start);
    BOOST_TEST(!schedule.returned(1, start + 10ms));
    BOOST_TEST(!schedule.returned(2, start + 410ms));
    BOOST_TEST(schedule.returned(1, start + 410ms));
    BOOST_TEST(!schedule.returned(1, start + 410ms));
}

// Guards against memory that grows with refusals.
BOOST_AUTO_TEST_CASE(BoundsThePromises)
{
    ReturnSchedule schedule;
    for (uint64_t caller = 0; caller < 5000; ++caller)
        schedule.promise({ caller, 0, Tokens(1), 10s }, Tokens(0), rate, start);
    BOOST_TEST(schedule.promises(start) <= 512u);
}

BOOST_AUTO_TEST_SUITE_END()
