#include "gateway/upstream_permits.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const HostId self("host-1");
const HostId peer("host-2");
const UpstreamId upstream("u-1");

struct Fixture {
    Fixture() { limits.observe({ upstream, 1, RequestRate(2), true, scheduler.now() }, scheduler.now()); }

    /// Asks for a permit and waits long enough for the answer of this host.
    PermitAnswer ask(Duration patience)
    {
        std::optional<PermitAnswer> answer;
        permits.request(upstream, patience, [&answer](const PermitAnswer& given) { answer = given; });
        scheduler.advance(1us);
        BOOST_REQUIRE(answer);
        return *answer;
    }
    /// @return the answer that a request of the peer gets.
    PeerPermitAnswer askFromPeer()
    {
        permits.peerMessage(peer, PeerPermitRequest { upstream, PermitId(7), 0s, std::nullopt });
        return std::get<PeerPermitAnswer>(sent.back());
    }

    VirtualScheduler scheduler;
    UpstreamLimits limits { self };
    std::set<HostId> deciders { self };
    double share = 1;
    bool hasOwner = false;
    std::vector<PeerMessage> sent;
    UpstreamPermits permits { scheduler, limits, self,
        { [this](const HostId&, const PeerMessage& message) {
             sent.push_back(message);
             return true;
         },
            [this] { return deciders; }, [this] { return share; },
            [this](const UpstreamId&) { return hasOwner; } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamPermitsTest, Fixture)

// Guards against two requests that are promised the same start, and against a promise beyond the time for
// which a request can wait.
BOOST_AUTO_TEST_CASE(PromisesStartsOneAfterTheOther)
{
    const PermitAnswer first = ask(2s);
    BOOST_TEST(first.isGranted);
    BOOST_TEST((first.wait == 500ms));
    const PermitAnswer second = ask(2s);
    BOOST_TEST(second.isGranted);
    BOOST_TEST((second.wait > 990ms && second.wait <= 1s));
    const PermitAnswer third = ask(1s);
    BOOST_TEST(!third.isGranted);
    BOOST_TEST((third.wait > 1400ms));
    BOOST_TEST((permits.expectedWait(upstream) > 1400ms));
    scheduler.advance(1600ms);
    BOOST_TEST((permits.expectedWait(upstream) == 0s));
    BOOST_TEST(ask(0s).isGranted);
}

// Guards against parts of a divided fleet that each use the whole limit.
BOOST_AUTO_TEST_CASE(AHostThatIsCutOffUsesItsPartOfTheLimit)
{
    share = 0.25;
    BOOST_TEST((ask(5s).wait == 2s));
}

// Guards against a host that decides beside the chosen one, or beside the owner of an engine.
BOOST_AUTO_TEST_CASE(OnlyTheChosenHostGrantsStarts)
{
    scheduler.advance(2s);
    ask(0s);
    scheduler.advance(2s);
    BOOST_TEST(askFromPeer().isGranted);
    scheduler.advance(2s);
    hasOwner = true;
    BOOST_TEST(!askFromPeer().isGranted);
    hasOwner = false;
    deciders = { peer };
    BOOST_TEST(!askFromPeer().isGranted);
}

// Guards against a request that waits for a host which does not answer.
BOOST_AUTO_TEST_CASE(AnAnswerThatDoesNotComeCountsAsRefused)
{
    deciders = { peer };
    std::optional<PermitAnswer> answer;
    permits.request(upstream, 0s, [&answer](const PermitAnswer& given) { answer = given; });
    BOOST_REQUIRE(sent.size() == 1);
    BOOST_TEST(std::get<PeerPermitRequest>(sent[0]).limit.has_value());
    scheduler.advance(40ms);
    BOOST_TEST(!answer);
    scheduler.advance(20ms);
    BOOST_REQUIRE(answer);
    BOOST_TEST(!answer->isGranted);
    BOOST_TEST((permits.expectedWait(upstream) > 400ms));
    // The late answer has no request any more.
    permits.peerMessage(peer, PeerPermitAnswer { std::get<PeerPermitRequest>(sent[0]).permit, true, 0s });
}

// Guards against two sends of one request.
BOOST_AUTO_TEST_CASE(AGrantThatComesTwiceStartsTheRequestOnce)
{
    deciders = { peer };
    int starts = 0;
    const PermitId permit = permits.request(upstream, 0s, [&starts](const PermitAnswer&) { ++starts; });
    for (int i = 0; i < 2; ++i)
        permits.peerMessage(peer, PeerPermitAnswer { permit, true, 0s });
    scheduler.advance(1s);
    permits.peerMessage(peer, PeerPermitAnswer { permit, true, 0s });
    BOOST_TEST(starts == 1);
}

// Guards against refusing requests because of a wait that a former, lower limit had caused.
BOOST_AUTO_TEST_CASE(AChangedLimitEndsTheWait)
{
    BOOST_TEST(!ask(0s).isGranted);
    BOOST_TEST((permits.expectedWait(upstream) > 0s));
    permits.limitChanged(upstream);
    BOOST_TEST((permits.expectedWait(upstream) == 0s));
}

// Guards against a host that grants everything because it has not yet read what the limit of a cold upstream
// follows from, while the host that asks it has.
BOOST_AUTO_TEST_CASE(DecidesOnNoColdUpstreamWhoseLimitItDoesNotKnow)
{
    const UpstreamId cold("u-2");
    const auto askWith = [&](std::optional<Duration> coldFor) {
        const UpstreamLimit limit { cold, 1, LimitRevision(0), peer, std::nullopt, coldFor };
        permits.peerMessage(peer, PeerPermitRequest { cold, PermitId(7), 0s, limit });
        return std::get<PeerPermitAnswer>(sent.back());
    };
    BOOST_TEST(askWith(std::nullopt).isGranted);
    BOOST_TEST(!askWith(10s).isGranted);
    BOOST_TEST((askWith(10s).wait < 1s));
}

BOOST_AUTO_TEST_SUITE_END()
