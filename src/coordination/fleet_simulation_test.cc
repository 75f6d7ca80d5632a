// Seeded simulation of 3 to 9 daemons under mixed faults. LACEWING_FLEET_SEED=n replays one seed with the
// log, LACEWING_FLEET_SEEDS=n sets the number of seeds.

#include "coordination/fleet_checker_test.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <set>
#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

constexpr Duration faultTime = 45s;
/// Bound on the time from the end of all faults until every lease is held.
constexpr Duration recoveryTime = 25s;
constexpr Duration handOverTime = 1s;
constexpr uint64_t defaultSeeds = 2000;
constexpr unsigned threads = 4;

uint64_t environmentNumber(const char* name, uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// One run: injects faults at random times, then clears them and requires that all leases are held again.
class FaultRun {
public:
    FaultRun(uint64_t seed, const SafetyRules* rules)
        : m_random(seed * 7919 + 17)
        , m_fleet(options(seed, rules))
        , m_checker(m_fleet)
    {
        for (size_t i = 0; i < m_fleet.size(); ++i)
            later(milliseconds(0, 3000), [this, i] { m_fleet.start(i); });
        planFault();
    }

    /// @return the violation, or an empty string.
    std::string run()
    {
        const MonotonicTime end = m_fleet.scheduler().now() + faultTime;
        if (!runUntil(end))
            return m_checker.violation();
        clearFaults();
        if (!runUntil(end + recoveryTime))
            return m_checker.violation();
        return unheldLeases();
    }

private:
    static SimulatedFleetOptions options(uint64_t seed, const SafetyRules* rules)
    {
        SimulatedFleetOptions options;
        options.seed = seed;
        options.daemons = 3 + seed % 7;
        options.dataCentres = 1 + seed % 3;
        options.rules = rules;
        // Short enough for renewals and TTL expiry of sessions to occur within the run.
        if (seed % 2 == 1) {
            options.session.ttl = 15s;
            options.session.renewInterval = 4s;
        }
        return options;
    }

    bool runUntil(MonotonicTime end)
    {
        while (m_fleet.scheduler().now() < end) {
            m_fleet.scheduler().runNext();
            m_checker.logTime();
            if (!m_checker.check())
                return false;
        }
        return true;
    }

    /// Retries for a short time, because a hand-over may be in progress when the run ends.
    std::string unheldLeases()
    {
        std::set<std::string> idle;
        for (const LeaseName& lease : m_fleet.leases())
            idle.insert(lease.name);
        const MonotonicTime end = m_fleet.scheduler().now() + handOverTime;
        while (!idle.empty() && m_fleet.scheduler().now() < end) {
            for (auto lease = idle.begin(); lease != idle.end();)
                lease
                    = m_checker.activeHolder(*lease) < m_fleet.size() ? idle.erase(lease) : std::next(lease);
            if (!runUntil(m_fleet.scheduler().now() + 100ms))
                return m_checker.violation();
        }
        return idle.empty() ? std::string() : "not held after the faults ended: " + *idle.begin();
    }

    Duration milliseconds(uint64_t from, uint64_t to)
    {
        return std::chrono::milliseconds(from + m_random.below(to - from));
    }
    void later(Duration delay, std::function<void()> action)
    {
        m_fleet.scheduler().runAfter(delay, std::move(action));
    }

    void planFault()
    {
        later(milliseconds(100, 5000), [this] {
            if (m_faultsCleared)
                return;
            startFault(m_random.below(m_fleet.size()));
            planFault();
        });
    }

    void startFault(size_t daemon)
    {
        switch (m_random.below(9)) {
        case 0:
            return crash(daemon);
        case 1:
            return pause(daemon);
        case 2:
            m_fleet.setCutOff(daemon, true);
            return later(milliseconds(500, 15000), [this, daemon] { m_fleet.setCutOff(daemon, false); });
        case 3:
            m_fleet.table().setDown(true);
            return later(milliseconds(500, 12000), [this] { m_fleet.table().setDown(false); });
        case 4: {
            const HostId host("h" + std::to_string(daemon));
            m_fleet.table().setReachable(host, false);
            return later(
                milliseconds(500, 15000), [this, host] { m_fleet.table().setReachable(host, true); });
        }
        case 5:
            m_fleet.table().setLostAnswerProbability(0.4);
            return later(milliseconds(500, 15000), [this] { m_fleet.table().setLostAnswerProbability(0); });
        case 6:
            m_fleet.table().setLateCommitProbability(0.4);
            return later(milliseconds(500, 15000), [this] { m_fleet.table().setLateCommitProbability(0); });
        case 7:
            return degradeNetwork();
        default:
            return stop(daemon);
        }
    }

    void crash(size_t daemon)
    {
        if (!m_fleet.isRunning(daemon))
            return;
        m_fleet.crash(daemon, m_random.chance(0.5));
        later(milliseconds(10, 20000), [this, daemon] { startIfDown(daemon); });
    }

    void pause(size_t daemon)
    {
        if (!m_fleet.isRunning(daemon) || m_fleet.isPaused(daemon))
            return;
        m_fleet.pause(daemon);
        later(milliseconds(100, 15000), [this, daemon] { resume(daemon); });
    }

    void degradeNetwork()
    {
        m_fleet.network().setDelay(1ms, milliseconds(10, 3000));
        m_fleet.network().setLossProbability(m_random.uniform() * 0.3);
        m_fleet.network().setDuplicationProbability(m_random.uniform() * 0.2);
        m_fleet.table().setDelay(1ms, milliseconds(5, 1500));
        later(milliseconds(500, 15000), [this] { restoreNetwork(); });
    }

    void stop(size_t daemon)
    {
        if (!m_fleet.isRunning(daemon))
            return;
        m_fleet.stop(daemon);
        // A graceful stop that is blocked by the faults is replaced by a kill, as an operator would do.
        later(milliseconds(9000, 20000), [this, daemon] {
            if (m_fleet.isRunning(daemon) && m_fleet.member(daemon).session().isLeaving())
                m_fleet.crash(daemon, false);
            startIfDown(daemon);
        });
    }

    void startIfDown(size_t daemon)
    {
        if (!m_fleet.isRunning(daemon))
            m_fleet.start(daemon);
    }

    void resume(size_t daemon)
    {
        if (m_fleet.isPaused(daemon))
            m_fleet.resume(daemon);
    }

    void restoreNetwork()
    {
        m_fleet.network().setDelay(1ms, 3ms);
        m_fleet.network().setLossProbability(0);
        m_fleet.network().setDuplicationProbability(0);
        m_fleet.table().setDelay(1ms, 5ms);
    }

    void clearFaults()
    {
        m_faultsCleared = true;
        restoreNetwork();
        m_fleet.table().setDown(false);
        m_fleet.table().setLostAnswerProbability(0);
        m_fleet.table().setLateCommitProbability(0);
        for (size_t i = 0; i < m_fleet.size(); ++i) {
            m_fleet.table().setReachable(HostId("h" + std::to_string(i)), true);
            m_fleet.setCutOff(i, false);
            resume(i);
            if (m_fleet.isRunning(i) && m_fleet.member(i).session().isLeaving())
                m_fleet.crash(i, false);
            startIfDown(i);
        }
    }

    Random m_random;
    SimulatedFleet m_fleet;
    FleetChecker m_checker;
    bool m_faultsCleared = false;
};

/// @return the violation of the lowest failed seed, or an empty string. Stops at the first failure.
std::string runSeeds(uint64_t count, const SafetyRules* rules)
{
    std::atomic<uint64_t> next { 1 };
    std::mutex mutex;
    uint64_t failedSeed = 0;
    std::string violation;
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (uint64_t seed = next++; seed <= count; seed = next++) {
                const std::string found = FaultRun(seed, rules).run();
                if (found.empty())
                    continue;
                next = count + 1;
                const std::lock_guard<std::mutex> lock(mutex);
                if (failedSeed == 0 || seed < failedSeed) {
                    failedSeed = seed;
                    violation = found;
                }
            }
        });
    }
    for (std::thread& worker : workers)
        worker.join();
    return failedSeed == 0 ? std::string()
                           : "LACEWING_FLEET_SEED=" + std::to_string(failedSeed) + " " + violation;
}

/// Broken rule: a guardian may end a session a quarter of the guard TTL after acknowledging a heartbeat.
class PrematureSessionEnd : public SafetyRules {
    Duration promise(Duration guardTtl) const override { return guardTtl / 4; }
};

/// Broken rule: an acknowledgement extends the validity from its arrival, not from the heartbeat's sending.
class ValidityFromReceipt : public SafetyRules {
    MonotonicTime acknowledgedFrom(MonotonicTime, MonotonicTime receivedAt) const override
    {
        return receivedAt;
    }
};

/// Broken rule: a lease is taken over without waiting for the end of the holder's session.
class TakeoverWithoutSessionEnd : public SafetyRules {
    bool isGone(const SessionRow&, Incarnation) const override { return true; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetSimulationTest, *boost::unit_test::fixture<QuietLog>())

// Guards against two daemons that act under one lease, decreasing or reused fencing numbers, reused
// incarnations, and leases that stay without a holder after faults.
BOOST_AUTO_TEST_CASE(LeasesStayExclusiveUnderMixedFaults)
{
    if (const uint64_t seed = environmentNumber("LACEWING_FLEET_SEED", 0)) {
        BOOST_TEST(FaultRun(seed, nullptr).run() == "");
        return;
    }
    BOOST_TEST(runSeeds(environmentNumber("LACEWING_FLEET_SEEDS", defaultSeeds), nullptr) == "");
}

// Guards against ineffective checks: the same runs must fail if any one safety rule is broken.
BOOST_AUTO_TEST_CASE(ChecksFindBrokenRules)
{
    const PrematureSessionEnd prematureEnd;
    const ValidityFromReceipt fromReceipt;
    const TakeoverWithoutSessionEnd earlyTakeover;
    for (const SafetyRules* rules :
        std::initializer_list<const SafetyRules*> { &prematureEnd, &fromReceipt, &earlyTakeover }) {
        const std::string violation = runSeeds(defaultSeeds, rules);
        BOOST_TEST_MESSAGE("broken rule: " << violation);
        const bool found = violation.find("two daemons may act") != std::string::npos
            || violation.find("fencing number") != std::string::npos;
        BOOST_TEST(found);
    }
}

BOOST_AUTO_TEST_SUITE_END()
