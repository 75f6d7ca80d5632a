#include "gateway/warm_up_control.h"

#include "gateway/upstream_exchange_fixture_test.h"
#include "gateway/upstream_limit_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("chat");

/// Decodes rows whose value is the start of the process, and the remaining cold time in seconds after a
/// blank if the row states it. Upstreams of the service take 4 requests a second for 30 s after their start.
class ColdRows : public FakeRowDecoder {
public:
    std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string&, std::string&) const override
    {
        ServiceConfiguration limited;
        limited.id = service;
        limited.coldStart = ColdStart { 30s, RequestRate(4) };
        ServingConfiguration::Builder builder(Revision(1));
        builder.add(limited);
        return builder.build();
    }
    std::optional<UpstreamEntry> readUpstream(const StoredRow& row) const override
    {
        UpstreamEntry entry;
        entry.id = UpstreamId(row.id.key);
        entry.service = service;
        entry.startedAt = std::stoll(row.value);
        const size_t blank = row.value.find(' ');
        if (blank != std::string::npos)
            entry.coldRemaining = std::chrono::seconds(std::stoi(row.value.substr(blank + 1)));
        return entry;
    }
};

/// A host that has read one upstream, which is warm.
struct Fixture {
    Fixture()
    {
        store.put({ "op", "config" }, "{}");
        write("5 0");
        configuration.start();
        upstreams.start();
        scheduler.advance(2s);
    }

    void write(const std::string& value)
    {
        store.put({ "servers", upstream.value() }, value);
        scheduler.advance(1500ms);
    }
    bool isCold() const { return limits.rate(upstream).has_value(); }

    inline static const UpstreamId upstream { "u-1" };
    inline static const HostId peer { "host-2" };

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    ColdRows rows;
    WarmUpLimits warmUp;
    UpstreamLimits limits { HostId("host-1"), &warmUp };
    MetricsRegistry metrics;
    std::vector<PeerMessage> sent;
    int changes = 0;
    ConfigurationTracker configuration { scheduler, store, rows,
        { [this] { control.refresh(); }, [](const AdapterRelease&) {} } };
    UpstreamDirectory upstreams { scheduler, store, rows,
        { [this] { control.refresh(); }, [](const table_sync::ChangeSet&) {} } };
    WarmUpControl control { scheduler, warmUp, limits, upstreams, configuration,
        { [this](const PeerMessage& message) { sent.push_back(message); },
            [this](const UpstreamId&) { ++changes; } } };
    UpstreamLimitExchange exchange { scheduler, limits, upstreams, metrics,
        { [this](const PeerMessage& message) { sent.push_back(message); }, [](const UpstreamId&) {},
            [this](const ColdStatement& statement) { control.observed(statement); },
            [this](const ColdStatement& statement) { control.told(statement); } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WarmUpControlTest, Fixture)

// Guards against a limit that is missed or stays when rows and configuration arrive in any order.
BOOST_AUTO_TEST_CASE(RowsLimitAnUpstreamUntilTheColdTimeEnds)
{
    BOOST_TEST(!isCold());
    write("6");
    BOOST_TEST(isCold());
    write("6 10");
    scheduler.advance(8s);
    BOOST_TEST(isCold());
    scheduler.advance(3s);
    BOOST_TEST(!isCold());
    BOOST_TEST(changes == 2);
    BOOST_TEST(sent.empty());
}

// Guards against peers that learn too late what only one host's response has told, and against messages for
// each further response.
BOOST_AUTO_TEST_CASE(TellsPeersWhatAResponseStates)
{
    LimitObservation observation { upstream, 5, std::nullopt, true, scheduler.now(), 20s };
    exchange.observed(observation, "r-1");
    observation.coldFor = 19900ms;
    exchange.observed(observation, "r-2");
    BOOST_REQUIRE(sent.size() == 1);
    const UpstreamLimit& told = std::get<PeerUpstreamLimit>(sent[0]).limit;
    BOOST_TEST((told.coldFor == 20s));
    BOOST_TEST(!told.isStated());
    BOOST_TEST(limits.allToTell(scheduler.now()).size() == 1u);
    BOOST_TEST(limits.limitedCount() == 0u);
}

// Guards against a host that grants a run or permit because only the asking host knows of the cold time.
BOOST_AUTO_TEST_CASE(LearnsTheColdTimeFromRequestsOfPeers)
{
    PeerPermitRequest request;
    request.upstream = upstream;
    request.limit = UpstreamLimit { upstream, 5, LimitRevision(0), peer, std::nullopt, 20s };
    exchange.onMessage(peer, request);
    BOOST_TEST(isCold());
    BOOST_TEST(!limits.known(upstream));
    BOOST_TEST((limits.toTell(upstream, scheduler.now())->coldFor == 20s));
    BOOST_TEST(sent.empty());
    // An earlier process says nothing of this one.
    write("6 0");
    exchange.onMessage(peer, request);
    BOOST_TEST(!isCold());
}

// Guards against the lower of two limits being lifted by the other one.
BOOST_AUTO_TEST_CASE(TheLowerOfTwoLimitsHolds)
{
    write("6 10");
    const double cold = limits.rate(upstream)->perSecond();
    const auto state = [this](std::optional<double> perSecond) {
        const auto rate = perSecond ? std::make_optional(RequestRate(*perSecond)) : std::nullopt;
        exchange.observed({ upstream, 6, rate, true, scheduler.now() }, "r-1");
        return limits.rate(upstream);
    };
    BOOST_TEST(state(1)->perSecond() == 1);
    BOOST_TEST(state(50)->perSecond() == cold);
    const auto told = limits.toTell(upstream, scheduler.now());
    BOOST_TEST(told->isStated());
    BOOST_TEST(told->coldFor.has_value());
    scheduler.advance(12s);
    BOOST_TEST(limits.rate(upstream)->perSecond() == 50);
    BOOST_TEST(!state(std::nullopt));
}

// Guards against a host that decides before it knows the others.
BOOST_AUTO_TEST_CASE(AHostThatHasJustStartedDoesNotDecide)
{
    WarmUpControl late(scheduler, warmUp, limits, upstreams, configuration, {});
    BOOST_TEST(late.mayDecide(upstream));
    control.observed({ upstream, 5, 20s });
    BOOST_TEST(!late.mayDecide(upstream));
    scheduler.advance(WarmUpLimits::peerDiscoveryTime);
    BOOST_TEST(late.mayDecide(upstream));
}

BOOST_AUTO_TEST_SUITE_END()
