#include "coordination/host_ranking.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewing {

namespace {

RankedHost ranked(const SessionRow& row, int64_t load)
{
    return RankedHost { row.host, row.callerAddress, row.dataCentre,
        1.0 / (1.0 + static_cast<double>(std::max<int64_t>(load, 0))) };
}

} // namespace

std::vector<RankedHost> HostRanking::rank(const DataCentreId& caller)
{
    std::vector<RankedHost> hosts;
    const SessionSettings& self = m_member.session().settings();
    const LocalStatus status = m_member.status();
    for (const auto& [host, entry] : m_member.directory().entries()) {
        if (host == self.host) {
            if (status.state == DaemonState::Live)
                hosts.push_back(ranked(entry.row, status.load));
            continue;
        }
        const PeerInfo* peer = m_member.membership().find(host);
        const bool answers = peer && (peer->state == PeerState::Alive || !peer->tried);
        const bool isLive = peer && (peer->daemonState == DaemonState::Live || !peer->tried);
        if (answers && isLive && entry.row.state == SessionState::Live)
            hosts.push_back(ranked(entry.row, peer->load));
    }
    // Weighted random order: sort by u^(1/weight), largest first (Efraimidis and Spirakis 2006).
    std::vector<std::pair<std::pair<bool, double>, RankedHost>> order;
    order.reserve(hosts.size());
    for (RankedHost& host : hosts) {
        const double key = std::pow(m_random.uniform(), 1.0 / host.weight);
        const bool isRemote = host.dataCentre != caller;
        order.push_back({ { isRemote, -key }, std::move(host) });
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    hosts.clear();
    for (auto& [key, host] : order)
        hosts.push_back(std::move(host));
    return hosts;
}

} // namespace lacewing
