#pragma once

#include "base/random.h"
#include "base/simulated_network.h"
#include "base/virtual_scheduler.h"
#include "experiment/stated_limit.h"
#include "gateway/upstream_permits.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lacewing::experiment {

/// Plays a fleet of hosts before upstreams that state limits, on virtual time: callers send requests through
/// random hosts, which run the gateway's UpstreamLimits and UpstreamPermits. Hosts can join, restart, freeze
/// and be cut off from each other at any moment. Upstreams can also end, start cold and become cold again;
/// hosts learn of that from rows of a store, which each host reads at intervals, and from responses.
class LimitSimulation {
public:
    struct Shape {
        size_t hosts = 7;
        size_t upstreams = 4;
        /// Requests of all callers together.
        double requestsPerSecond = 60;
        /// What upstreams take after a start; nothing if hosts know no cold upstreams and read no rows.
        std::optional<gateway::ColdStart> coldStart = std::nullopt;
    };

    /// What an upstream says of its cold time.
    enum class ColdNotice { InRowAndResponses, InResponses, Nowhere };

    LimitSimulation(const Shape& shape, uint64_t seed);
    ~LimitSimulation();
    LimitSimulation(const LimitSimulation&) = delete;
    LimitSimulation& operator=(const LimitSimulation&) = delete;

    void advance(Duration duration) { m_scheduler.advance(duration); }
    MonotonicTime now() const { return m_scheduler.now(); }

    /// An upstream states a limit from its next response on; nothing drops it.
    void stateLimit(size_t upstream, std::optional<double> perSecond);

    /// The process of an upstream ends, and its row with it.
    void endProcess(size_t upstream) { m_processes[upstream].isRunning = false; }
    /// A new process of an upstream starts, which is cold.
    void startCold(size_t upstream, ColdNotice notice);
    /// An upstream becomes cold for a time without a restart.
    void becomeCold(size_t upstream, Duration duration);
    void setStoreAvailable(bool isAvailable) { m_isStoreAvailable = isAvailable; }
    /// @return the largest number of requests in a second that begins at that time or later, of those that an
    ///     upstream got while it was cold.
    size_t worstColdSecond(size_t upstream, MonotonicTime from) const;
    /// @return number of requests that an upstream got while it was cold.
    size_t coldArrivals(size_t upstream) const { return m_processes[upstream].arrivals.size(); }

    HostId host(size_t index) const;
    /// Lets callers use these hosts only, by index; by default they use all.
    void setEntries(std::vector<size_t> hosts) { m_entries = std::move(hosts); }
    /// Starts a host, with a process that knows nothing.
    void start(const HostId& host);
    void restart(const HostId& host);
    void setFrozen(const HostId& host, bool isFrozen) { m_network.setPaused(host, isFrozen); }
    /// Cuts or heals the link between two hosts.
    void setConnected(const HostId& a, const HostId& b, bool isConnected);
    /// Cuts the links between the first hosts and all others, or heals them.
    void setCut(size_t count, bool isCut);

    /// Plays limits that are stated, changed and dropped, while hosts join, restart, freeze and are cut off.
    void playTroubles();

    /// @return the worst ratio of requests to allowed requests at any upstream.
    double worstRatio() const;
    int served() const { return m_served; }
    int refused() const { return m_refused; }

private:
    struct Host;

    struct Process {
        int64_t startedAt = 1;
        bool isRunning = true;
        ColdNotice notice = ColdNotice::InRowAndResponses;
        MonotonicTime coldUntil;
        /// Requests that arrived while the process was cold.
        std::vector<MonotonicTime> arrivals;
    };

    static UpstreamId upstreamId(size_t index);
    std::set<HostId> peersInTouch(const Host& host) const;
    void send(const HostId& from, const HostId& to, const gateway::PeerMessage& message);
    void sendToAll(const HostId& from, const gateway::PeerMessage& message);
    /// Sends all known limits to a peer, as when a link is established.
    void introduce(const HostId& from, const HostId& to);
    void sendHeartbeats(const HostId& from, const std::weak_ptr<char>& life);
    void heartbeatArrived(const HostId& from, const HostId& to);

    /// Has a host read the rows of upstreams at intervals.
    void scheduleRead(const HostId& id, const std::weak_ptr<char>& life);
    void readRows(Host& host);
    /// Begins and ends the limits of cold upstreams.
    void updateCold(Host& host);
    void told(Host& host, const gateway::UpstreamLimit& limit);
    /// @return what a response of an upstream states of its cold time.
    std::optional<Duration> statedColdTime(size_t upstream) const;

    void scheduleCall();
    HostId drawEntry();
    /// Sends a request to the upstream, or to the next one that its limit permits.
    ///
    /// @param tried upstreams that have no start to offer.
    void choose(const HostId& id, size_t upstream, std::set<size_t> tried);
    void sendRequest(const HostId& id, size_t upstream);
    void responded(const HostId& id, size_t upstream, MonotonicTime sent, std::optional<RequestRate> rate,
        std::optional<Duration> coldFor);

    VirtualScheduler m_scheduler;
    Random m_random;
    SimulatedNetwork m_network;
    Duration m_heartbeatInterval;
    double m_requestsPerSecond;
    std::optional<gateway::ColdStart> m_coldStart;
    std::vector<StatedLimit> m_upstreams;
    std::vector<Process> m_processes;
    bool m_isStoreAvailable = true;
    std::map<HostId, std::unique_ptr<Host>> m_hosts;
    std::vector<size_t> m_entries;
    int m_served = 0;
    int m_refused = 0;
};

} // namespace lacewing::experiment
