#include "coordination/upstream_health.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

std::set<UpstreamId> members(int count)
{
    std::set<UpstreamId> result;
    for (int i = 0; i < count; ++i)
        result.insert(UpstreamId("u" + std::to_string(i)));
    return result;
}

void fail(UpstreamHealth& health, const UpstreamId& upstream, int times, MonotonicTime now)
{
    for (int i = 0; i < times; ++i)
        health.recordFailure(upstream, now);
}

const UpstreamId first("u0");
constexpr MonotonicTime start(1h);

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamHealthTest)

// Guards against ejecting all upstreams because of a shared fault, such as a bad request or a lost link.
BOOST_AUTO_TEST_CASE(AtMostAThirdIsEjectedUnderRandomFailures)
{
    for (int count = 1; count <= 12; ++count) {
        UpstreamHealth health { UpstreamHealth::Options {} };
        health.setMembers(members(count), start);
        Random random(static_cast<uint64_t>(count));
        size_t most = 0;
        MonotonicTime now = start;
        for (int i = 0; i < 5000; ++i) {
            now += Duration(std::chrono::milliseconds(random.below(100)));
            const UpstreamId upstream("u" + std::to_string(random.below(static_cast<uint64_t>(count))));
            if (random.chance(0.9))
                health.recordFailure(upstream, now);
            else
                health.recordSuccess(upstream, now);
            most = std::max(most, health.ejected(now));
        }
        BOOST_TEST(most == static_cast<size_t>(count / 3));
    }
}

// Guards against more than a third of the group staying ejected after members were removed.
BOOST_AUTO_TEST_CASE(ShrunkGroupReadmits)
{
    UpstreamHealth health { UpstreamHealth::Options {} };
    health.setMembers(members(9), start);
    for (int i = 0; i < 3; ++i)
        fail(health, UpstreamId("u" + std::to_string(i)), 5, start + i * 1ms);
    BOOST_TEST(health.ejected(start + 1s) == 3u);
    health.setMembers(members(4), start + 1s);
    BOOST_TEST(health.ejected(start + 1s) == 1u);
    BOOST_TEST(health.weight(first, start + 1s) > 0);
}

// Guards against a readmitted upstream that gets its full load at once, and against a slow start that never
// ends.
BOOST_AUTO_TEST_CASE(ReadmissionStartsSlowly)
{
    UpstreamHealth health { UpstreamHealth::Options {} };
    health.setMembers(members(3), start);
    fail(health, first, 4, start);
    BOOST_TEST(health.weight(first, start) == 1);
    fail(health, first, 1, start);
    BOOST_TEST(health.weight(first, start + 1s) == 0);
    const double early = health.weight(first, start + 6s);
    BOOST_TEST(early > 0);
    BOOST_TEST(early < 0.3);
    BOOST_TEST(health.weight(first, start + 20s) > early);
    BOOST_TEST(health.weight(first, start + 60s) == 1);
}

// Guards against an upstream that keeps getting requests although it still fails after its ejection.
BOOST_AUTO_TEST_CASE(RepeatedEjectionsLastLonger)
{
    UpstreamHealth health { UpstreamHealth::Options {} };
    health.setMembers(members(3), start);
    fail(health, first, 5, start);
    const MonotonicTime again = start + 6s;
    fail(health, first, 2, again);
    BOOST_TEST(health.weight(first, again + 7s) == 0);
    BOOST_TEST(health.weight(first, again + 11s) > 0);
}

// Guards against missing an upstream that fails most requests but never several in a row.
BOOST_AUTO_TEST_CASE(HighFailureRateEjects)
{
    UpstreamHealth health { UpstreamHealth::Options {} };
    health.setMembers(members(3), start);
    for (int i = 0; i < 20; ++i) {
        fail(health, first, 2, start);
        health.recordSuccess(first, start);
    }
    BOOST_TEST(health.weight(first, start) == 0);
}

// Guards against full load on an upstream that has just restarted and is cold.
BOOST_AUTO_TEST_CASE(NewBootIdStartsSlowly)
{
    UpstreamHealth health { UpstreamHealth::Options {} };
    health.setMembers(members(3), start);
    health.recordBootId(first, "one", start);
    BOOST_TEST(health.weight(first, start) == 1);
    health.recordBootId(first, "two", start);
    BOOST_TEST(health.weight(first, start) < 0.2);
    health.recordBootId(first, "two", start + 40s);
    BOOST_TEST(health.weight(first, start + 40s) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
