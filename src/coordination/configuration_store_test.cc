#include "coordination/configuration_simulation_test.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <future>

using namespace lacewing;
using namespace lacewing::simulation;

namespace {

constexpr Duration faultTime = 30s;
constexpr Duration convergenceTime = 11s;
constexpr Duration withdrawalBound = 5s;

/// One seeded simulation: concurrent submitters and random faults, followed by a fault-free period in which
/// all daemons must converge.
class SimulationRun {
public:
    /// @param hidesPeers hides the sessions of all other daemons from each daemon, which disables the rule
    /// that peers must vouch.
    SimulationRun(uint64_t seed, ConfigurationStoreOptions options, bool hidesPeers)
        : m_environment(seed)
        , m_random(seed)
        , m_options(std::move(options))
    {
        m_environment.hidesPeers = hidesPeers;
        // 3 to 9 daemons, biased towards fewer because the running time grows with the square of their
        // number.
        const size_t count = 3 + std::min(m_random.below(7), m_random.below(7));
        for (size_t i = 0; i < count; ++i)
            m_owned.push_back(std::make_unique<SimulatedDaemon>(
                m_environment, HostId("host" + std::to_string(i)), m_daemons));
        for (const auto& daemon : m_owned)
            m_daemons.push_back(daemon.get());
    }

    /// @return the first violated invariant, or an empty string.
    std::string run()
    {
        for (SimulatedDaemon* daemon : m_daemons)
            daemon->start(m_options);
        assignPollers();
        runFor(3s);
        submitAgain();
        causeFaults();
        runFor(faultTime);
        m_faultsEnded = true;
        endAllFaults();
        runFor(convergenceTime);
        if (m_violation.empty())
            checkConvergence();
        return m_violation;
    }

    int acceptedCount() const { return static_cast<int>(m_accepted.size()); }

private:
    struct Acceptance {
        MonotonicTime time;
        std::string withdrawnHash;
    };

    SimulatedDaemon& randomDaemon() { return *m_daemons[m_random.below(m_daemons.size())]; }
    Duration between(Duration shortest, Duration longest)
    {
        return shortest + Duration(static_cast<int64_t>(m_random.below((longest - shortest).count())));
    }

    void runFor(Duration duration)
    {
        const MonotonicTime end = m_environment.scheduler.now() + duration;
        while (
            m_violation.empty() && m_environment.scheduler.now() < end && m_environment.scheduler.runNext())
            check();
    }

    void assignPollers()
    {
        m_environment.scheduler.runAfter(1s, [this] { assignPollers(); });
        std::map<size_t, int> pollers;
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i]->isRunning())
                m_daemons[i]->store().setPolling(pollers[i % 3]++ < 2);
        }
    }

    void submitAgain()
    {
        if (m_faultsEnded)
            return;
        for (uint64_t racers = 1 + m_random.below(3); racers > 0; --racers)
            submit(randomDaemon());
        m_environment.scheduler.runAfter(between(100ms, 3s), [this] { submitAgain(); });
    }

    void submit(SimulatedDaemon& daemon)
    {
        if (!daemon.isActive())
            return;
        SubmitRequest request;
        request.configuration = daemon.store().configuration();
        request.expectedRevision = daemon.store().revision();
        const WorkspaceId workspace("w");
        request.configuration.workspaces[workspace] = { workspace, Tokens(1), Tokens(1) };
        std::string withdrawn;
        auto& keys = request.configuration.keys;
        if (keys.size() > 3) {
            withdrawn = keys.front().hash;
            keys.erase(keys.begin());
        }
        const std::string id = "k" + std::to_string(++m_lastKey);
        keys.push_back({ id, workspace, sha256Hex(id) });
        request.sessionCondition = [&daemon] { return daemon.sessionCondition(); };
        daemon.store().submit(std::move(request), [this, withdrawn](const SubmitResult& result) {
            if (result.status != SubmitResult::Status::Accepted)
                return;
            const bool isNew
                = m_accepted.emplace(result.revision, Acceptance { m_environment.scheduler.now(), withdrawn })
                      .second;
            if (!isNew)
                m_violation = "two accepted submissions share a revision";
        });
    }

    void causeFaults()
    {
        if (m_faultsEnded)
            return;
        causeFault(randomDaemon());
        m_environment.scheduler.runAfter(between(500ms, 6s), [this] { causeFaults(); });
    }

    void causeFault(SimulatedDaemon& daemon)
    {
        const Duration length = between(500ms, 12s);
        const HostId host = daemon.host();
        switch (m_random.below(9)) {
        case 0:
            m_environment.table.setDown(true);
            return later(length * 2, [this] { m_environment.table.setDown(false); });
        case 1:
            m_environment.objects.isDown = true;
            return later(length, [this] { m_environment.objects.isDown = false; });
        case 2:
            m_environment.table.setLostAnswerProbability(0.5);
            return later(length, [this] { m_environment.table.setLostAnswerProbability(0); });
        case 3:
            m_environment.table.setReachable(host, false);
            return later(length, [this, host] { m_environment.table.setReachable(host, true); });
        case 4:
            return cut(daemon, randomDaemon(), length);
        case 5:
            for (SimulatedDaemon* other : m_daemons)
                cut(daemon, *other, length);
            return;
        case 6:
            daemon.setPaused(true);
            return later(length, [&daemon] { daemon.setPaused(false); });
        case 7:
            daemon.crash();
            break;
        default:
            // The submitter stops and the table becomes unavailable just after a submission.
            submit(daemon);
            later(between(1ms, 300ms), [this, &daemon] { stop(daemon); });
            later(between(10ms, 400ms), [this] { m_environment.table.setDown(!m_faultsEnded); });
            later(length * 2, [this] { m_environment.table.setDown(false); });
        }
        later(length, [this, &daemon] { restart(daemon); });
    }

    void stop(SimulatedDaemon& daemon)
    {
        if (m_faultsEnded)
            return;
        if (daemon.isActive() && m_random.chance(0.5))
            daemon.stopGracefully();
        else
            daemon.crash();
    }

    void restart(SimulatedDaemon& daemon)
    {
        if (!daemon.isRunning())
            daemon.start(m_options);
    }

    void cut(SimulatedDaemon& a, SimulatedDaemon& b, Duration length)
    {
        if (&a == &b)
            return;
        setConnected(a.host(), b.host(), false);
        later(length, [this, &a, &b] { setConnected(a.host(), b.host(), true); });
    }

    void setConnected(const HostId& a, const HostId& b, bool connected)
    {
        const auto pair = std::minmax(a, b);
        m_environment.network.setConnected(a, b, connected);
        if (connected)
            m_environment.cuts.erase({ pair.first, pair.second });
        else
            m_environment.cuts.insert({ pair.first, pair.second });
    }

    void later(Duration delay, std::function<void()> action)
    {
        m_environment.scheduler.runAfter(delay, std::move(action));
    }

    void endAllFaults()
    {
        m_environment.table.setDown(false);
        m_environment.objects.isDown = false;
        m_environment.table.setLostAnswerProbability(0);
        for (SimulatedDaemon* daemon : m_daemons) {
            m_environment.table.setReachable(daemon->host(), true);
            daemon->setPaused(false);
            restart(*daemon);
            for (SimulatedDaemon* other : m_daemons)
                setConnected(daemon->host(), other->host(), true);
        }
    }

    void check()
    {
        const MonotonicTime now = m_environment.scheduler.now();
        auto due = m_accepted.rbegin();
        while (due != m_accepted.rend() && now - due->second.time <= withdrawalBound)
            ++due;
        for (SimulatedDaemon* daemon : m_daemons) {
            if (!daemon->isActive())
                continue;
            const Revision revision = daemon->store().revision();
            Revision& last = daemon->lastSeenRevision();
            if (revision < last)
                m_violation = "the revision decreased at " + daemon->host().value();
            if (revision != last)
                checkRing(*daemon);
            last = revision;
            if (due != m_accepted.rend() && revision < due->first && daemon->store().keyedRoutesOpen())
                m_violation = daemon->host().value() + " accepts keys of revision "
                    + std::to_string(revision.value()) + " more than 5 s after revision "
                    + std::to_string(due->first.value()) + " was accepted";
        }
    }

    void checkRing(SimulatedDaemon& daemon)
    {
        for (const auto& [revision, acceptance] : m_accepted) {
            if (revision <= daemon.store().revision()
                && daemon.ring().grantsAccess(acceptance.withdrawnHash, WorkspaceId("w")))
                m_violation = "a withdrawn key is still valid at " + daemon.host().value();
        }
    }

    void checkConvergence()
    {
        const Revision latest = m_accepted.empty() ? Revision(0) : m_accepted.rbegin()->first;
        for (SimulatedDaemon* daemon : m_daemons) {
            if (daemon->store().revision() < latest)
                m_violation = daemon->host().value() + " has not reached the accepted revision";
            else if (!daemon->store().keyedRoutesOpen())
                m_violation = daemon->host().value() + " keeps its keyed routes closed";
        }
    }

    SimulatedEnvironment m_environment;
    Random m_random;
    ConfigurationStoreOptions m_options;
    std::vector<std::unique_ptr<SimulatedDaemon>> m_owned;
    std::vector<SimulatedDaemon*> m_daemons;
    std::map<Revision, Acceptance> m_accepted;
    std::string m_violation;
    int m_lastKey = 0;
    bool m_faultsEnded = false;
};

uint64_t environmentNumber(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Combined outcome of many seeds.
struct SeedSummary {
    std::string violation;
    int64_t accepted = 0;
};

/// Runs a range of seeds on several threads.
///
/// @return the violation of the lowest failing seed, which does not depend on thread scheduling.
SeedSummary runSeeds(
    uint64_t first, uint64_t count, const ConfigurationStoreOptions& options, bool hidesPeers)
{
    constexpr uint64_t threadCount = 4;
    const auto runShare = [&](uint64_t share) {
        std::pair<uint64_t, SeedSummary> result { first + count, {} };
        for (uint64_t seed = first + share; seed < first + count; seed += threadCount) {
            SimulationRun run(seed, options, hidesPeers);
            const std::string violation = run.run();
            result.second.accepted += run.acceptedCount();
            if (violation.empty())
                continue;
            result.first = seed;
            result.second.violation = "LACEWING_SEED=" + std::to_string(seed) + ": " + violation;
            break;
        }
        return result;
    };
    std::vector<std::future<std::pair<uint64_t, SeedSummary>>> shares;
    for (uint64_t share = 0; share < threadCount; ++share)
        shares.push_back(std::async(std::launch::async, runShare, share));
    uint64_t lowest = first + count;
    SeedSummary summary;
    for (auto& share : shares) {
        const auto [seed, part] = share.get();
        summary.accepted += part.accepted;
        if (seed < lowest)
            summary.violation = part.violation;
        lowest = std::min(lowest, seed);
    }
    return summary;
}

/// A fleet without random faults.
struct Fleet {
    explicit Fleet(size_t count)
        : environment(1)
    {
        for (size_t i = 0; i < count; ++i)
            owned.push_back(
                std::make_unique<SimulatedDaemon>(environment, HostId("host" + std::to_string(i)), daemons));
        for (const auto& daemon : owned)
            daemons.push_back(daemon.get());
        for (SimulatedDaemon* daemon : daemons)
            daemon->start({});
        environment.scheduler.advance(10s);
    }
    void cutOff(size_t index)
    {
        for (SimulatedDaemon* other : daemons) {
            environment.network.setConnected(daemons[index]->host(), other->host(), false);
            environment.cuts.insert(std::minmax(daemons[index]->host(), other->host()));
        }
    }
    std::string openDaemons() const
    {
        std::string result;
        for (SimulatedDaemon* daemon : daemons)
            result += !daemon->isRunning() ? '-' : daemon->store().keyedRoutesOpen() ? 'o' : 'c';
        return result;
    }

    SimulatedEnvironment environment;
    std::vector<std::unique_ptr<SimulatedDaemon>> owned;
    std::vector<SimulatedDaemon*> daemons;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationStoreTest)

// Guards against revisions that decrease or are assigned twice, withdrawn keys that stay valid, and daemons
// that never converge. LACEWING_SEED replays one seed; LACEWING_SEEDS sets the number of seeds.
BOOST_AUTO_TEST_CASE(RulesHoldUnderFaults)
{
    const uint64_t first = environmentNumber("LACEWING_SEED", 1);
    const uint64_t count
        = std::getenv("LACEWING_SEED") != nullptr ? 1 : environmentNumber("LACEWING_SEEDS", 3000);
    const SeedSummary summary = runSeeds(first, count, {}, false);
    BOOST_TEST(summary.violation.empty(), summary.violation);
    BOOST_TEST_MESSAGE("accepted=" << summary.accepted);
    // Without accepted submissions the invariants would not be exercised.
    BOOST_TEST(summary.accepted > 0);
}

// Guards against checks that detect nothing: disables each of the two rules for keyed routes and expects a
// violation.
BOOST_AUTO_TEST_CASE(BrokenRulesAreFound)
{
    ConfigurationStoreOptions neverStale;
    neverStale.maximumHeadAge = 1h;
    const std::string stale = runSeeds(1, 300, neverStale, false).violation;
    BOOST_TEST(stale.find("accepts keys") != std::string::npos);
    const std::string hidden = runSeeds(1, 300, {}, true).violation;
    BOOST_TEST(hidden.find("accepts keys") != std::string::npos);
    BOOST_TEST_MESSAGE(stale << "\n" << hidden);
}

// Guards against a table outage that closes keyed routes although no submission can have been accepted, and
// against daemons that keep them open while two unaccounted peers may have accepted one.
BOOST_AUTO_TEST_CASE(TableOutageKeepsRoutesOpenUnlessTwoPeersAreUnaccounted)
{
    Fleet fleet(4);
    BOOST_TEST(fleet.openDaemons() == "oooo");
    fleet.environment.table.setDown(true);
    fleet.environment.scheduler.advance(60s);
    BOOST_TEST(fleet.openDaemons() == "oooo");
    // The goodbye accounts for a planned restart. The restarted daemon has no head age and stays closed.
    fleet.daemons[1]->stopGracefully();
    fleet.environment.scheduler.advance(60s);
    BOOST_TEST(fleet.openDaemons() == "o-oo");
    fleet.daemons[1]->start({});
    fleet.environment.scheduler.advance(60s);
    BOOST_TEST(fleet.openDaemons() == "ocoo");
    fleet.cutOff(2);
    fleet.environment.scheduler.advance(10s);
    BOOST_TEST(fleet.openDaemons() == "occo");
    fleet.daemons[1]->crash();
    fleet.environment.scheduler.advance(10s);
    BOOST_TEST(fleet.openDaemons() == "c-cc");
    fleet.environment.table.setDown(false);
    fleet.environment.scheduler.advance(10s);
    BOOST_TEST(fleet.openDaemons() == "o-oo");
}

// Guards against a daemon that fetches objects from a single source only.
BOOST_AUTO_TEST_CASE(ConfigurationComesFromPeersDuringObjectStoreOutage)
{
    Fleet fleet(3);
    SubmitRequest request;
    const WorkspaceId workspace("w");
    request.configuration.workspaces[workspace] = { workspace, Tokens(1), Tokens(1) };
    request.sessionCondition = [&] { return fleet.daemons[0]->sessionCondition(); };
    std::optional<SubmitResult> result;
    fleet.daemons[0]->store().submit(request, [&](const SubmitResult& answer) { result = answer; });
    fleet.environment.scheduler.advance(30ms);
    fleet.environment.objects.isDown = true;
    fleet.environment.scheduler.advance(3s);
    BOOST_REQUIRE(result);
    BOOST_TEST(toString(result->status) == "accepted");
    for (SimulatedDaemon* daemon : fleet.daemons)
        BOOST_TEST(daemon->store().revision() == Revision(1));

    // A second submission based on the old revision gets the changes since then; a third cannot store its
    // objects.
    fleet.daemons[1]->store().submit(request, [&](const SubmitResult& answer) { result = answer; });
    fleet.environment.scheduler.advance(3s);
    BOOST_TEST(toString(result->status) == "conflict");
    BOOST_REQUIRE(result->changes.size() == 1U);
    BOOST_TEST(result->changes.front().text() == "workspace w added (1 tokens/s)");
    request.expectedRevision = Revision(1);
    request.configuration.workspaces[workspace].rate = Tokens(2);
    fleet.daemons[0]->store().submit(request, [&](const SubmitResult& answer) { result = answer; });
    fleet.environment.scheduler.advance(10s);
    BOOST_TEST(toString(result->status) == "unavailable");
    BOOST_TEST(fleet.daemons[0]->store().revision() == Revision(1));
    request.configuration.workspaces[workspace].rate = Tokens(0);
    fleet.daemons[0]->store().submit(request, [&](const SubmitResult& answer) { result = answer; });
    fleet.environment.scheduler.advance(1s);
    BOOST_TEST(toString(result->status) == "invalid");
}

BOOST_AUTO_TEST_SUITE_END()
