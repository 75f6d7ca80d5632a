#pragma once

#include "base/simulated_network.h"
#include "base/virtual_scheduler.h"
#include "coordination/quota_client.h"

#include <map>
#include <memory>
#include <set>

namespace lacewing {

/// Clock and timers of one simulated process. Its clock is offset against other processes, and timers don't
/// run while the process is paused.
class SimulatedProcessScheduler : public Scheduler {
public:
    /// @param offset difference of this process's clock to simulated time.
    SimulatedProcessScheduler(Scheduler& scheduler, Duration offset);
    ~SimulatedProcessScheduler() override;

    MonotonicTime now() const override;
    TimerId runAfter(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId timer) override;

    /// Timers that fall due in a pause run at its end.
    void setPaused(bool paused);
    bool isPaused() const { return m_isPaused; }
    /// Fault injection: a clock that does not count the time of pauses, as Clock forbids.
    void setStopsInPauses(bool stops) { m_stopsInPauses = stops; }

private:
    void run(TimerId timer);

    Scheduler& m_scheduler;
    Duration m_offset;
    bool m_isPaused = false;
    bool m_stopsInPauses = false;
    MonotonicTime m_pausedAt;
    TimerId m_nextTimer = 1;
    struct Timer {
        TimerId outer = 0;
        std::function<void()> callback;
    };
    std::map<TimerId, Timer> m_timers;
    std::vector<TimerId> m_held;
};

/// Fleet of simulated daemons, each with a PartitionHolder and a QuotaClient, for tests and benchmarks.
class SimulatedQuotaFleet {
public:
    /// One daemon. Destroyed by a crash.
    struct Daemon {
        Daemon(SimulatedQuotaFleet& fleet, HostId host, Incarnation incarnation, Duration clockOffset);

        /// @return this daemon's time for a delay from now.
        MonotonicTime after(Duration delay) const { return scheduler.now() + delay; }

        HostId host;
        std::function<bool()> isSessionValid = [] { return true; };
        std::set<int> partitions;
        SimulatedProcessScheduler scheduler;
        std::unique_ptr<PeerMessenger> messenger;
        PartitionHolder holder;
        QuotaClient quotaClient;
    };

    SimulatedQuotaFleet(VirtualScheduler& scheduler, uint64_t seed);
    ~SimulatedQuotaFleet();

    /// Starts a daemon without partitions.
    Daemon& start(const HostId& host, Incarnation incarnation, Duration clockOffset = Duration::zero());
    void crash(const HostId& host);
    /// @return the daemon, or nullptr if it does not run.
    Daemon* find(const HostId& host);
    const std::map<HostId, std::unique_ptr<Daemon>>& daemons() const { return m_daemons; }

    /// Sets a daemon's partitions, now held.
    void setPartitions(const HostId& host, const std::set<int>& partitions, Duration fillAfter);
    /// Passes the number of partitions of each host to all clients.
    void announceHolders();

    SimulatedNetwork& network() { return m_network; }
    /// @return messages and estimated bytes sent by a host, in CBOR with string keys.
    int64_t sentMessages(const HostId& host) const;
    int64_t sentBytes(const HostId& host) const;

private:
    class Messenger;

    void deliver(const HostId& from, const HostId& to, const PeerMessage& message);

    VirtualScheduler& m_scheduler;
    SimulatedNetwork m_network;
    std::map<HostId, std::unique_ptr<Daemon>> m_daemons;
    std::map<HostId, int64_t> m_sentMessages;
    std::map<HostId, int64_t> m_sentBytes;
};

} // namespace lacewing
