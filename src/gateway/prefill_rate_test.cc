#include "gateway/prefill_rate.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(PrefillRateTest)

// Load: prompts queue at one engine. Guards against overlapping samples, which count the prefill of a prompt
// again for each one that was granted meanwhile.
BOOST_AUTO_TEST_CASE(PromptsInARowAreCountedOnce)
{
    PrefillRate rate;
    MonotonicTime now(100s);
    for (int portion = 0; portion < 50; ++portion) {
        rate.busyPeriodStarted(now);
        now += 20ms;
        for (int prompt = 0; prompt < 4; ++prompt) {
            now += 50ms;
            rate.promptProcessed(Tokens(2000), now);
        }
        now += 100ms;
    }
    BOOST_TEST(rate.tokensPerMillisecond() == 40, boost::test_tools::tolerance(0.05));
    BOOST_TEST(toMilliseconds(rate.timeFor(Tokens(4000))) >= 95);
    BOOST_TEST(toMilliseconds(rate.timeFor(Tokens(4000))) <= 105);
}

// Guards against a rate derived from single short prompts, whose time is dominated by the round trip and the
// first steps.
BOOST_AUTO_TEST_CASE(IgnoresShortPrompts)
{
    PrefillRate rate;
    const double before = rate.tokensPerMillisecond();
    MonotonicTime now(100s);
    for (int run = 0; run < 100; ++run) {
        rate.busyPeriodStarted(now);
        now += 21ms;
        rate.promptProcessed(Tokens(200), now);
    }
    BOOST_TEST(rate.tokensPerMillisecond() == before);
}

BOOST_AUTO_TEST_SUITE_END()
