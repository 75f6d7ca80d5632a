#include "gateway/crash_history.h"

#include "base/random.h"
#include "gateway/request_identity.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t shared = 1;
constexpr uint64_t bad = 66;
constexpr uint64_t deadly = requestHashBit | 5;
constexpr uint64_t caught = requestHashBit | 3;

struct Fixture {
    /// An engine ends with one run that has these parts.
    void crash(std::vector<uint64_t> parts)
    {
        now += 1s;
        history.add({ UpstreamId("e-" + std::to_string(++engines)), 1, PartSet(std::move(parts)) }, now);
    }
    std::optional<PartSet> cause(const std::vector<PartSet>& known = {})
    {
        return history.findCause(known, now + CrashHistory::settlingTime);
    }

    /// An answer to a prompt with these parts begins at another engine.
    void answer(std::vector<uint64_t> parts)
    {
        history.clear({ UpstreamId("other"), 1, PartSet(std::move(parts)) }, now);
    }

    CrashHistory history;
    MonotonicTime now { 100s };
    int engines = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashHistoryTest)

// Guards against missing the part that crashes have in common because sound requests share all others.
BOOST_AUTO_TEST_CASE(FindsThePartThatCrashesHaveInCommon)
{
    Fixture fixture;
    for (uint64_t subject = 100; subject < 103; ++subject) {
        BOOST_TEST(!fixture.cause().has_value());
        fixture.crash({ shared, subject, bad });
        fixture.answer({ shared, subject, subject + 1000 });
    }
    BOOST_TEST((fixture.cause() == PartSet({ bad })));
    BOOST_TEST(!fixture.cause({ PartSet({ bad }) }).has_value());
}

// Guards against shutting out all prompts of a workspace or route because their first part is in all crashes.
BOOST_AUTO_TEST_CASE(APartWithWhichAnswersBeginIsNotTheCause)
{
    Fixture fixture;
    for (int count = 0; count < 20; ++count) {
        fixture.crash({ shared });
        fixture.now += 100ms;
        fixture.answer({ shared });
        BOOST_TEST(!fixture.cause().has_value());
    }
}

// Guards against blaming a busy part at once when engines end for other reasons: its answers take a while.
BOOST_AUTO_TEST_CASE(APartWithWhichAnswersBeganBeforeNeedsMoreCrashes)
{
    Fixture fixture;
    fixture.answer({ shared });
    for (int count = 0; count < 3; ++count)
        fixture.crash({ shared });
    BOOST_TEST(!fixture.cause().has_value());
    fixture.crash({ shared });
    BOOST_TEST((fixture.cause() == PartSet({ shared })));
}

// Guards against holding a rare part that happened to be at a few of many engines that end for another
// reason.
BOOST_AUTO_TEST_CASE(APartInFewOfTheCrashesNeedsMoreOfThem)
{
    Fixture fixture;
    for (uint64_t count = 0; count < 12; ++count)
        fixture.crash(
            count % 4 == 0 ? std::vector<uint64_t> { bad, 100 + count } : std::vector { 100 + count });
    BOOST_TEST(!fixture.cause().has_value());
    fixture.crash({ bad });
    BOOST_TEST((fixture.cause() == PartSet({ bad })));
}

// Guards against taking the loss of a rack, or a host whose connections all break, for a part that crashes
// engines.
BOOST_AUTO_TEST_CASE(EnginesThatEndTogetherAreOneCrash)
{
    Fixture fixture;
    for (int engine = 0; engine < 40; ++engine)
        fixture.history.add({ UpstreamId("e-" + std::to_string(engine)), 1, PartSet({ shared, bad }) },
            fixture.now + engine * 4ms);
    fixture.now += 1s;
    BOOST_TEST(!fixture.cause().has_value());
}

// Guards against counting each answer that a faulty engine breaks off.
BOOST_AUTO_TEST_CASE(AProcessCrashesOnce)
{
    Fixture fixture;
    for (int count = 0; count < 20; ++count) {
        fixture.now += 700ms;
        fixture.history.add({ UpstreamId("e-1"), 1, PartSet({ bad }) }, fixture.now);
    }
    BOOST_TEST(!fixture.cause().has_value());
    BOOST_TEST(fixture.history.size() == 1);
}

// Guards against taking connections that the network resets for engines that end.
BOOST_AUTO_TEST_CASE(AProcessThatBeginsAnotherAnswerHasNotEnded)
{
    Fixture fixture;
    for (int count = 0; count < 10; ++count) {
        fixture.crash({ bad });
        fixture.now += 300ms;
        const UpstreamId engine("e-" + std::to_string(fixture.engines));
        BOOST_TEST(fixture.history.isCleared({ engine, 1, PartSet({ shared }) }));
        fixture.history.clear({ engine, 1, PartSet({ shared }) }, fixture.now);
        BOOST_TEST(!fixture.cause().has_value());
    }
    BOOST_TEST(fixture.history.size() == 0);
    fixture.crash({ bad });
    // The next process at the same engine says nothing about the one that ended.
    fixture.history.clear(
        { UpstreamId("e-" + std::to_string(fixture.engines)), 2, PartSet({ shared }) }, fixture.now + 1s);
    BOOST_TEST(fixture.history.size() == 1);
}

// Guards against missing a crash because the same process had broken off an answer long before.
BOOST_AUTO_TEST_CASE(AnEarlierBrokenAnswerDoesNotHideACrash)
{
    Fixture fixture;
    for (int engine = 0; engine < 3; ++engine)
        fixture.history.add(
            { UpstreamId("e-" + std::to_string(engine)), 1, PartSet({ shared }) }, fixture.now);
    fixture.now += 10s;
    for (int engine = 0; engine < 3; ++engine) {
        fixture.now += 1s;
        fixture.history.add({ UpstreamId("e-" + std::to_string(engine)), 1, PartSet({ bad }) }, fixture.now);
    }
    BOOST_TEST((fixture.cause() == PartSet({ bad })));
}

// Guards against a decision before the reports of all hosts have arrived.
BOOST_AUTO_TEST_CASE(WaitsForTheReportsOfOneCrash)
{
    Fixture fixture;
    for (int count = 0; count < 3; ++count)
        fixture.crash({ bad });
    BOOST_TEST(!fixture.history.findCause({}, fixture.now + 50ms).has_value());
    fixture.history.add({ UpstreamId("e-3"), 1, PartSet({ shared }) }, fixture.now + 20ms);
    BOOST_TEST(fixture.history.size() == 3);
    BOOST_TEST((fixture.cause() == PartSet({ bad })));
}

// Guards against memory that grows with the number of crashes, and of parts.
BOOST_AUTO_TEST_CASE(KeepsABoundedHistory)
{
    Fixture fixture;
    Random random(1);
    for (int count = 0; count < 500; ++count) {
        std::vector<uint64_t> parts;
        for (int part = 0; part < 2000; ++part)
            parts.push_back(random.next());
        fixture.crash(std::move(parts));
        fixture.answer({ random.next(), random.next() });
    }
    BOOST_TEST(fixture.history.size() <= 64u);
    BOOST_TEST(!fixture.cause().has_value());
}

// Guards against a request that ends a server at each attempt, which all follow each other within the time in
// which other crashes count as one.
BOOST_AUTO_TEST_CASE(EachServerThatEndsUnderOneRequestCounts)
{
    Fixture fixture;
    for (int server = 0; server < 3; ++server) {
        BOOST_TEST(!fixture.cause().has_value());
        fixture.now += 20ms;
        fixture.history.add(
            { UpstreamId("s-" + std::to_string(server)), 1, PartSet({ deadly }) }, fixture.now);
    }
    BOOST_TEST((fixture.cause() == PartSet({ deadly })));
}

// Guards against shutting out a sound request that many callers send alike, when servers that run it end
// together.
BOOST_AUTO_TEST_CASE(ARequestThatWasSoundIsNotBlamedForServersThatEndTogether)
{
    Fixture fixture;
    fixture.answer({ caught });
    for (int server = 0; server < 6; ++server)
        fixture.history.add(
            { UpstreamId("s-" + std::to_string(server)), 1, PartSet({ caught }) }, fixture.now);
    BOOST_TEST(!fixture.cause().has_value());
}

// Guards against shutting out a sound request that is caught in each crash of another one, and against
// holding both together, which no request is.
BOOST_AUTO_TEST_CASE(TheRequestThatWasAloneIsTheCause)
{
    Fixture fixture;
    fixture.crash({ deadly, caught });
    fixture.crash({ deadly, caught });
    fixture.crash({ deadly, caught });
    BOOST_TEST(fixture.cause().value().size() == 1);
    fixture.crash({ deadly });
    BOOST_TEST((fixture.cause() == PartSet({ deadly })));
    fixture.answer({ caught });
    BOOST_TEST((fixture.cause() == PartSet({ deadly })));
}

// Guards against a part that crashes engines and stays unknown because one request with it came several
// times, and against a request whose prompt differs at each attempt.
BOOST_AUTO_TEST_CASE(ARequestAndThePartsOfItsPromptAreHeldTogether)
{
    Fixture fixture;
    for (int count = 0; count < 3; ++count)
        fixture.crash({ bad, deadly });
    const PartSet both({ bad, deadly });
    BOOST_TEST((fixture.cause() == both));
    fixture.crash({ bad, caught });
    BOOST_TEST(
        (fixture.history.commonWithUnexplained(both, { both }, fixture.now + CrashHistory::settlingTime)
            == PartSet({ bad })));
}

BOOST_AUTO_TEST_SUITE_END()
