#pragma once

// The algorithms for enforcing a fleet-wide limit that allotment-bench compares.

#include "coordination/simulated_quota.h"
#include "state/simulated_table.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <sstream>

namespace lacewing {

inline constexpr int hostCount = 7;
inline constexpr Duration maximumWait = std::chrono::milliseconds(250);
// Time until the guardian ends a crashed daemon's session and its partitions are reassigned.
inline constexpr Duration takeoverTime = std::chrono::seconds(7);
inline constexpr Duration slowTableDelay = std::chrono::milliseconds(500);

/// State of the table during a run.
enum class TableState { Up, Slow, Down };

inline HostId hostId(int host)
{
    return HostId("host-" + std::to_string(host));
}

/// One algorithm for enforcing the limits.
class Arm {
public:
    /// Receives an id for settle(), or nothing if refused.
    using Callback = std::function<void(std::optional<uint64_t> id)>;

    virtual ~Arm() = default;
    virtual void reserve(int host, const WorkspaceId& workspace, Tokens tokens, Callback callback) = 0;
    virtual void settle(int host, const WorkspaceId& workspace, uint64_t id, Tokens tokens, Tokens used) = 0;
    virtual void crash(int host) = 0;
    virtual int64_t sentMessages(int host) const { return 0; }
    virtual int64_t sentBytes(int host) const { return 0; }
    virtual int64_t tableWrites() const { return 0; }
};

/// Partitioned buckets whose holders grant amounts to other hosts; the algorithm used in production.
class LendingArm : public Arm {
public:
    LendingArm(VirtualScheduler& scheduler, const QuotaLimits& limits, TableState table, uint64_t seed)
        : m_scheduler(scheduler)
        , m_table(table)
        , m_fleet(scheduler, seed)
    {
        m_fleet.network().setDelay(std::chrono::milliseconds(1), std::chrono::milliseconds(2));
        for (int host = 0; host < hostCount; ++host) {
            auto& daemon = m_fleet.start(hostId(host), Incarnation(1));
            daemon.holder.setLimits(limits);
            daemon.quotaClient.setLimits(limits);
        }
        std::map<int, std::set<int>> partitions;
        for (int partition = 0; partition < quotaPartitions; ++partition)
            partitions[partition % hostCount].insert(partition);
        for (int host = 0; host < hostCount; ++host)
            m_fleet.setPartitions(hostId(host), partitions[host], grantTtl);
        m_fleet.announceHolders();
    }

    void reserve(int host, const WorkspaceId& workspace, Tokens tokens, Callback callback) override
    {
        auto& daemon = *m_fleet.find(hostId(host));
        daemon.quotaClient.reserve(workspace, tokens, daemon.after(maximumWait),
            [callback = std::move(callback)](const ReserveResult& result) {
                callback(result.reservation ? std::make_optional(result.reservation->id) : std::nullopt);
            });
    }

    void settle(int host, const WorkspaceId& workspace, uint64_t id, Tokens tokens, Tokens used) override
    {
        if (auto* daemon = m_fleet.find(hostId(host)))
            daemon->quotaClient.settle({ id, workspace, tokens }, used);
    }

    void crash(int host) override
    {
        const std::set<int> orphans = m_fleet.find(hostId(host))->partitions;
        m_fleet.crash(hostId(host));
        if (m_table == TableState::Down)
            return;
        const Duration delay
            = takeoverTime + (m_table == TableState::Slow ? 4 * slowTableDelay : Duration::zero());
        m_scheduler.runAfter(delay, [this, orphans] {
            for (int partition : orphans) {
                const HostId successor = hostId(1 + partition % (hostCount - 1));
                std::set<int> partitions = m_fleet.find(successor)->partitions;
                partitions.insert(partition);
                m_fleet.setPartitions(successor, partitions, grantTtl);
            }
            m_fleet.announceHolders();
        });
    }

    int64_t sentMessages(int host) const override { return m_fleet.sentMessages(hostId(host)); }
    int64_t sentBytes(int host) const override { return m_fleet.sentBytes(hostId(host)); }

private:
    VirtualScheduler& m_scheduler;
    TableState m_table;
    SimulatedQuotaFleet m_fleet;
};

/// Static split: each host enforces a fixed seventh of every limit.
class StaticArm : public Arm {
public:
    StaticArm(VirtualScheduler& scheduler, const QuotaLimits& limits)
        : m_scheduler(scheduler)
    {
        for (const auto& [workspace, limit] : limits) {
            const QuotaLimit part { limit.kind, Tokens(limit.rate.value() / hostCount),
                Tokens(limit.burst.value() / hostCount) };
            for (int host = 0; host < hostCount; ++host) {
                auto& bucket
                    = m_buckets[host].emplace(workspace, QuotaBucket(part, scheduler.now())).first->second;
                bucket.setPartitions(quotaPartitions, scheduler.now());
            }
        }
    }

    void reserve(int host, const WorkspaceId& workspace, Tokens tokens, Callback callback) override
    {
        QuotaBucket& bucket = m_buckets[host].at(workspace);
        if (bucket.level(m_scheduler.now()) < tokens)
            return callback(std::nullopt);
        bucket.take(tokens, m_scheduler.now());
        callback(bucket.spend(tokens, m_scheduler.now()));
    }

    void settle(int host, const WorkspaceId& workspace, uint64_t id, Tokens tokens, Tokens used) override
    {
        m_buckets[host].at(workspace).refund(tokens - used, id, m_scheduler.now());
    }

    void crash(int host) override { }

private:
    VirtualScheduler& m_scheduler;
    std::map<WorkspaceId, QuotaBucket> m_buckets[hostCount];
};

/// One counter row a workspace in the table, changed by compare-and-set. A host has at most one change of a
/// row in progress and batches the requests that arrive meanwhile. Time comes from one perfect clock, and
/// refunds are capped at the burst only; both favour this arm.
class TableArm : public Arm {
public:
    TableArm(VirtualScheduler& scheduler, const QuotaLimits& limits, TableState state, uint64_t seed)
        : m_scheduler(scheduler)
        , m_limits(limits)
        , m_random(seed)
        , m_table(scheduler, seed)
    {
        for (int host = 0; host < hostCount; ++host)
            m_clients.push_back(m_table.client(hostId(host)));
        if (state == TableState::Slow)
            m_table.setDelay(slowTableDelay / 2, slowTableDelay / 2);
        m_table.setDown(state == TableState::Down);
    }

    void reserve(int host, const WorkspaceId& workspace, Tokens tokens, Callback callback) override
    {
        Row& row = m_rows[{ host, workspace }];
        row.waiting.push_back({ tokens, m_scheduler.now() + maximumWait, std::move(callback) });
        m_scheduler.runAfter(maximumWait, [this, host, workspace] {
            Row& late = m_rows[{ host, workspace }];
            while (!late.waiting.empty() && late.waiting.front().deadline <= m_scheduler.now())
                refuseFront(late);
        });
        change(host, workspace);
    }

    void settle(int host, const WorkspaceId& workspace, uint64_t id, Tokens tokens, Tokens used) override
    {
        m_rows[{ host, workspace }].refund += tokens - used;
        change(host, workspace);
    }

    void crash(int host) override { }
    int64_t tableWrites() const override { return m_table.writeCount(); }

private:
    struct Waiting {
        Tokens tokens;
        MonotonicTime deadline;
        Callback callback;
    };
    struct Row {
        std::deque<Waiting> waiting;
        Tokens refund;
        bool isChanging = false;
    };

    void refuseFront(Row& row)
    {
        const Callback callback = std::move(row.waiting.front().callback);
        row.waiting.pop_front();
        callback(std::nullopt);
    }

    void change(int host, const WorkspaceId& workspace)
    {
        Row& row = m_rows[{ host, workspace }];
        if (row.isChanging || (row.waiting.empty() && row.refund == Tokens()))
            return;
        row.isChanging = true;
        m_clients[host]->read({ workspace.value() }, [=](const std::vector<TableRow>& rows, auto error) {
            if (error)
                return end(host, workspace, true);
            commit(host, workspace, rows.empty() ? TableRow() : rows.front());
        });
    }

    void commit(int host, const WorkspaceId& workspace, const TableRow& stored)
    {
        Row& row = m_rows[{ host, workspace }];
        const QuotaLimit& limit = m_limits.at(workspace);
        const double now = toSeconds(m_scheduler.now().time_since_epoch());
        double level = static_cast<double>(limit.burst.value());
        double time = now;
        if (!stored.value.empty())
            std::istringstream(stored.value) >> level >> time;
        level += static_cast<double>(limit.rate.value()) * (now - time)
            + static_cast<double>(row.refund.value());
        level = std::min(level, static_cast<double>(limit.burst.value()));
        size_t served = 0;
        while (
            served < row.waiting.size() && static_cast<double>(row.waiting[served].tokens.value()) <= level)
            level -= static_cast<double>(row.waiting[served++].tokens.value());
        std::ostringstream value;
        value.precision(17);
        value << level << ' ' << now;
        const Tokens refund = std::exchange(row.refund, Tokens());
        std::vector<Waiting> taken;
        for (; served > 0; --served) {
            taken.push_back(std::move(row.waiting.front()));
            row.waiting.pop_front();
        }
        // Requests that can't be served are refused at once, as the ideal bucket does.
        while (!row.waiting.empty())
            refuseFront(row);
        auto shared = std::make_shared<std::vector<Waiting>>(std::move(taken));
        m_clients[host]->commit({ std::to_string(++m_writeId), { { workspace.value(), stored.version } },
                                    { { workspace.value(), value.str() } } },
            [=](std::optional<TableError> error) { finishCommit(host, workspace, *shared, refund, error); });
    }

    void finishCommit(int host, const WorkspaceId& workspace, std::vector<Waiting>& taken, Tokens refund,
        std::optional<TableError> error)
    {
        Row& row = m_rows[{ host, workspace }];
        if (error) {
            row.refund += refund;
            for (auto waiting = taken.rbegin(); waiting != taken.rend(); ++waiting)
                row.waiting.push_front(std::move(*waiting));
            return end(host, workspace, error != TableError::Conflict);
        }
        for (const Waiting& waiting : taken) {
            const bool isLate = waiting.deadline < m_scheduler.now();
            if (isLate)
                row.refund += waiting.tokens;
            waiting.callback(isLate ? std::nullopt : std::make_optional(++m_writeId));
        }
        end(host, workspace, false);
    }

    void end(int host, const WorkspaceId& workspace, bool isUnavailable)
    {
        Row& row = m_rows[{ host, workspace }];
        while (!row.waiting.empty() && (isUnavailable || row.waiting.front().deadline <= m_scheduler.now()))
            refuseFront(row);
        m_scheduler.runAfter(
            Duration(static_cast<int64_t>(m_random.below(5'000'000))), [this, host, workspace] {
                m_rows[{ host, workspace }].isChanging = false;
                change(host, workspace);
            });
    }

    VirtualScheduler& m_scheduler;
    QuotaLimits m_limits;
    Random m_random;
    SimulatedTable m_table;
    std::vector<std::unique_ptr<TableService>> m_clients;
    std::map<std::pair<int, WorkspaceId>, Row> m_rows;
    uint64_t m_writeId = 0;
};

} // namespace lacewing
