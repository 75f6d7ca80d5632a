#include "warmup/warm_up_limits.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const UpstreamId upstream("u-1");
const ColdStart coldStart { 60s, RequestRate(4) };

struct Fixture {
    /// Reads the row of the upstream.
    void read(int64_t startedAt, std::optional<Duration> remaining, bool isFirstRead = false)
    {
        limits.setPresent({ { upstream, { startedAt, limit, remaining, now } } }, isFirstRead, now);
        changes = limits.update(now);
    }
    bool learn(int64_t startedAt, Duration remaining, ColdSource source)
    {
        const bool isNews = limits.learn({ upstream, startedAt, remaining }, source, now);
        changes = limits.update(now);
        return isNews;
    }
    bool isColdAfter(Duration time)
    {
        now += time;
        changes = limits.update(now);
        return limits.rate(upstream).has_value();
    }

    MonotonicTime now { 100s };
    std::optional<ColdStart> limit = coldStart;
    WarmUpLimits limits;
    std::vector<ColdChange> changes;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WarmUpLimitsTest, Fixture)

// Guards against a process that crashes because its row came too early to state that it is cold.
BOOST_AUTO_TEST_CASE(ANewProcessWhoseRowSaysNothingIsColdForTheConfiguredTime)
{
    read(1, std::nullopt, true);
    BOOST_TEST(!isColdAfter(1s));
    read(2, std::nullopt);
    BOOST_REQUIRE(changes.size() == 1);
    BOOST_TEST((changes[0].source == ColdSource::Start));
    // Rows that follow say nothing, either.
    now += 30s;
    read(2, std::nullopt);
    BOOST_TEST(isColdAfter(29s));
    BOOST_TEST(!isColdAfter(2s));
    BOOST_TEST(changes.size() == 1);
}

// Guards against a fleet that starts and takes all of its upstreams for cold.
BOOST_AUTO_TEST_CASE(TheFirstReadTakesRowsAsTheyAre)
{
    read(1, std::nullopt, true);
    BOOST_TEST(!limits.rate(upstream));
    limits = WarmUpLimits();
    read(1, 5s, true);
    BOOST_TEST(limits.rate(upstream).has_value());
    BOOST_TEST((*limits.rate(upstream) < RequestRate(4.01)));
    BOOST_TEST(!isColdAfter(6s));
}

// Guards against a limit that ends early or grows because rows arrive at irregular intervals.
BOOST_AUTO_TEST_CASE(FallingRowsKeepTheEnd)
{
    read(1, 20s, true);
    const MonotonicTime end = now + 20s;
    for (int row = 0; row < 15; ++row) {
        now += 1200ms;
        read(1, end - now + 100ms);
        BOOST_TEST(changes.empty());
    }
    BOOST_TEST(isColdAfter(end - now));
    BOOST_TEST(!isColdAfter(200ms));
    // A row that was read before says nothing new, although the upstreams have changed.
    limits.setPresent({ { upstream, { 1, limit, 18s, now - 10s } } }, false, now);
    BOOST_TEST(limits.update(now).empty());
}

// Guards against a process that is flooded because its cold time seemed to be over.
BOOST_AUTO_TEST_CASE(AnUpstreamMayBecomeColdAgain)
{
    read(1, 5s, true);
    BOOST_TEST(!isColdAfter(6s));
    BOOST_TEST(learn(1, 20s, ColdSource::Response));
    BOOST_TEST(limits.rate(upstream).has_value());
    now += 3s;
    BOOST_TEST(!learn(1, 17s, ColdSource::Response));
    BOOST_TEST(learn(1, 40s, ColdSource::Response));
    // A row that was written before does not end it.
    read(1, Duration::zero());
    BOOST_TEST(isColdAfter(39s));
    BOOST_TEST(!isColdAfter(2s));
}

// Guards against two hosts that extend a cold time for ever, each by the delay of the other's messages.
BOOST_AUTO_TEST_CASE(HostsThatTellEachOtherDoNotExtendTheColdTime)
{
    WarmUpLimits peer;
    peer.setPresent({ { upstream, { 1, limit, std::nullopt, now } } }, true, now);
    read(1, 5s, true);
    int told = 0;
    for (const MonotonicTime end = now + 20s; now < end; now += 200ms) {
        const auto there = limits.known(upstream, now);
        const auto back = peer.known(upstream, now);
        now += 100ms;
        if (there)
            peer.learn(*there, ColdSource::Peer, now);
        if (back)
            limits.learn(*back, ColdSource::Peer, now);
        peer.update(now);
        limits.update(now);
        told += peer.rate(upstream) ? 1 : 0;
    }
    BOOST_TEST(told >= 10);
    BOOST_TEST(told <= 20);
    BOOST_TEST(!limits.rate(upstream));
}

// Guards against a statement about the process before, which arrives late.
BOOST_AUTO_TEST_CASE(AnEarlierProcessSaysNothingOfThisOne)
{
    read(2, Duration::zero(), true);
    BOOST_TEST(!learn(1, 30s, ColdSource::Response));
    learn(1, 30s, ColdSource::Peer);
    BOOST_TEST(!limits.rate(upstream));
    // A peer knows of a process before this host has read its row.
    learn(3, 30s, ColdSource::Peer);
    BOOST_TEST(limits.rate(upstream).has_value());
    read(2, Duration::zero());
    BOOST_TEST(limits.rate(upstream).has_value());
}

// Guards against limits, messages and log lines for a service that has no limit for cold upstreams.
BOOST_AUTO_TEST_CASE(WithoutAConfiguredLimitNothingChanges)
{
    limit.reset();
    read(1, 30s, true);
    read(2, std::nullopt);
    BOOST_TEST(!learn(2, 30s, ColdSource::Response));
    BOOST_TEST(changes.empty());
    BOOST_TEST(!limits.known(upstream, now));
    BOOST_TEST(limits.coldCount() == 0u);
    // The configuration may come later, and the times count from what was read.
    limit = coldStart;
    read(2, std::nullopt);
    BOOST_TEST(limits.rate(upstream).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
