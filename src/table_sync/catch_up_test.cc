#include "table_sync/catch_up.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lacewing;
using namespace lacewing::table_sync;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    VirtualScheduler scheduler;
    Random random { 1 };
    int own = 1;
    std::vector<HostId> asked;
    CatchUp<int> catchUp { scheduler, random, { 100ms, 100ms, 100ms },
        { [this] { return own; }, [] { return true; },
            [this](const HostId& peer) { asked.push_back(peer); } } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(CatchUpTest)

// Load: all peers tell of a change at once. Guards against more than one request, and against one to a peer
// that has less than others.
BOOST_AUTO_TEST_CASE(AsksOneOfThePeersThatHaveTheMost)
{
    Fixture fixture;
    fixture.catchUp.offered(HostId("low"), 2);
    for (const char* peer : { "high-1", "high-2", "high-3" })
        fixture.catchUp.offered(HostId(peer), 3);
    fixture.catchUp.offered(HostId("low"), 2);
    fixture.scheduler.advance(1s);
    BOOST_REQUIRE(fixture.asked.size() == 1u);
    BOOST_TEST(fixture.asked.front() != HostId("low"));
}

// Guards against a request for what has arrived meanwhile, and against silence after it.
BOOST_AUTO_TEST_CASE(AsksOnlyWhileItIsBehind)
{
    Fixture fixture;
    fixture.catchUp.offered(HostId("peer"), 1);
    fixture.scheduler.advance(1s);
    fixture.catchUp.offered(HostId("peer"), 2);
    fixture.own = 2;
    fixture.scheduler.advance(1s);
    BOOST_TEST(fixture.asked.empty());
    fixture.catchUp.offered(HostId("peer"), 3);
    fixture.scheduler.advance(1s);
    fixture.catchUp.offered(HostId("peer"), 3);
    fixture.scheduler.advance(1s);
    BOOST_TEST(fixture.asked.size() == 2u);
}

// Load: a large answer that takes long on a slow link. Guards against more requests for what is on its way.
BOOST_AUTO_TEST_CASE(AsksNoOtherPeerWhileAnAnswerIsAwaited)
{
    Fixture fixture;
    for (int heartbeat = 0; heartbeat < 8; ++heartbeat) {
        fixture.catchUp.offered(HostId("first"), 2);
        fixture.catchUp.offered(HostId("second"), 2);
        fixture.scheduler.advance(100ms);
    }
    BOOST_REQUIRE(fixture.asked.size() == 1u);
    const HostId other = fixture.asked.front() == HostId("first") ? HostId("second") : HostId("first");
    BOOST_TEST(!fixture.catchUp.answered(other).has_value());
    BOOST_TEST(fixture.catchUp.answered(fixture.asked.front()).has_value());
}

// Guards against a host that waits for the answer of a peer that has gone.
BOOST_AUTO_TEST_CASE(AsksAgainOnceThePeerIsLost)
{
    Fixture fixture;
    fixture.catchUp.offered(HostId("lost"), 2);
    fixture.scheduler.advance(100ms);
    fixture.catchUp.peerLost(HostId("lost"));
    fixture.catchUp.offered(HostId("other"), 2);
    fixture.scheduler.advance(100ms);
    BOOST_REQUIRE(fixture.asked.size() == 2u);
    BOOST_TEST(fixture.asked.back() == HostId("other"));
}

BOOST_AUTO_TEST_SUITE_END()
