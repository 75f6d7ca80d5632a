#pragma once

#include "coordination/lease_manager.h"
#include "coordination/partition_holder.h"
#include "coordination/token_wallet.h"

#include <set>

namespace lacewing {

/// Connects the allotment of rates with the leases of its partitions and with the peers.
class QuotaService {
public:
    /// @param isSessionValid whether this daemon may act now.
    /// @param incarnation differs after each start of the daemon.
    QuotaService(Scheduler& scheduler, PeerMessenger& peers, HostId self, Incarnation incarnation,
        PartitionHolder::ValidityCheck isSessionValid);

    /// @return the names of the leases of all partitions.
    static std::vector<LeaseName> leaseNames();

    void setConfiguration(const Configuration& configuration);
    /// Looks up which hosts hold the partitions.
    void refreshHolders(const LeaseManager& leases);
    void partitionAcquired(int partition);
    void partitionLost(int partition);

    /// @return false if the message is not for this class.
    bool received(const HostId& peer, const PeerMessage& message);

    TokenWallet& wallet() { return m_wallet; }
    size_t partitionCount() const { return m_partitions.size(); }
    /// @return whether the holders of all partitions are known, so that requests can be charged.
    bool isReady() const { return m_knownPartitions == allotmentPartitions; }

private:
    Scheduler& m_scheduler;
    PeerMessenger& m_peers;
    PartitionHolder m_holder;
    TokenWallet m_wallet;
    std::set<int> m_partitions;
    int m_knownPartitions = 0;
};

} // namespace lacewing
