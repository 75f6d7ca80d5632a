#include "base/virtual_scheduler.h"
#include "gateway/fake_row_decoder_test.h"
#include "gateway/fake_row_store_test.h"
#include "gateway/heartbeat_interval.h"
#include "gateway/operator_row_exchange.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr size_t hostCount = 71;
constexpr size_t readerCount = 6;
constexpr size_t routeCount = 1400;
/// 10 Mbit/s.
constexpr double linkBytesPerSecond = 10e6 / 8;
/// Time within which a configuration must be in force on all hosts.
constexpr Duration deadline = 3s;
/// Time without a heartbeat after which a host of such a fleet is out of touch.
const Duration heartbeatTimeout = heartbeatTimeoutFor(heartbeatIntervalFor(hostCount - 1));

/// Decodes configurations that begin with their revision.
class RevisionDecoder : public FakeRowDecoder {
public:
    std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string& value, std::string&) const override
    {
        return ServingConfiguration::Builder(Revision(std::stoll(value))).build();
    }
};

/// @return a configuration as operators write it: many similar routes with names of their own.
std::string configuration(int64_t revision, size_t routes)
{
    Random random(static_cast<uint64_t>(revision));
    std::string text = std::to_string(revision) + " {\"routes\":[";
    for (size_t index = 0; index < routes; ++index) {
        const std::string name = std::to_string(random.next() % 100'000'000);
        text += "{\"name\":\"r-" + name + "\",\"host\":\"h" + std::to_string(random.next() % 9)
            + ".example\"," + "\"prefix\":\"/p" + name + "/\",\"service\":\"service-3\",\"kind\":\"stream\","
            + "\"timeout_ms\":4000,\"attempts\":2,\"target_latency_ms\":800,\"priority\":2},";
    }
    return text + "]}";
}

struct Host;

/// Hosts with slow links between all of them, on virtual time. What a host sends waits until its link has
/// taken what it has sent before.
class Fleet {
public:
    Fleet();

    void send(const HostId& from, const HostId& to, const PeerMessage& message);
    void advance(Duration duration);
    void change(int64_t revision, size_t routes);
    /// @return the number of hosts that have a revision.
    size_t countWith(int64_t revision) const;

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    RevisionDecoder decoder;
    std::map<HostId, std::unique_ptr<Host>> hosts;
    /// Longest time that a heartbeat was on its way.
    Duration longestHeartbeat {};

private:
    static constexpr Duration linkDelay = 1ms;
    static constexpr Duration step = 20ms;

    void sendHeartbeats();

    std::map<HostId, MonotonicTime> m_linkFreeAt;
    std::map<HostId, MonotonicTime> m_nextHeartbeat;
};

struct Host {
    Host(Fleet& fleet, const HostId& id, uint64_t seed)
        : random(seed)
        , tracker(fleet.scheduler, fleet.store, fleet.decoder, { [] {}, [](const AdapterRelease&) {} })
        , exchange(fleet.scheduler, tracker, random,
              [&fleet, id](const HostId& peer, const PeerMessage& message) { fleet.send(id, peer, message); })
    {
    }

    void receive(const HostId& peer, const PeerMessage& message)
    {
        if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&message))
            exchange.onHeartbeat(peer, heartbeat->operatorVersion, heartbeat->configurationRevision);
        else if (const auto* request = std::get_if<PeerOperatorRequest>(&message))
            exchange.onRequest(peer, *request);
        else if (const auto* rows = std::get_if<PeerOperatorRows>(&message))
            exchange.onRows(peer, table_sync::RowPacker::unpack(rows->rows));
    }

    Random random;
    ConfigurationTracker tracker;
    OperatorRowExchange exchange;
};

Fleet::Fleet()
{
    store.put({ "op", "config" }, configuration(1, 40));
    for (size_t index = 0; index < hostCount; ++index) {
        const HostId id("host-" + std::to_string(index));
        hosts.emplace(id, std::make_unique<Host>(*this, id, index + 1));
        hosts.at(id)->tracker.start();
        m_nextHeartbeat[id] = scheduler.now() + heartbeatIntervalFor(hostCount) * index / hostCount;
    }
    scheduler.advance(100ms);
    size_t index = 0;
    for (const auto& [id, host] : hosts)
        host->tracker.setReader(index++ < readerCount);
    advance(2s);
}

void Fleet::send(const HostId& from, const HostId& to, const PeerMessage& message)
{
    const std::string frame = encodePeerMessage(message);
    const MonotonicTime sent = scheduler.now();
    MonotonicTime& freeAt = m_linkFreeAt[from];
    const std::chrono::duration<double> transfer(static_cast<double>(frame.size()) / linkBytesPerSecond);
    freeAt = std::max(freeAt, sent) + std::chrono::duration_cast<Duration>(transfer);
    scheduler.runAfter(freeAt + linkDelay - sent, [this, from, to, frame, sent] {
        const auto received = decodePeerMessage(frame);
        if (std::holds_alternative<PeerHeartbeat>(*received))
            longestHeartbeat = std::max<Duration>(longestHeartbeat, scheduler.now() - sent);
        hosts.at(to)->receive(from, *received);
    });
}

void Fleet::sendHeartbeats()
{
    for (const auto& [id, host] : hosts) {
        if (scheduler.now() < m_nextHeartbeat[id])
            continue;
        m_nextHeartbeat[id] += heartbeatIntervalFor(hostCount - 1);
        PeerHeartbeat heartbeat;
        heartbeat.operatorVersion = host->tracker.newestRowVersion();
        heartbeat.configurationRevision = host->tracker.revision();
        for (const auto& [peer, other] : hosts) {
            if (peer != id)
                send(id, peer, heartbeat);
        }
    }
}

void Fleet::advance(Duration duration)
{
    for (Duration passed {}; passed < duration; passed += step) {
        scheduler.advance(step);
        sendHeartbeats();
    }
}

void Fleet::change(int64_t revision, size_t routes)
{
    store.put({ "op", "config" }, configuration(revision, routes));
}

size_t Fleet::countWith(int64_t revision) const
{
    return static_cast<size_t>(std::count_if(hosts.begin(), hosts.end(),
        [&](const auto& entry) { return entry.second->tracker.revision() == Revision(revision); }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(LargeConfigurationTest)

// Guards against a configuration with many routes that is in force on some hosts only seconds after it was
// confirmed, and against heartbeats that wait behind it.
BOOST_AUTO_TEST_CASE(ReachesAllHostsInTime)
{
    Fleet fleet;
    fleet.change(2, routeCount);
    fleet.advance(deadline);
    BOOST_TEST(fleet.countWith(2) == hostCount);
    BOOST_TEST(toMilliseconds(fleet.longestHeartbeat) < toMilliseconds(heartbeatTimeout));
}

// The same for changes that follow each other while earlier ones are still on their way.
BOOST_AUTO_TEST_CASE(ReachesAllHostsInTimeInASeriesOfChanges)
{
    Fleet fleet;
    for (int64_t revision = 2; revision <= 6; ++revision) {
        fleet.change(revision, routeCount);
        fleet.advance(500ms);
    }
    fleet.advance(deadline - 500ms);
    BOOST_TEST(fleet.countWith(6) == hostCount);
    BOOST_TEST(toMilliseconds(fleet.longestHeartbeat) < toMilliseconds(heartbeatTimeout));
}

BOOST_AUTO_TEST_SUITE_END()
