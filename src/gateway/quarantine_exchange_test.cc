#include "gateway/quarantine_exchange.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

/// Hosts whose messages arrive at once.
struct Fixture {
    struct Host {
        Host(Fixture& fleet, size_t index)
            : random(index + 1)
            , exchange(fleet.scheduler, random, metrics,
                  { [&fleet, index](const PeerMessage& message) { fleet.deliver(index, message); },
                      [this](const Quarantine& quarantine) {
                          ++saved;
                          lastSaved = quarantine;
                      } })
        {
        }

        Random random;
        MetricsRegistry metrics;
        int saved = 0;
        std::optional<Quarantine> lastSaved;
        QuarantineExchange exchange;
    };

    Fixture()
    {
        for (size_t index = 0; index < 5; ++index)
            hosts.push_back(std::make_unique<Host>(*this, index));
    }
    void deliver(size_t sender, const PeerMessage& message)
    {
        ++messages;
        for (size_t index = 0; index < hosts.size(); ++index) {
            if (index != sender && index != cutHost)
                hosts[index]->exchange.onMessage(HostId("host-" + std::to_string(sender)), message);
        }
    }
    /// An engine ends that ran a prompt for each of two hosts.
    void crash(size_t first, const PartSet& prompt, size_t second, const PartSet& soundPrompt)
    {
        const UpstreamId engine("e-" + std::to_string(++engines));
        hosts[first]->exchange.runBroke(engine, 1, prompt);
        hosts[second]->exchange.runBroke(engine, 1, soundPrompt);
        scheduler.advance(1s);
    }
    bool isHeld(size_t host, const PartSet& prompt) const
    {
        return hosts[host]->exchange.holdTime(prompt).has_value();
    }

    VirtualScheduler scheduler;
    std::vector<std::unique_ptr<Host>> hosts;
    std::optional<size_t> cutHost;
    int engines = 0;
    int messages = 0;
};

const PartSet bad({ 66 });

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuarantineExchangeTest, Fixture)

// Guards against crashes that no host relates to each other, because each host sees only its own requests.
BOOST_AUTO_TEST_CASE(HostsFindTogetherWhatNoneSeesAlone)
{
    for (size_t host = 0; host < 3; ++host)
        crash(host, PartSet({ 1, 66, 100 + host }), host + 1, PartSet({ 1, 200 }));
    hosts[4]->exchange.answerBegan({ UpstreamId("other"), 1, PartSet({ 1, 200 }) });
    for (size_t host = 0; host < hosts.size(); ++host) {
        BOOST_TEST(isHeld(host, PartSet({ 66, 500 })));
        BOOST_TEST(!isHeld(host, PartSet({ 1, 200, 500 })));
    }
}

// Guards against a host that goes on sending because it was cut off while the others decided.
BOOST_AUTO_TEST_CASE(AHostThatConnectsLearnsWhatHolds)
{
    cutHost = 4;
    for (size_t host = 0; host < 3; ++host)
        crash(host, bad, host + 1, PartSet({ 200 + host }));
    BOOST_TEST(!isHeld(4, bad));
    PeerHeartbeat heartbeat;
    heartbeat.quarantines = hosts[0]->exchange.all();
    hosts[4]->exchange.onMessage(HostId("host-0"), heartbeat);
    BOOST_TEST(isHeld(4, bad));
}

// Guards against a probe by each host at the same time.
BOOST_AUTO_TEST_CASE(OneHostSendsTheProbe)
{
    for (size_t host = 0; host < 3; ++host)
        crash(host, bad, host + 1, PartSet({ 200 + host }));
    scheduler.advance(5s);
    BOOST_TEST(!isHeld(2, bad));
    hosts[2]->exchange.beginProbe(bad);
    for (size_t host = 0; host < hosts.size(); ++host)
        BOOST_TEST(isHeld(host, bad));
    hosts[2]->exchange.answerBegan({ UpstreamId("other"), 1, bad });
    for (size_t host = 0; host < hosts.size(); ++host)
        BOOST_TEST(!isHeld(host, bad));
}

// Guards against a message to all peers for each answer while nothing is suspected.
BOOST_AUTO_TEST_CASE(AnswersAreToldOnlyIfTheyClearASuspect)
{
    for (int count = 0; count < 100; ++count)
        hosts[0]->exchange.answerBegan({ UpstreamId("other"), 1, PartSet({ 1, 2 }) });
    BOOST_TEST(messages == 0);
    crash(0, PartSet({ 1, 66 }), 1, PartSet({ 1, 2 }));
    messages = 0;
    for (int count = 0; count < 100; ++count)
        hosts[2]->exchange.answerBegan({ UpstreamId("other"), 1, PartSet({ 1, 2 }) });
    BOOST_TEST(messages == 1);
}

// Guards against a decision that each host writes to the store.
BOOST_AUTO_TEST_CASE(FewHostsKeepADecision)
{
    for (size_t host = 0; host < 3; ++host)
        crash(host, bad, host + 1, PartSet({ 200 + host }));
    int saved = 0;
    for (const auto& host : hosts)
        saved += host->saved;
    BOOST_TEST(saved == 1);
}

// Guards against rows of quarantines that have ended by their age and stay in the store, where a host that
// starts later takes them over.
BOOST_AUTO_TEST_CASE(AQuarantineThatEndsByItsAgeLeavesTheStore)
{
    Fixture fixture;
    const PartSet bad({ 66 });
    for (int count = 0; count < 3; ++count)
        fixture.crash(0, bad, 1, PartSet({ static_cast<uint64_t>(100 + count) }));
    BOOST_TEST(fixture.isHeld(3, bad));
    std::vector<int> before;
    for (const auto& host : fixture.hosts) {
        before.push_back(host->saved);
        host->lastSaved.reset();
    }
    fixture.scheduler.advance(2h);
    int writers = 0;
    for (size_t index = 0; index < fixture.hosts.size(); ++index) {
        BOOST_TEST(fixture.hosts[index]->exchange.activeCount() == 0u);
        writers += fixture.hosts[index]->saved - before[index];
        if (fixture.hosts[index]->lastSaved)
            BOOST_TEST(fixture.hosts[index]->lastSaved->isLifted);
    }
    BOOST_TEST(writers == 1);
}

BOOST_AUTO_TEST_SUITE_END()
