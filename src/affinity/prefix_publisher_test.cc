#include "affinity/prefix_publisher.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lacewing;
using namespace lacewing::affinity;
using namespace std::chrono_literals;

namespace {

SharedPrefixes shared(uint32_t first, uint32_t count)
{
    SharedPrefixes prefixes;
    for (uint32_t index = 0; index < count; ++index)
        prefixes.recent.push_back(PrefixFingerprint { first + index });
    return prefixes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixPublisherTest)

// Load: heartbeats to 90 hosts, each request changes which prefix was used last. Guards against bytes for a
// digest whose prefixes are the same, and for an empty one.
BOOST_AUTO_TEST_CASE(SendsOnlyChanges)
{
    PrefixPublisher publisher;
    MonotonicTime now(100s);
    BOOST_TEST(!publisher.stateToAll({}, now).digest);
    BOOST_TEST(!publisher.stateToNewPeer({}).digest);
    SharedPrefixes recent = shared(1, 3);
    BOOST_TEST(publisher.stateToAll(recent, now).digest->size() == 3);
    std::reverse(recent.recent.begin(), recent.recent.end());
    now += 10s;
    BOOST_TEST(!publisher.stateToAll(recent, now).digest);
    BOOST_TEST(publisher.stateToNewPeer(recent).digest->size() == 3);
    BOOST_TEST(publisher.stateToAll({}, now).digest->empty());
}

// Load: more shared prefixes than a digest names, used in turn. Guards against a digest that changes with
// every heartbeat.
BOOST_AUTO_TEST_CASE(KeepsPublishedPrefixesThatAreStillUsed)
{
    PrefixPublisher publisher;
    MonotonicTime now(100s);
    publisher.stateToAll(shared(1, 40), now);
    SharedPrefixes rotated = shared(1, 40);
    for (int heartbeat = 0; heartbeat < 100; ++heartbeat) {
        now += 200ms;
        std::rotate(rotated.recent.begin(), rotated.recent.begin() + 7, rotated.recent.end());
        BOOST_TEST(!publisher.stateToAll(rotated, now).digest);
    }
}

// Guards against digests in each heartbeat while the prefixes change quickly.
BOOST_AUTO_TEST_CASE(WaitsBetweenTwoDigests)
{
    PrefixPublisher publisher;
    MonotonicTime now(100s);
    int sent = 0;
    for (uint32_t heartbeat = 0; heartbeat < 50; ++heartbeat) {
        sent += publisher.stateToAll(shared(100 * heartbeat, 10), now).digest ? 1 : 0;
        now += 200ms;
    }
    BOOST_TEST(sent == 5);
}

// Guards against peers that never get a digest again after another host owned the engine in between.
BOOST_AUTO_TEST_CASE(RefreshesAnUnchangedDigest)
{
    PrefixPublisher publisher;
    const MonotonicTime now(100s);
    publisher.stateToAll(shared(1, 3), now);
    BOOST_TEST(!publisher.stateToAll(shared(1, 3), now + 29s).digest);
    BOOST_TEST(publisher.stateToAll(shared(1, 3), now + 30s).digest->size() == 3);
    publisher.stateToAll({}, now + 40s);
    BOOST_TEST(!publisher.stateToAll({}, now + 80s).digest);
}

BOOST_AUTO_TEST_SUITE_END()
