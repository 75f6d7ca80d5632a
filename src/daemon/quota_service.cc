#include "daemon/quota_service.h"

namespace lacewing {

namespace {

std::string leaseNameOf(int partition)
{
    return "allotment/" + std::to_string(partition);
}

} // namespace

QuotaService::QuotaService(Scheduler& scheduler, PeerMessenger& peers, HostId self, Incarnation incarnation,
    PartitionHolder::ValidityCheck isSessionValid)
    : m_scheduler(scheduler)
    , m_peers(peers)
    , m_holder(scheduler, std::move(isSessionValid))
    , m_client(scheduler, peers, m_holder, std::move(self), incarnation)
{
}

std::vector<LeaseName> QuotaService::leaseNames()
{
    std::vector<LeaseName> names;
    for (int partition = 0; partition < quotaPartitions; ++partition)
        names.push_back({ leaseNameOf(partition), DataCentreId() });
    return names;
}

void QuotaService::setConfiguration(const Configuration& configuration)
{
    const QuotaLimits limits = quotaLimits(configuration);
    m_holder.setLimits(limits);
    m_client.setLimits(limits);
}

void QuotaService::refreshHolders(const LeaseManager& leases)
{
    std::map<HostId, int> holders;
    m_knownPartitions = 0;
    for (int partition = 0; partition < quotaPartitions; ++partition) {
        const auto holder = leases.holderOf(leaseNameOf(partition));
        if (!holder || holder->isReleased())
            continue;
        ++holders[holder->host];
        ++m_knownPartitions;
    }
    m_client.setHolders(holders);
}

void QuotaService::partitionAcquired(int partition)
{
    m_partitions.insert(partition);
    m_holder.setPartitions(m_partitions, m_scheduler.now() + grantTtl);
}

void QuotaService::partitionLost(int partition)
{
    m_partitions.erase(partition);
    m_holder.setPartitions(m_partitions, m_scheduler.now() + grantTtl);
}

bool QuotaService::received(const HostId& peer, const PeerMessage& message)
{
    if (const auto* ask = std::get_if<QuotaRequest>(&message)) {
        if (const auto grant = m_holder.answer(peer, *ask))
            m_peers.send(peer, *grant);
        return true;
    }
    if (const auto* grant = std::get_if<QuotaGrant>(&message)) {
        m_client.handleGrant(peer, *grant);
        return true;
    }
    if (const auto* report = std::get_if<QuotaReturn>(&message)) {
        m_holder.report(peer, *report);
        return true;
    }
    return false;
}

} // namespace lacewing
