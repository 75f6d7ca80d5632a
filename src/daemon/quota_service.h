#pragma once

#include "coordination/lease_manager.h"
#include "coordination/partition_holder.h"
#include "coordination/quota_client.h"

#include <set>

namespace lacewing {

/// Connects the token quota of workspaces with the leases of its partitions and with the peers. Partition
/// holders grant tokens to the hosts; the quota client of each host charges requests against its grants.
class QuotaService {
public:
    /// @param isSessionValid whether this daemon's session is valid, so that it may grant tokens.
    /// @param incarnation changes with each start of the daemon.
    QuotaService(Scheduler& scheduler, PeerMessenger& peers, HostId self, Incarnation incarnation,
        PartitionHolder::ValidityCheck isSessionValid);

    /// @return the lease names of all partitions.
    static std::vector<LeaseName> leaseNames();

    void setConfiguration(const Configuration& configuration);
    /// Updates the quota client with the hosts that hold the partitions' leases.
    void refreshHolders(const LeaseManager& leases);
    void partitionAcquired(int partition);
    void partitionLost(int partition);

    /// Handles a message from a peer.
    ///
    /// @return false if the message does not concern the quota.
    bool received(const HostId& peer, const PeerMessage& message);

    QuotaClient& client() { return m_client; }
    size_t partitionCount() const { return m_partitions.size(); }
    /// @return whether the holders of all partitions are known, so that requests can be charged.
    bool isReady() const { return m_knownPartitions == quotaPartitions; }

private:
    Scheduler& m_scheduler;
    PeerMessenger& m_peers;
    PartitionHolder m_holder;
    QuotaClient m_client;
    std::set<int> m_partitions;
    int m_knownPartitions = 0;
};

} // namespace lacewing
