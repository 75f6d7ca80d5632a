#include "reach/reach_monitor.h"

#include "base/virtual_scheduler.h"
#include "reach/peer_reach.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lacewing;
using namespace lacewing::reach;
using namespace std::chrono_literals;

namespace {

SocketAddress address(int number)
{
    return { "127.0.0.1", static_cast<uint16_t>(1000 + number) };
}

/// Answers for upstreams that are up at once, and for the others when the timeout has passed.
class FakeProber : public ConnectionProber {
public:
    explicit FakeProber(VirtualScheduler& scheduler)
        : m_scheduler(scheduler)
    {
    }
    void probe(const SocketAddress& server, Duration timeout, Callback callback) override
    {
        ++attempts;
        const bool isUp = !isCut && down.count(server) == 0;
        m_scheduler.runAfter(isUp ? Duration(1ms) : timeout, [callback, isUp] { callback(isUp); });
    }

    bool isCut = false;
    std::set<SocketAddress> down;
    int attempts = 0;

private:
    VirtualScheduler& m_scheduler;
};

struct Fixture {
    Fixture()
    {
        for (int number = 0; number < 12; ++number)
            targets.push_back({ address(number), ServiceId(number < 9 ? "engines" : "ledger") });
        monitor.start();
    }
    /// Exchanges with upstreams that are answered at once, unless the links are cut.
    void exchange(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += 50ms) {
            for (int number = 0; number < 3; ++number) {
                const ExchangeNumber sent = evidence.began(address(number), scheduler.now());
                if (prober.isCut)
                    continue;
                evidence.heard(sent, scheduler.now());
                evidence.ended(sent);
            }
            scheduler.advance(50ms);
        }
    }

    VirtualScheduler scheduler;
    FakeProber prober { scheduler };
    Random random { 1 };
    ReachEvidence evidence;
    std::vector<ProbeTarget> targets;
    int changes = 0;
    ReachMonitor monitor { scheduler, prober, random, evidence,
        { [this] { return targets; }, [this] { ++changes; } } };
};

PeerReach peer(bool reaches, std::optional<Duration> heardAge)
{
    PeerReach reach;
    reach.host = HostId("peer");
    reach.reachesUpstreams = reaches;
    reach.heardAge = heardAge;
    return reach;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReachMonitorTest, Fixture)

// Guards against connections that are tried while nothing is wrong.
BOOST_AUTO_TEST_CASE(TriesNothingOnACalmDay)
{
    exchange(10s);
    BOOST_TEST(prober.attempts == 0);
    BOOST_TEST(monitor.reachesUpstreams());
}

// Guards against a host that goes on for seconds with links that are cut silently, and against one that never
// returns to its own links.
BOOST_AUTO_TEST_CASE(NoticesASilentCutAndItsEnd)
{
    exchange(1s);
    prober.isCut = true;
    exchange(1500ms);
    BOOST_TEST(!monitor.reachesUpstreams());
    exchange(5s);
    BOOST_TEST(!monitor.reachesUpstreams());
    prober.isCut = false;
    exchange(2s);
    BOOST_TEST(monitor.reachesUpstreams());
    BOOST_TEST(changes == 2);
}

// Guards against a host whose old connections live on while new ones are refused.
BOOST_AUTO_TEST_CASE(NoticesThatNewConnectionsFailWhileOldOnesLiveOn)
{
    exchange(1s);
    prober.isCut = true;
    evidence.connectFailed(address(1), scheduler.now());
    evidence.connectFailed(address(2), scheduler.now());
    for (int round = 0; round < 10; ++round) {
        evidence.heard(0, scheduler.now());
        scheduler.advance(100ms);
    }
    BOOST_TEST(!monitor.reachesUpstreams());
}

// Guards against a cut that is inferred from a few upstreams that are down.
BOOST_AUTO_TEST_CASE(UpstreamsThatAreDownAreNoCut)
{
    for (int number = 0; number < 4; ++number)
        prober.down.insert(address(number));
    for (int round = 0; round < 50; ++round) {
        evidence.connectFailed(address(round % 4), scheduler.now());
        exchange(100ms);
    }
    BOOST_TEST(changes == 0);
    BOOST_TEST(prober.attempts <= 30);
}

// Guards against a return to links of which few are whole again.
BOOST_AUTO_TEST_CASE(StaysCutWhileMostLinksAre)
{
    exchange(1s);
    prober.isCut = true;
    exchange(2s);
    BOOST_TEST(!monitor.reachesUpstreams());
    prober.isCut = false;
    for (int number = 0; number < 9; ++number)
        prober.down.insert(address(number));
    scheduler.advance(5s);
    BOOST_TEST(!monitor.reachesUpstreams());
}

// Guards against engines that change their owner although all upstreams are silent, and against ones that
// keep an owner who can't reach them.
BOOST_AUTO_TEST_CASE(HandsOverOnlyIfAPeerHasHeardUpstreamsSince)
{
    BOOST_TEST(shouldHandOver(1s, { peer(false, 100ms), peer(true, 400ms) }));
    BOOST_TEST(!shouldHandOver(1s, { peer(true, 1200ms) }));
    BOOST_TEST(!shouldHandOver(1s, { peer(true, std::nullopt) }));
    BOOST_TEST(!shouldHandOver(1s, { peer(false, 100ms) }));
    BOOST_TEST(!shouldHandOver(1s, {}));
}

BOOST_AUTO_TEST_SUITE_END()
