#include "gateway/prefill_pacer.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration targetPause = 500ms;

} // namespace

BOOST_AUTO_TEST_SUITE(PrefillPacerTest)

// Guards against prompts that are held back at engines whose streams keep their pace.
BOOST_AUTO_TEST_CASE(NothingIsHeldBackWhileStreamsKeepTheirPace)
{
    PrefillPacer pacer;
    for (int run = 0; run < 100; ++run)
        pacer.streamEnded(targetPause, targetPause);
    BOOST_TEST(pacer.admits(Tokens(1000000), Tokens(1000000), targetPause, PrefillRate()));
}

// Load: long prompts beside streams. Guards against pauses that grow with the prompts that wait.
BOOST_AUTO_TEST_CASE(PromptsAreReadInPortionsAfterALongPause)
{
    PrefillPacer pacer;
    const PrefillRate rate;
    pacer.streamEnded(targetPause + 1ms, targetPause);
    Tokens unread;
    while (pacer.admits(unread, Tokens(1000), targetPause, rate))
        unread += Tokens(1000);
    BOOST_TEST((unread > Tokens(0)));
    BOOST_TEST((rate.timeFor(unread) < targetPause));
}

// Guards against a prompt that is never read because it alone is longer than a portion.
BOOST_AUTO_TEST_CASE(AnEngineWithoutUnreadPromptsTakesAnyPrompt)
{
    PrefillPacer pacer;
    for (int run = 0; run < 100; ++run)
        pacer.streamEnded(10s, targetPause);
    BOOST_TEST(pacer.admits(Tokens(0), Tokens(1000000), targetPause, PrefillRate()));
    BOOST_TEST(!pacer.admits(Tokens(1), Tokens(1000000), targetPause, PrefillRate()));
}

// Guards against a bound that stays after its cause is gone, and against one without a stream to protect.
BOOST_AUTO_TEST_CASE(TheBoundEndsWithItsCause)
{
    PrefillPacer pacer;
    pacer.streamEnded(1s, targetPause);
    BOOST_TEST(pacer.admits(Tokens(100000), Tokens(100000), Duration::zero(), PrefillRate()));
    for (int run = 0; run < 1000; ++run)
        pacer.streamEnded(100ms, targetPause);
    BOOST_TEST(pacer.admits(Tokens(1000000), Tokens(1000000), targetPause, PrefillRate()));
}

// Guards against a bound that a request without a target of its own moves.
BOOST_AUTO_TEST_CASE(StreamsWithoutATargetSayNothing)
{
    PrefillPacer pacer;
    const double before = pacer.share();
    pacer.streamEnded(10s, Duration::zero());
    BOOST_TEST(pacer.share() == before);
}

BOOST_AUTO_TEST_SUITE_END()
