#pragma once

#include "coordination/simulated_fleet.h"

namespace lacewing {

/// One process of a SimulatedFleet: a FleetMember connected to the simulated table, network and links.
class SimulatedDaemon : private TableService,
                        private PeerMessenger,
                        private PeerConnector,
                        private LeaseListener {
public:
    SimulatedDaemon(SimulatedFleet& fleet, size_t index, FleetMemberSettings settings, uint64_t seed);

    FleetMember& member() { return m_member; }
    PausableScheduler& scheduler() { return m_scheduler; }
    /// Stops gracefully: leaves, simulates draining of requests, and hands over its leases.
    void stop(std::function<void()> done);

private:
    // Responses are delivered through the daemon's scheduler, so that a paused daemon receives them later and
    // a killed one never does.
    void read(std::vector<std::string> keys, RowsCallback callback) override;
    void list(std::string prefix, RowsCallback callback) override;
    void commit(TableTransaction transaction, CommitCallback callback) override;
    bool send(const HostId& peer, const PeerMessage& message) override;
    void connect(const HostId& peer, const std::string& address) override;
    void disconnect(const HostId& peer) override;
    void leaseAcquired(const std::string& name, FencingNumber fencingNumber) override { }
    void leaseLost(const std::string& name) override { }
    void handOverRequested(const std::string& name) override;

    RowsCallback deferred(RowsCallback callback);

    SimulatedFleet& m_fleet;
    size_t m_index;
    HostId m_host;
    Random m_random;
    PausableScheduler m_scheduler;
    Lifetime m_lifetime;
    FleetMember m_member;
};

} // namespace lacewing
