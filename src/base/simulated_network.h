#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/scheduler.h"

#include <map>
#include <set>
#include <vector>

namespace lacewing {

/// Delivers messages between the simulated daemons of a test and injects delay, loss, duplication,
/// reordering, partitions, pauses and crashes. Random faults are reproducible from the seed.
class SimulatedNetwork {
public:
    /// @param scheduler must outlive the network.
    SimulatedNetwork(Scheduler& scheduler, uint64_t seed);

    /// Sends a message. Its delivery runs at the receiver after a delay, possibly never, more than once or
    /// out of order.
    void send(const HostId& from, const HostId& to, std::function<void()> deliver);

    /// @param shortest, longest bounds of the one-way delay. A wide range reorders messages.
    void setDelay(Duration shortest, Duration longest);
    void setLossProbability(double probability) { m_lossProbability = probability; }
    void setDuplicationProbability(double probability) { m_duplicationProbability = probability; }
    /// Disconnects or reconnects two daemons in both directions.
    void setConnected(const HostId& a, const HostId& b, bool connected);
    /// Pauses or resumes a daemon. Messages that arrive during a pause are delivered in order after the
    /// resume.
    void setPaused(const HostId& host, bool paused);
    bool isPaused(const HostId& host) const { return m_paused.count(host) != 0; }
    /// Discards all messages in flight to a daemon, as when its process is killed, and ends its pause.
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
