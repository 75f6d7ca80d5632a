#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/scheduler.h"

#include <map>
#include <set>
#include <vector>

namespace lacewing {

/// Delivers messages between the simulated daemons of a test, with seeded delay, loss, duplication,
/// reordering, partitions, pauses and crashes.
class SimulatedNetwork {
public:
    /// @param scheduler must outlive the network.
    SimulatedNetwork(Scheduler& scheduler, uint64_t seed);

    /// Runs a delivery at the receiver later, or never. It may run more than once and out of order.
    void send(const HostId& from, const HostId& to, std::function<void()> deliver);

    /// @param shortest, longest bounds of the one-way delay. A wide range reorders messages.
    void setDelay(Duration shortest, Duration longest);
    void setLossProbability(double probability) { m_lossProbability = probability; }
    void setDuplicationProbability(double probability) { m_duplicationProbability = probability; }
    /// Cuts or restores the path between two daemons in both directions.
    void setConnected(const HostId& a, const HostId& b, bool connected);
    /// While paused, a daemon receives nothing; on resume it receives what has arrived, in order of arrival.
    void setPaused(const HostId& host, bool paused);
    bool isPaused(const HostId& host) const { return m_paused.count(host) != 0; }
    /// Discards everything that is on its way to a daemon, as when its process is killed.
    void crash(const HostId& host);

    int64_t sentCount() const { return m_sentCount; }

private:
    void deliverLater(const HostId& from, const HostId& to, const std::function<void()>& deliver);
    void arrive(const HostId& to, uint64_t epoch, const std::function<void()>& deliver);
    bool isConnected(const HostId& a, const HostId& b) const;

    Scheduler& m_scheduler;
    Random m_random;
    Duration m_shortestDelay = std::chrono::milliseconds(1);
    Duration m_longestDelay = std::chrono::milliseconds(3);
    double m_lossProbability = 0;
    double m_duplicationProbability = 0;
    std::set<std::pair<HostId, HostId>> m_disconnectedPairs;
    std::set<HostId> m_paused;
    std::map<HostId, std::vector<std::function<void()>>> m_deferredDeliveries;
    std::map<HostId, uint64_t> m_epochs;
    int64_t m_sentCount = 0;
};

} // namespace lacewing
