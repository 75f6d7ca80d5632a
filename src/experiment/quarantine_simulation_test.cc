#include "experiment/quarantine_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::experiment;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t bad = 66;
constexpr uint64_t other = 77;
/// Prompts with a part that may still be sent after the fifth crash and the stability time.
constexpr size_t allowedAfterCrashes = 3;

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineSimulationTest)

// Guards against engines that end one after the other, at all sizes of fleets.
BOOST_AUTO_TEST_CASE(APartThatCrashesEnginesIsHeldByAllHosts)
{
    for (const size_t hosts : { 7, 83, 195 }) {
        for (uint64_t seed = 1; seed <= (hosts > 7 ? 1 : 20); ++seed) {
            QuarantineSimulation fleet(QuarantineSimulation::Shape::ofHosts(hosts), seed);
            fleet.advance(5s);
            fleet.poison(bad);
            fleet.advance(5s);
            fleet.takeSoundShare();
            fleet.advance(20s);
            BOOST_TEST_CONTEXT(hosts << " hosts, seed " << seed)
            {
                BOOST_TEST(fleet.result(bad).sentAfterCrashes() <= allowedAfterCrashes);
                BOOST_TEST(fleet.takeSoundShare() > 0.9);
                BOOST_TEST(fleet.wrongQuarantines() == 0);
            }
        }
    }
}

// Guards against hosts that send on because they restarted, froze or were cut off, alone or all together.
BOOST_AUTO_TEST_CASE(HostsInTroubleCrashNoFurtherEngines)
{
    for (const size_t hosts : { 7, 83, 195 }) {
        for (uint64_t seed = 1; seed <= (hosts > 7 ? 1 : 30); ++seed) {
            QuarantineSimulation fleet(QuarantineSimulation::Shape::ofHosts(hosts), seed);
            fleet.playTroubles();
            BOOST_TEST_CONTEXT(hosts << " hosts, seed " << seed)
            {
                BOOST_TEST(fleet.result(bad).sentAfterCrashes() <= allowedAfterCrashes);
                BOOST_TEST(fleet.result(other).sentAfterCrashes() <= allowedAfterCrashes);
                BOOST_TEST(fleet.takeSoundShare() > 0.6);
            }
        }
    }
}

// Guards against prompts that are shut out because engines end for reasons that have nothing to do with them.
BOOST_AUTO_TEST_CASE(OtherCrashesHoldNoPrompt)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        QuarantineSimulation fleet(QuarantineSimulation::Shape::ofHosts(7), seed);
        fleet.advance(5s);
        for (int count = 0; count < 8; ++count) {
            fleet.crashEngines(1 + count % 6);
            fleet.advance(2s);
            BOOST_TEST_CONTEXT("seed " << seed)
            {
                BOOST_TEST(fleet.wrongQuarantines() == 0);
            }
        }
    }
}

// Guards against a part that stays shut out after it was mended.
BOOST_AUTO_TEST_CASE(AMendedPartIsServedAgain)
{
    QuarantineSimulation fleet(QuarantineSimulation::Shape::ofHosts(7), 1);
    fleet.advance(5s);
    fleet.poison(bad);
    fleet.advance(10s);
    BOOST_TEST(fleet.holdingHosts(bad) == 7);
    fleet.mend(bad);
    fleet.advance(40s);
    BOOST_TEST(fleet.holdingHosts(bad) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
