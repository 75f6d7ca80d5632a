#include "gateway/workspace_rate_limiter.h"

#include "base/random.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration window = 8s;

ServingWorkspace workspace(double rate, double burst)
{
    ServingWorkspace result;
    result.id = WorkspaceId("busy");
    result.limit.ratePerSecond = rate;
    result.limit.burst = burst;
    return result;
}

/// Hosts that exchange usage reports and charge a workspace whose load exceeds its limit.
class Hosts {
public:
    explicit Hosts(int count, MonotonicTime start)
    {
        for (int index = 0; index < count; ++index) {
            names.push_back(HostId("host-" + std::to_string(index)));
            limiters.push_back(std::make_unique<WorkspaceRateLimiter>(window, names.back(), start - window));
        }
        setDisconnected({});
    }

    /// Sets the tolerance that users permit: a tenth of the limit and 17,000 tokens.
    void setTolerance()
    {
        for (auto& limiter : limiters)
            limiter->setTolerance({ 0.1, 17000 });
    }

    /// @param disconnected indices of hosts that are disconnected from all others.
    void setDisconnected(const std::set<size_t>& disconnected)
    {
        m_disconnected = disconnected;
        for (size_t self = 0; self < limiters.size(); ++self) {
            std::map<HostId, bool> members;
            for (size_t other = 0; other < limiters.size(); ++other)
                members[names[other]]
                    = self == other || (disconnected.count(self) + disconnected.count(other) == 0);
            limiters[self]->setMembers(members);
        }
    }

    void exchange(MonotonicTime now)
    {
        for (size_t from = 0; from < limiters.size(); ++from)
            deliver(from, limiters[from]->heartbeatReport(now), now);
    }

    /// Charges the workspace at a host, and sends an early report when one is due.
    ///
    /// @return whether the charge was admitted.
    bool charge(size_t host, const ServingWorkspace& spender, int64_t amount, MonotonicTime now)
    {
        if (limiters[host]->charge(spender, amount, now))
            return false;
        if (limiters[host]->isReportDue()) {
            ++earlyReports;
            deliver(host, limiters[host]->earlyReport(now), now);
        }
        return true;
    }

    void deliver(size_t from, const std::vector<UsageReport>& usage, MonotonicTime now)
    {
        for (size_t to = 0; to < limiters.size(); ++to) {
            if (to != from && !dropsReports && m_disconnected.count(from) + m_disconnected.count(to) == 0)
                limiters[to]->peerReported(names[from], Incarnation(1), usage, now);
        }
    }

    /// Drops all reports while the hosts still consider each other reachable.
    bool dropsReports = false;
    int earlyReports = 0;

    std::vector<HostId> names;
    std::vector<std::unique_ptr<WorkspaceRateLimiter>> limiters;

private:
    std::set<size_t> m_disconnected;
};

/// @return the maximum amount charged in any window.
int64_t mostInWindow(const std::vector<std::pair<MonotonicTime, int64_t>>& charges)
{
    int64_t most = 0;
    int64_t sum = 0;
    size_t first = 0;
    for (const auto& [time, amount] : charges) {
        sum += amount;
        while (time - charges[first].first >= window)
            sum -= charges[first++].second;
        most = std::max(most, sum);
    }
    return most;
}

int64_t overload(const std::set<size_t>& disconnected)
{
    MonotonicTime now(100s);
    Hosts hosts(7, now);
    hosts.setTolerance();
    Random random(11);
    std::vector<std::pair<MonotonicTime, int64_t>> charges;
    for (int step = 0; step < 3000; ++step) {
        now += 10ms;
        if (step == 800)
            hosts.setDisconnected(disconnected);
        for (int attempt = 0; attempt < 4; ++attempt) {
            const size_t host = random.below(7);
            const auto amount = static_cast<int64_t>(500 + random.below(4000));
            if (hosts.charge(host, workspace(90000, 90000), amount, now))
                charges.emplace_back(now, amount);
        }
        if (step % 20 == 0)
            hosts.exchange(now);
    }
    return mostInWindow(charges);
}

constexpr double limit = 90000 * 8 + 90000;
/// Users permit a tenth and 17,000 tokens beyond the limit.
constexpr double bound = limit * 1.1 + 17000;

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceRateLimiterTest)

// Load: one workspace sends many times its limit through all hosts. Guards against exceeding the limit
// between two reports, and against refusing requests far below it.
BOOST_AUTO_TEST_CASE(KeepsTheLimitOverAllHosts)
{
    const auto most = static_cast<double>(overload({}));
    BOOST_TEST(most <= bound);
    BOOST_TEST(most >= 0.9 * limit);
}

// Guards against disconnected hosts charging the same part of the limit as the others.
BOOST_AUTO_TEST_CASE(KeepsTheLimitWhileHostsAreCutOff)
{
    BOOST_TEST(static_cast<double>(overload({ 2 })) <= bound);
    BOOST_TEST(static_cast<double>(overload({ 0, 1, 2, 3 })) <= bound);
}

// Guards against a second burst just after all hosts lost power, and with it the record of earlier
// usage.
BOOST_AUTO_TEST_CASE(GrantsNoSecondBurstAfterAllHostsRestart)
{
    const MonotonicTime start(100s);
    WorkspaceRateLimiter limiter(window, HostId("host-0"), start);
    limiter.setMembers({ { HostId("host-0"), true } });
    int64_t spent = 0;
    while (!limiter.charge(workspace(1000, 8000), 100, start + 1s))
        spent += 100;
    BOOST_TEST(spent <= 2000);
    BOOST_TEST(spent >= 1000);
}

// Load: a lightly loaded workspace starts to send many times its usual, and all hosts lose power meanwhile.
// Guards against exceeding the permitted tolerance in a window that spans the restart (hunt on glowwalk-ho,
// trouble-3, seed 939303371695).
BOOST_DATA_TEST_CASE(KeepsTheLimitAroundARestartOfAllHosts, boost::unit_test::data::xrange(1, 13), seed)
{
    MonotonicTime now(100s);
    Random random(static_cast<uint64_t>(seed));
    std::vector<std::pair<MonotonicTime, int64_t>> charges;
    auto hosts = std::make_unique<Hosts>(7, now);
    hosts->setTolerance();
    for (int step = 0; step < 1600; ++step) {
        now += 10ms;
        if (step == 780) {
            hosts = std::make_unique<Hosts>(7, now + window);
            hosts->setTolerance();
        }
        const bool isHot = step > 400;
        for (int attempt = 0; attempt < (isHot ? 4 : 1); ++attempt) {
            const auto amount = static_cast<int64_t>(isHot ? 500 + random.below(4000) : 300);
            if (hosts->charge(random.below(7), workspace(90000, 90000), amount, now))
                charges.emplace_back(now, amount);
        }
        if (step % 20 == 0)
            hosts->exchange(now);
    }
    BOOST_TEST(static_cast<double>(mostInWindow(charges)) <= bound);
}

// Guards against a restarted host refusing requests for a whole window although its peers know the usage.
BOOST_AUTO_TEST_CASE(LearnsEarlierUsageFromPeers)
{
    const MonotonicTime start(100s);
    WorkspaceRateLimiter limiter(window, HostId("host-0"), start);
    limiter.setMembers({ { HostId("host-0"), true }, { HostId("host-1"), true } });
    limiter.extendKnownSince(start - window);
    limiter.peerReported(HostId("host-1"), Incarnation(1), { { WorkspaceId("busy"), 9000, 4000 } }, start);
    int64_t spent = 0;
    while (!limiter.charge(workspace(1000, 8000), 100, start + 1s)) {
        spent += 100;
        limiter.heartbeatReport(start + 1s);
    }
    // The whole burst is left, since the usage at the peer is within the rate.
    BOOST_TEST(spent == 8000);
}

// Guards against charging for requests that have not run.
BOOST_AUTO_TEST_CASE(RefundsRequestsThatHaveNotRun)
{
    const MonotonicTime start(100s);
    WorkspaceRateLimiter limiter(window, HostId("host-0"), start - window);
    limiter.setMembers({ { HostId("host-0"), true } });
    BOOST_TEST(!limiter.charge(workspace(10, 100), 100, start));
    BOOST_TEST(limiter.charge(workspace(10, 100), 10, start).has_value());
    limiter.refund(WorkspaceId("busy"), 100, start);
    BOOST_TEST(!limiter.charge(workspace(10, 100), 100, start));
}

// Load: a large fleet that gets requests of one workspace, well within its limit, through random hosts.
// Guards against refusing a request because the same host charged another one since the last heartbeat, as
// observed in glowwalk-ho-grown quiet-1.
BOOST_AUTO_TEST_CASE(RefusesNothingWithinTheLimitInALargeFleet)
{
    MonotonicTime now(100s);
    Hosts hosts(70, now);
    Random random(3);
    int refused = 0;
    for (int step = 0; step < 2000; ++step) {
        now += 10ms;
        if (random.chance(0.2))
            refused += hosts.charge(random.below(70), workspace(40000, 40000), 1600, now) ? 0 : 1;
        if (step % 56 == 0)
            hosts.exchange(now);
    }
    BOOST_TEST(refused == 0);
    BOOST_TEST(hosts.earlyReports > 0);
}

// Guards against early reports removing the bound on usage while they are lost and the peer is not yet known
// to be unreachable.
BOOST_AUTO_TEST_CASE(BoundsSpendingBetweenHeartbeatsWhoseReportsAreLost)
{
    MonotonicTime now(100s);
    Hosts hosts(70, now);
    hosts.dropsReports = true;
    int64_t spent = 0;
    const ServingWorkspace spender = workspace(100000, 700000);
    for (int attempt = 0; attempt < 1000; ++attempt)
        spent += hosts.charge(0, spender, 1000, now) ? 1000 : 0;
    // Twelve fair shares of the burst.
    BOOST_TEST(spent <= 120000);
    BOOST_TEST(spent >= 110000);
}

// Guards against a newly connected peer not learning of earlier usage.
BOOST_AUTO_TEST_CASE(SendsAllUsageToANewPeer)
{
    const MonotonicTime start(100s);
    WorkspaceRateLimiter limiter(window, HostId("host-0"), start - window);
    limiter.setMembers({ { HostId("host-0"), true } });
    BOOST_TEST(!limiter.charge(workspace(1000, 8000), 700, start));
    BOOST_TEST(limiter.heartbeatReport(start).size() == 1);
    BOOST_TEST(limiter.heartbeatReport(start).empty());
    const auto whole = limiter.fullReport(start);
    BOOST_REQUIRE(whole.size() == 1);
    BOOST_TEST(whole[0].total == 700);
}

BOOST_AUTO_TEST_SUITE_END()
