#include "rejection/rejection_pacing.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <vector>

using namespace lacewing;
using namespace lacewing::rejection;
using namespace std::chrono_literals;

namespace {

const UpstreamId upstream("u-1");
constexpr Duration step = 2ms;

/// A fleet that offers one upstream more than it takes.
struct Fleet {
    size_t hosts = 7;
    double offeredPerSecond = 200;
    size_t room = 6;
    Duration work = 50ms;
    RequestRate bearable { 10 };

    /// Plays some seconds and counts from the fourth one on.
    void play(Duration duration)
    {
        std::vector<RejectionPacing> pacing;
        for (size_t host = 0; host < hosts; ++host)
            pacing.emplace_back(host + 1);
        std::deque<MonotonicTime> running;
        std::deque<MonotonicTime> rejections;
        Random random(1);
        MonotonicTime now = MonotonicTime() + 1h;
        const MonotonicTime begin = now;
        for (; now < begin + duration; now += step) {
            while (!running.empty() && running.front() <= now)
                running.pop_front();
            while (!rejections.empty() && rejections.front() <= now - 1s)
                rejections.pop_front();
            if (!random.chance(offeredPerSecond * toSeconds(step)))
                continue;
            RejectionPacing& host = pacing[random.below(hosts)];
            if (host.waitFor(upstream, 1, now) > Duration::zero())
                continue;
            host.sent(upstream, now);
            const bool isCounted = now - begin > 4s;
            if (running.size() < room) {
                running.push_back(now + work);
                served += isCounted ? 1 : 0;
                continue;
            }
            rejections.push_back(now);
            mostRejections = std::max(mostRejections, isCounted ? rejections.size() : size_t(0));
            for (RejectionPacing& each : pacing)
                each.rejected({ upstream, 1, bearable }, now);
        }
    }

    int served = 0;
    size_t mostRejections = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RejectionPacingTest)

// Guards against an upstream that fails because more is rejected than it bears, and against one that is
// hardly used any more; fleets of different sizes.
BOOST_AUTO_TEST_CASE(KeepsRejectionsBelowWhatTheUpstreamBears)
{
    for (const size_t hosts : { size_t(3), size_t(7), size_t(71) }) {
        for (const size_t room : { size_t(2), size_t(6), size_t(20) }) {
            Fleet fleet;
            fleet.hosts = hosts;
            fleet.room = room;
            fleet.play(30s);
            BOOST_TEST(fleet.mostRejections <= 10u,
                hosts << " hosts, room " << room << ": " << fleet.mostRejections);
            const double mostServed = std::min(static_cast<double>(room) / toSeconds(fleet.work), 200.0);
            BOOST_TEST(
                fleet.served > mostServed * 26 / 4, hosts << " hosts, room " << room << ": " << fleet.served);
        }
    }
}

// Guards against a host that holds requests back from an upstream that has started anew, or that has had room
// for long.
BOOST_AUTO_TEST_CASE(ANewProcessIsNotPaced)
{
    RejectionPacing pacing(1);
    const MonotonicTime now = MonotonicTime() + 1h;
    pacing.rejected({ upstream, 1, RequestRate(10) }, now);
    for (int request = 0; request < 3; ++request)
        pacing.sent(upstream, now);
    BOOST_TEST((pacing.waitFor(upstream, 1, now) > Duration::zero()));
    BOOST_TEST((pacing.waitFor(upstream, 2, now) == Duration::zero()));
    BOOST_TEST((pacing.waitFor(upstream, 1, now + 60s) == Duration::zero()));
    pacing.retain(now + 60s);
    for (int request = 0; request < 3; ++request)
        pacing.sent(upstream, now + 61s);
    BOOST_TEST((pacing.waitFor(upstream, 1, now + 61s) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()
