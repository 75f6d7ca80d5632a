#include "gateway/prefill_pacer.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration targetPause = 500ms;
const MonotonicTime start(100s);

} // namespace

BOOST_AUTO_TEST_SUITE(PrefillPacerTest)

// Guards against holding prompts back at engines whose streams keep their pace.
BOOST_AUTO_TEST_CASE(NothingIsHeldBackWhileStreamsKeepTheirPace)
{
    PrefillPacer pacer;
    for (int run = 0; run < 400; ++run)
        pacer.streamEnded(targetPause, targetPause);
    pacer.admitted(Tokens(1000000), true, PrefillRate(), start);
    BOOST_TEST(pacer.admits(Tokens(1000000), false, targetPause, PrefillRate(), start));
}

// Load: long prompts beside streams. Guards against pauses that grow with the number of queued prompts.
BOOST_AUTO_TEST_CASE(PromptsAreReadInPortionsAfterALongPause)
{
    PrefillPacer pacer;
    const PrefillRate rate;
    pacer.streamEnded(targetPause + 1ms, targetPause);
    Tokens portion;
    while (pacer.admits(Tokens(1000), portion == Tokens(0), targetPause, rate, start)) {
        pacer.admitted(Tokens(1000), portion == Tokens(0), rate, start);
        portion += Tokens(1000);
    }
    BOOST_TEST((portion > Tokens(0)));
    BOOST_TEST((rate.timeFor(portion) < targetPause));
    // Partial progress frees no capacity; the next portion starts after all of this one is prefilled.
    BOOST_TEST(!pacer.admits(Tokens(1000), false, targetPause, rate, start + 300ms));
    BOOST_TEST(pacer.admits(Tokens(1000), true, targetPause, rate, start + 300ms));
}

// Guards against starving a prompt that alone is longer than a portion.
BOOST_AUTO_TEST_CASE(AnEngineWithoutUnreadPromptsTakesAnyPrompt)
{
    PrefillPacer pacer;
    for (int run = 0; run < 100; ++run)
        pacer.streamEnded(10s, targetPause);
    BOOST_TEST(pacer.admits(Tokens(1000000), true, targetPause, PrefillRate(), start));
    pacer.admitted(Tokens(1), true, PrefillRate(), start);
    BOOST_TEST(!pacer.admits(Tokens(1000000), false, targetPause, PrefillRate(), start));
}

// Guards against a limit that outlasts its cause, or that applies without a stream to protect.
BOOST_AUTO_TEST_CASE(TheLimitEndsWithItsCause)
{
    PrefillPacer pacer;
    pacer.streamEnded(1s, targetPause);
    pacer.admitted(Tokens(1000000), true, PrefillRate(), start);
    BOOST_TEST(pacer.admits(Tokens(100000), false, Duration::zero(), PrefillRate(), start));
    for (int run = 0; run < 1000; ++run)
        pacer.streamEnded(100ms, targetPause);
    BOOST_TEST(pacer.admits(Tokens(1000000), false, targetPause, PrefillRate(), start));
}

// Guards against a lost run that blocks all others.
BOOST_AUTO_TEST_CASE(ALostRunDoesNotHoldTheOthersBack)
{
    PrefillPacer pacer;
    const PrefillRate rate;
    pacer.admitted(Tokens(10000), true, rate, start);
    BOOST_TEST(!pacer.admits(Tokens(1000), false, targetPause, rate, start + rate.timeFor(Tokens(10000))));
    BOOST_TEST(pacer.admits(Tokens(1000), false, targetPause, rate, start + 3 * rate.timeFor(Tokens(10000))));
}

// Guards against adjusting the limit for requests without a target.
BOOST_AUTO_TEST_CASE(IgnoresStreamsWithoutATarget)
{
    PrefillPacer pacer;
    const double before = pacer.share();
    pacer.streamEnded(10s, Duration::zero());
    BOOST_TEST(pacer.share() == before);
}

BOOST_AUTO_TEST_SUITE_END()
