#include "transport/event_loop.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <vector>

using namespace lacewing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(EventLoopTest)

// Guards against use of a timer after it was freed, when a callback cancels itself or another timer.
BOOST_AUTO_TEST_CASE(CallbackMayCancelItselfAndOthers)
{
    EventLoop loop;
    bool otherRan = false;
    TimerId self = 0;
    const TimerId other = loop.runAfter(20ms, [&] { otherRan = true; });
    self = loop.runAfter(1ms, [&] {
        loop.cancel(self);
        loop.cancel(other);
        loop.runAfter(30ms, [&] { loop.stop(); });
    });
    loop.run();
    BOOST_TEST(!otherRan);
}

// Guards against a daemon that dies on SIGTERM instead of draining.
BOOST_AUTO_TEST_CASE(SignalRunsItsCallback)
{
    EventLoop loop;
    bool ran = false;
    loop.onSignal(SIGTERM, [&] {
        ran = true;
        loop.stop();
    });
    loop.runAfter(0ms, [] { std::raise(SIGTERM); });
    loop.run();
    BOOST_TEST(ran);
}

BOOST_AUTO_TEST_SUITE_END()
