#pragma once

#include "base/pausable_scheduler.h"
#include "base/random.h"
#include "base/simulated_network.h"
#include "base/virtual_scheduler.h"
#include "coordination/fleet_member.h"
#include "state/simulated_table.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

class SimulatedDaemon;

struct SimulatedFleetOptions {
    size_t daemons = 3;
    size_t dataCentres = 3;
    size_t upstreams = 6;
    size_t partitions = 8;
    uint64_t seed = 1;
    const SafetyRules* rules = nullptr;
    /// Session timeouts; SimulatedFleet sets the host, data centre and region.
    SessionSettings session;
};

/// Many daemons in one process on virtual time, with a simulated table and network, for tests and benchmarks
/// of coordination.
class SimulatedFleet {
public:
    explicit SimulatedFleet(const SimulatedFleetOptions& options);
    ~SimulatedFleet();

    VirtualScheduler& scheduler() { return m_scheduler; }
    SimulatedTable& table() { return m_table; }
    SimulatedNetwork& network() { return m_network; }
    size_t size() const { return m_hosts.size(); }
    const std::vector<LeaseName>& leases() const { return m_leases; }

    void start(size_t daemon);
    /// Kills the process.
    ///
    /// @param hostDown whether the whole host fails, so that peers detect the failure only by a timeout.
    void crash(size_t daemon, bool hostDown);
    void pause(size_t daemon);
    void resume(size_t daemon);
    /// Partitions a daemon from its peers, or restores the connections.
    void setCutOff(size_t daemon, bool cutOff);
    /// Stops a daemon gracefully, including all steps that involve its session.
    void stop(size_t daemon);

    bool isRunning(size_t daemon) const { return m_hosts[daemon].daemon != nullptr; }
    bool isPaused(size_t daemon) const;
    /// @return whether the last graceful stop of the daemon is complete.
    bool isStopped(size_t daemon) const { return m_hosts[daemon].stopped; }
    /// @return the FleetMember of a running daemon.
    FleetMember& member(size_t daemon) { return *memberOrNull(daemon); }
    /// @return the number of messages sent. Their size is not counted, because they are not serialized.
    int64_t messageCount() const { return m_network.sentCount(); }

private:
    friend class SimulatedDaemon;

    struct Host {
        HostId id;
        DataCentreId dataCentre;
        std::unique_ptr<TableService> table;
        std::unique_ptr<SimulatedDaemon> daemon;
        /// Number of starts, used to discard events for an earlier process.
        uint64_t process = 0;
        bool hostDown = false;
        bool cutOff = false;
        bool stopped = false;
    };

    FleetMember* memberOrNull(size_t daemon);
    size_t indexOf(const HostId& host) const;
    bool canReach(size_t from, size_t to) const;
    bool isLinked(size_t a, size_t b) const;
    void connect(size_t from, size_t to);
    void unlinkAll(size_t daemon, DisconnectReason reason, Duration delay);
    void breakLink(size_t a, size_t b, DisconnectReason reason);
    void breakTimedOutLinks(size_t daemon);
    void notify(size_t daemon, std::function<void(FleetMember&)> event);
    FleetMemberSettings settingsOf(size_t daemon) const;

    SimulatedFleetOptions m_options;
    SafetyRules m_defaultRules;
    const SafetyRules& m_rules;
    Random m_random;
    VirtualScheduler m_scheduler;
    SimulatedTable m_table;
    SimulatedNetwork m_network;
    std::vector<LeaseName> m_leases;
    std::vector<Host> m_hosts;
    std::map<HostId, size_t> m_indices;
    std::set<std::pair<size_t, size_t>> m_links;
};

} // namespace lacewing
