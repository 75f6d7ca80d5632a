#include "gateway/prompt_quarantine.h"

#include "gateway/request_identity.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t shared = 1;
constexpr uint64_t bad = 66;
constexpr uint64_t other = 77;

AnswerBegin beginOf(PartSet parts)
{
    return { UpstreamId("other"), 1, std::move(parts) };
}

struct Fixture {
    PromptQuarantine::Changes crash(std::vector<uint64_t> parts)
    {
        now += 1s;
        quarantine.crashed(
            { UpstreamId("e-" + std::to_string(++engines)), 1, PartSet(std::move(parts)) }, now);
        now += CrashHistory::settlingTime;
        return quarantine.decide(now);
    }
    void crashThrice(const std::vector<uint64_t>& parts)
    {
        for (int count = 0; count < 3; ++count)
            crash(parts);
    }
    bool isHeld(std::vector<uint64_t> parts) const
    {
        return quarantine.holdTime(PartSet(std::move(parts)), now).has_value();
    }

    PromptQuarantine quarantine;
    MonotonicTime now { 100s };
    int engines = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PromptQuarantineTest)

// Guards against requests with one part that crash engines one after the other.
BOOST_AUTO_TEST_CASE(HoldsPromptsWithThePartThatCrashesEngines)
{
    Fixture fixture;
    fixture.crash({ shared, 100, bad });
    fixture.crash({ shared, 101, bad });
    BOOST_TEST(!fixture.isHeld({ bad }));
    const auto changes = fixture.crash({ shared, 102, bad });
    fixture.quarantine.answerBegan(beginOf(PartSet({ shared, 100 })), fixture.now);
    BOOST_REQUIRE(changes.size() == 1);
    BOOST_TEST(fixture.isHeld({ 500, bad, 501 }));
    BOOST_TEST(!fixture.isHeld({ shared, 100, 501 }));
    BOOST_TEST(fixture.quarantine.activeCount() == 1);
}

// Guards against holding sound prompts that share only some of the parts that all crashes had in common.
BOOST_AUTO_TEST_CASE(PartsThatCameTogetherAreHeldTogether)
{
    Fixture fixture;
    fixture.crashThrice({ shared, bad });
    BOOST_TEST(fixture.isHeld({ shared, bad }));
    BOOST_TEST(!fixture.isHeld({ shared, 100 }));
    BOOST_TEST(!fixture.isHeld({ bad, 100 }));
}

// Guards against three more crashes until the rest of a cause is known.
BOOST_AUTO_TEST_CASE(ACrashWithSomeOfThePartsNarrowsTheCause)
{
    Fixture fixture;
    fixture.crashThrice({ shared, bad });
    fixture.crash({ bad, 100 });
    BOOST_TEST(fixture.isHeld({ bad, 101 }));
    BOOST_TEST(fixture.quarantine.activeCount() == 1);
}

BOOST_AUTO_TEST_CASE(AnAnswerToSomeOfThePartsNarrowsTheCause)
{
    Fixture fixture;
    fixture.crashThrice({ shared, bad });
    BOOST_TEST(fixture.quarantine.isInformative(beginOf(PartSet({ shared, 100 }))));
    const auto changes = fixture.quarantine.answerBegan(beginOf(PartSet({ shared, 100 })), fixture.now);
    BOOST_TEST(changes.size() == 2);
    BOOST_TEST(fixture.isHeld({ bad, 101 }));
    BOOST_TEST(!fixture.isHeld({ shared, 101 }));
    BOOST_TEST(!fixture.quarantine.isInformative(beginOf(PartSet({ shared, 100 }))));
}

// Guards against a second part that stays unnoticed beside the first one.
BOOST_AUTO_TEST_CASE(FindsTwoParts)
{
    Fixture fixture;
    for (int count = 0; count < 3; ++count) {
        fixture.crash({ shared, bad });
        fixture.crash({ other });
        fixture.quarantine.answerBegan(beginOf(PartSet({ shared })), fixture.now);
    }
    BOOST_TEST(fixture.isHeld({ bad }));
    BOOST_TEST(fixture.isHeld({ other }));
    BOOST_TEST(!fixture.isHeld({ shared }));
}

// Guards against a wrong suspicion that never ends, and against probes that crash engines again and again.
BOOST_AUTO_TEST_CASE(AFewProbesAreSent)
{
    Fixture fixture;
    fixture.crashThrice({ bad });
    const PartSet prompt({ bad, 100 });
    int probes = 0;
    for (int second = 0; second < 3000; ++second) {
        fixture.now += 1s;
        if (fixture.isHeld({ bad, 100 }))
            continue;
        ++probes;
        BOOST_TEST(fixture.quarantine.beginProbe(prompt, fixture.now).size() == 1);
        BOOST_TEST(fixture.isHeld({ bad, 100 }));
        fixture.crash({ bad, 100 });
    }
    BOOST_TEST(probes == 3);
}

BOOST_AUTO_TEST_CASE(AProbeWhoseAnswerBeginsLiftsTheQuarantine)
{
    Fixture fixture;
    fixture.crashThrice({ bad });
    fixture.now += 4s;
    BOOST_TEST(!fixture.isHeld({ bad, 100 }));
    fixture.quarantine.beginProbe(PartSet({ bad, 100 }), fixture.now);
    const auto changes = fixture.quarantine.answerBegan(beginOf(PartSet({ bad, 100 })), fixture.now);
    BOOST_REQUIRE(changes.size() == 1);
    BOOST_TEST(changes[0].isLifted);
    BOOST_TEST(!fixture.isHeld({ bad, 101 }));
}

// Guards against a part that stays shut out although engines have been mended.
BOOST_AUTO_TEST_CASE(OtherEnginesBringTheNextProbeForward)
{
    Fixture fixture;
    fixture.crashThrice({ bad });
    fixture.now += 4s;
    fixture.quarantine.beginProbe(PartSet({ bad }), fixture.now);
    fixture.crash({ bad });
    BOOST_TEST(fixture.isHeld({ bad }));
    fixture.quarantine.enginesReplaced(fixture.now);
    BOOST_TEST(!fixture.isHeld({ bad }));
}

// Guards against a host that has just started, or was cut off, and sends what its peers hold.
BOOST_AUTO_TEST_CASE(TakesOverWhatPeersTell)
{
    Fixture fixture;
    fixture.crashThrice({ bad });
    PromptQuarantine peer;
    for (const Quarantine& quarantine : fixture.quarantine.all(fixture.now))
        BOOST_TEST(peer.merge(quarantine, MonotonicTime(5s)));
    BOOST_TEST(peer.holdTime(PartSet({ bad, 100 }), MonotonicTime(5s)).has_value());
    BOOST_TEST(!peer.merge(fixture.quarantine.all(fixture.now)[0], MonotonicTime(6s)));
    // An older message must not impose a quarantine that has been lifted.
    const Quarantine before = fixture.quarantine.all(fixture.now)[0];
    const auto lifted = fixture.quarantine.answerBegan(beginOf(PartSet({ bad })), fixture.now);
    BOOST_TEST(peer.merge(lifted[0], MonotonicTime(7s)));
    BOOST_TEST(!peer.merge(before, MonotonicTime(8s)));
    BOOST_TEST(!peer.holdTime(PartSet({ bad, 100 }), MonotonicTime(8s)).has_value());
}

// Guards against callers that are told to come back before the next probe, or in an hour.
BOOST_AUTO_TEST_CASE(NamesATimeToComeBack)
{
    Fixture fixture;
    fixture.crashThrice({ bad });
    const auto hold = fixture.quarantine.holdTime(PartSet({ bad }), fixture.now);
    BOOST_TEST((hold == std::optional<Duration>(3s)));
    fixture.now += 2900ms;
    BOOST_TEST((fixture.quarantine.holdTime(PartSet({ bad }), fixture.now) == std::optional<Duration>(1s)));
}

// Guards against memory that grows with the number of parts that ever crashed an engine.
BOOST_AUTO_TEST_CASE(KeepsABoundedNumber)
{
    Fixture fixture;
    for (uint64_t part = 1000; part < 1200; ++part)
        fixture.crashThrice({ part });
    BOOST_TEST(fixture.quarantine.all(fixture.now).size() <= 64u);
    BOOST_TEST(fixture.isHeld({ 1199 }));
    fixture.now += 2h;
    fixture.quarantine.decide(fixture.now);
    BOOST_TEST(fixture.quarantine.all(fixture.now).empty());
}

// Guards against more sends of a request that ends each server than the users allow: three crashes, what was
// on its way, and three probes, whatever the time.
BOOST_AUTO_TEST_CASE(ARequestThatEndsEachServerGetsThreeProbes)
{
    constexpr uint64_t deadly = requestHashBit | 5;
    Fixture fixture;
    fixture.crashThrice({ deadly });
    BOOST_TEST(fixture.isHeld({ deadly }));
    BOOST_TEST(!fixture.isHeld({ requestHashBit | 6 }));
    int sends = 0;
    const MonotonicTime end = fixture.now + 50min;
    while (fixture.now < end) {
        if (!fixture.isHeld({ deadly })) {
            ++sends;
            fixture.quarantine.beginProbe(PartSet({ deadly }), fixture.now);
            fixture.crash({ deadly });
        }
        fixture.now += 500ms;
    }
    BOOST_TEST(sends == 3);
}

// Guards against rows that stay in the store when quarantines end by their age or because there are too many,
// and against a peer that still has such a quarantine and imposes it again.
BOOST_AUTO_TEST_CASE(TheEndOfAQuarantineIsTold)
{
    Fixture fixture;
    fixture.crashThrice({ bad });
    const Quarantine imposed = fixture.quarantine.all(fixture.now).at(0);
    BOOST_TEST(fixture.quarantine.expire(fixture.now + 59min).empty());
    const auto ended = fixture.quarantine.expire(fixture.now + 61min);
    BOOST_REQUIRE(ended.size() == 1);
    BOOST_TEST(ended[0].isLifted);
    BOOST_TEST((ended[0].parts == PartSet({ bad })));
    BOOST_TEST(ended[0].revision > imposed.revision);
    BOOST_TEST(!fixture.quarantine.merge(imposed, fixture.now + 62min));
    int told = 0;
    for (uint64_t part = 1000; part < 1200; ++part) {
        for (const Quarantine& change : fixture.crash({ part, part + 5000 }))
            told += change.isLifted ? 1 : 0;
        for (int count = 0; count < 2; ++count) {
            for (const Quarantine& change : fixture.crash({ part, part + 5000 }))
                told += change.isLifted ? 1 : 0;
        }
    }
    BOOST_TEST(static_cast<size_t>(told) + fixture.quarantine.activeCount() >= 200u);
    BOOST_TEST(fixture.quarantine.activeCount() <= 64u);
}

BOOST_AUTO_TEST_SUITE_END()
