// Compares three algorithms for enforcing a workspace's rate and burst over a fleet of 7 simulated daemons.
// The results and their meaning are in docs/experiments/allotment.md.

#include "coordination/charge_history.h"
#include "coordination/quota_bench_arms.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <future>
#include <memory>
#include <sstream>

ABSL_FLAG(int, seed, 1, "seed of arrivals, delays and sizes");
ABSL_FLAG(int, seconds, 120, "simulated seconds of load; runs with the table down last 600");
ABSL_FLAG(int, jobs, 4, "runs at the same time");
ABSL_FLAG(std::string, only, "", "run only scenarios whose name contains this text");

namespace lacewing {
namespace {

using namespace std::chrono_literals;

constexpr Duration warmUp = 30s;
constexpr Duration crashAfter = 20s;

struct Scenario {
    std::string arm;
    int workspaces = 5;
    double demand = 0.9;
    bool isSkewed = false;
    TableState table = TableState::Up;
    bool hasCrash = false;

    std::string name() const
    {
        std::ostringstream text;
        text << arm << " workspaces=" << workspaces << " demand=" << demand
             << (isSkewed ? " skewed " : " even ") << condition();
        return text.str();
    }
    std::string condition() const
    {
        const std::string name = table == TableState::Up ? "up" : table == TableState::Slow ? "slow" : "down";
        return name + (hasCrash ? ", crash" : "");
    }
};

QuotaLimits makeLimits(int workspaces)
{
    QuotaLimits limits;
    const std::vector<int64_t> few { 20'000, 10'000, 5'000, 2'000, 1'000 };
    for (int index = 0; index < workspaces; ++index) {
        const int64_t rate = workspaces == 5 ? few[index] : 200;
        const int64_t burst = std::max<int64_t>(5'000, 5 * rate);
        limits[WorkspaceId("workspace-" + std::to_string(index))]
            = { QuotaKind::Rate, Tokens(rate), Tokens(burst) };
    }
    return limits;
}

/// Central bucket without delay, the reference for all arms.
class IdealBucket {
public:
    IdealBucket(const QuotaLimit& limit, MonotonicTime now)
        : m_bucket(limit, now)
    {
        m_bucket.setPartitions(quotaPartitions, now);
    }

    std::optional<HeadroomHistory::Mark> reserve(Tokens tokens, MonotonicTime now)
    {
        if (m_bucket.level(now) < tokens)
            return std::nullopt;
        m_bucket.take(tokens, now);
        return m_bucket.spend(tokens, now);
    }
    void refund(Tokens tokens, HeadroomHistory::Mark mark, MonotonicTime now)
    {
        m_bucket.refund(tokens, mark, now);
    }

private:
    QuotaBucket m_bucket;
};

struct Result {
    Scenario scenario;
    int64_t requests = 0;
    int64_t admitted = 0;
    int64_t idealAdmitted = 0;
    /// Refused although the central bucket that follows the arm's decisions had enough.
    int64_t refusedWithin = 0;
    /// Refused, but admitted by the ideal bucket.
    int64_t refusedUnlikeIdeal = 0;
    int64_t lostInCrash = 0;
    int64_t usedTokens = 0;
    int64_t idealUsedTokens = 0;
    /// Rate x time + burst, summed over the workspaces.
    int64_t permitted = 0;
    int64_t excess = 0;
    std::vector<double> waits;
    double mostMessages = 0;
    double mostBytes = 0;
    double meanMessages = 0;
    double meanBytes = 0;
    double tableWrites = 0;
};

/// One run of one scenario.
class Run {
public:
    Run(const Scenario& scenario, int seed, Duration length)
        : m_random(static_cast<uint64_t>(seed))
        , m_length(length)
        , m_limits(makeLimits(scenario.workspaces))
    {
        m_result.scenario = scenario;
        if (scenario.arm == "lending")
            m_arm = std::make_unique<LendingArm>(m_scheduler, m_limits, scenario.table, seed);
        else if (scenario.arm == "static")
            m_arm = std::make_unique<StaticArm>(m_scheduler, m_limits);
        else
            m_arm = std::make_unique<TableArm>(m_scheduler, m_limits, scenario.table, seed);
        for (const auto& [workspace, limit] : m_limits) {
            m_ideal.emplace(workspace, IdealBucket(limit, m_scheduler.now()));
            m_histories[workspace].setLimit(m_scheduler.now(), limit);
            m_following[workspace].setLimit(m_scheduler.now(), limit);
        }
    }

    Result run()
    {
        m_scheduler.advance(warmUp);
        for (const auto& [workspace, limit] : m_limits)
            arriveLater(workspace, limit);
        if (m_result.scenario.hasCrash) {
            m_scheduler.runAfter(crashAfter, [this] {
                m_isCrashed = true;
                m_arm->crash(0);
            });
        }
        m_scheduler.advance(m_length);
        m_isOver = true;
        finish();
        m_scheduler.advance(10s);
        for (const auto& [workspace, limit] : m_limits)
            m_result.permitted += limit.burst.value()
                + limit.rate.value() * std::chrono::duration_cast<std::chrono::seconds>(m_length).count();
        for (auto& [workspace, history] : m_histories)
            m_result.excess += history.excess().value();
        m_result.lostInCrash = m_result.requests - m_answered;
        return m_result;
    }

private:
    void arriveLater(const WorkspaceId& workspace, const QuotaLimit& limit)
    {
        // Sizes are uniform in [100, 900]; of these 70 % are used on average.
        const double meanUsed = 500 * 0.7;
        const double perSecond
            = m_result.scenario.demand * static_cast<double>(limit.rate.value()) / meanUsed;
        const double wait = -std::log(1 - m_random.uniform()) / perSecond;
        m_scheduler.runAfter(std::chrono::duration_cast<Duration>(wait * 1s), [this, workspace, limit] {
            if (m_isOver)
                return;
            arrive(workspace);
            arriveLater(workspace, limit);
        });
    }

    int chooseHost()
    {
        const int host = m_result.scenario.isSkewed ? 0 : static_cast<int>(m_random.below(hostCount));
        if (!m_isCrashed || host != 0)
            return host;
        return m_result.scenario.isSkewed ? 1 : 1 + static_cast<int>(m_random.below(hostCount - 1));
    }

    void arrive(const WorkspaceId& workspace)
    {
        ++m_result.requests;
        const Tokens tokens(100 + static_cast<int64_t>(m_random.below(801)));
        const Tokens used(tokens.value() * (40 + static_cast<int64_t>(m_random.below(61))) / 100);
        const Duration duration = 500ms + Duration(static_cast<int64_t>(m_random.below(2'500'000'000)));
        const int host = chooseHost();
        const bool isIdeal = reserveIdeal(workspace, tokens, used, duration);
        const MonotonicTime arrival = m_scheduler.now();
        m_arm->reserve(host, workspace, tokens, [=](std::optional<uint64_t> id) {
            ++m_answered;
            if (!id) {
                m_result.refusedUnlikeIdeal += isIdeal ? 1 : 0;
                if (m_following[workspace].spare(m_scheduler.now()) >= tokens) {
                    ++m_result.refusedWithin;
                    follow(workspace, tokens, used, duration);
                }
                return;
            }
            follow(workspace, tokens, used, duration);
            ++m_result.admitted;
            m_result.usedTokens += used.value();
            m_result.waits.push_back(toSeconds(m_scheduler.now() - arrival));
            const size_t charge = m_histories[workspace].charge(m_scheduler.now(), tokens);
            m_scheduler.runAfter(duration, [=] {
                m_histories[workspace].amend(charge, used);
                m_arm->settle(host, workspace, *id, tokens, used);
            });
        });
    }

    void follow(const WorkspaceId& workspace, Tokens tokens, Tokens used, Duration duration)
    {
        const size_t charge = m_following[workspace].charge(m_scheduler.now(), tokens);
        m_scheduler.runAfter(duration, [=] { m_following[workspace].amend(charge, used); });
    }

    bool reserveIdeal(const WorkspaceId& workspace, Tokens tokens, Tokens used, Duration duration)
    {
        const auto mark = m_ideal.at(workspace).reserve(tokens, m_scheduler.now());
        if (!mark)
            return false;
        ++m_result.idealAdmitted;
        m_result.idealUsedTokens += used.value();
        m_scheduler.runAfter(
            duration, [=] { m_ideal.at(workspace).refund(tokens - used, *mark, m_scheduler.now()); });
        return true;
    }

    void finish()
    {
        const double seconds = toSeconds(m_length);
        for (int host = 0; host < hostCount; ++host) {
            const double messages = static_cast<double>(m_arm->sentMessages(host)) / seconds;
            const double bytes = static_cast<double>(m_arm->sentBytes(host)) / seconds;
            m_result.mostMessages = std::max(m_result.mostMessages, messages);
            m_result.mostBytes = std::max(m_result.mostBytes, bytes);
            m_result.meanMessages += messages / hostCount;
            m_result.meanBytes += bytes / hostCount;
        }
        m_result.tableWrites = static_cast<double>(m_arm->tableWrites()) / seconds;
    }

    VirtualScheduler m_scheduler;
    Random m_random;
    Duration m_length;
    QuotaLimits m_limits;
    std::unique_ptr<Arm> m_arm;
    std::map<WorkspaceId, IdealBucket> m_ideal;
    /// Amounts that the arm charged.
    std::map<WorkspaceId, ChargeHistory> m_histories;
    /// Central buckets that admit every request that the arm admits, and those it refuses if the level
    /// allows.
    std::map<WorkspaceId, ChargeHistory> m_following;
    bool m_isCrashed = false;
    bool m_isOver = false;
    int64_t m_answered = 0;
    Result m_result;
};

std::vector<Scenario> allScenarios()
{
    std::vector<Scenario> scenarios;
    for (const char* arm : { "lending", "static", "table" })
        for (int workspaces : { 5, 500 })
            for (double demand : { 0.9, 3.0 })
                for (bool isSkewed : { false, true })
                    for (bool hasCrash : { false, true })
                        for (TableState table : { TableState::Up, TableState::Slow, TableState::Down })
                            scenarios.push_back({ arm, workspaces, demand, isSkewed, table, hasCrash });
    return scenarios;
}

double percent(int64_t part, int64_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void print(Result& result)
{
    std::sort(result.waits.begin(), result.waits.end());
    const double p99 = result.waits.empty() ? 0 : result.waits[result.waits.size() * 99 / 100];
    const Scenario& scenario = result.scenario;
    std::printf("| %s | %d | %.0f %% | %s | %s | %ld | %.2f | %.2f | %.1f | %ld | %ld | %.0f | %.0f / %.0f | "
                "%.1f / %.1f "
                "| %.0f |\n",
        scenario.arm.c_str(), scenario.workspaces, scenario.demand * 100,
        scenario.isSkewed ? "skewed" : "even", scenario.condition().c_str(),
        static_cast<long>(result.requests),
        percent(result.refusedWithin, result.refusedWithin + result.admitted),
        percent(result.refusedUnlikeIdeal, result.idealAdmitted),
        percent(result.usedTokens, result.idealUsedTokens), static_cast<long>(result.excess),
        static_cast<long>(result.lostInCrash), p99 * 1000, result.mostMessages, result.meanMessages,
        result.mostBytes / 1000, result.meanBytes / 1000, result.tableWrites);
    std::fflush(stdout);
}

void runAll()
{
    std::printf(
        "| arm | workspaces | demand | callers | table | requests | refused within rate %% | refused unlike "
        "ideal %% | tokens of ideal %% | tokens over | lost in crash | p99 wait ms | messages/s most / mean "
        "| KB/s most / mean | table writes/s |\n");
    for (int column = 0; column < 15; ++column)
        std::printf("| --- ");
    std::printf("|\n");
    std::deque<std::future<Result>> running;
    const auto printFront = [&] {
        Result result = running.front().get();
        running.pop_front();
        print(result);
    };
    for (const Scenario& scenario : allScenarios()) {
        if (scenario.name().find(absl::GetFlag(FLAGS_only)) == std::string::npos)
            continue;
        if (static_cast<int>(running.size()) >= absl::GetFlag(FLAGS_jobs))
            printFront();
        const Duration length = scenario.table == TableState::Down
            ? Duration(600s)
            : Duration(std::chrono::seconds(absl::GetFlag(FLAGS_seconds)));
        running.push_back(
            std::async(std::launch::async, [scenario, length, seed = absl::GetFlag(FLAGS_seed)] {
                return Run(scenario, seed, length).run();
            }));
    }
    while (!running.empty())
        printFront();
}

} // namespace
} // namespace lacewing

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    lacewing::runAll();
    return 0;
}
