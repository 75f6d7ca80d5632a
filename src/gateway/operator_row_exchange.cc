#include "gateway/operator_row_exchange.h"

#include <algorithm>
#include <utility>

namespace lacewing::gateway {

namespace {

/// Time that the store gets to tell a reader of a change.
constexpr Duration readerPatience = std::chrono::milliseconds(250);
/// The other hosts ask at a random moment of this time, in which more and more peers have the rows.
constexpr Duration shortestPatience = std::chrono::milliseconds(50);
constexpr Duration longestPatience = std::chrono::milliseconds(1000);

} // namespace

OperatorRowExchange::OperatorRowExchange(
    Scheduler& scheduler, ConfigurationKeeper& keeper, Random& random, Send send)
    : m_scheduler(scheduler)
    , m_keeper(keeper)
    , m_random(random)
    , m_send(std::move(send))
{
}

void OperatorRowExchange::heartbeatArrived(const HostId& peer, RowVersion newest)
{
    if (newest <= m_keeper.newestRow() || newest < m_newest)
        return;
    if (newest > m_newest) {
        m_newest = newest;
        m_holders.clear();
    }
    m_holders.push_back(peer);
    if (!std::exchange(m_isWaiting, true))
        m_scheduler.runAfter(patience(), m_lifetime.guard([this] { askIfBehind(); }));
}

Duration OperatorRowExchange::patience()
{
    if (m_keeper.isReader())
        return readerPatience;
    const double share = m_random.uniform();
    return shortestPatience
        + std::chrono::duration_cast<Duration>(share * (longestPatience - shortestPatience));
}

void OperatorRowExchange::askIfBehind()
{
    m_isWaiting = false;
    const auto holders = std::exchange(m_holders, {});
    if (holders.empty() || m_newest <= m_keeper.newestRow())
        return;
    const auto chosen = static_cast<size_t>(m_random.uniform() * static_cast<double>(holders.size()));
    m_send(holders[std::min(chosen, holders.size() - 1)], PeerOperatorRequest { m_keeper.newestRow() });
}

void OperatorRowExchange::requested(const HostId& peer, const PeerOperatorRequest& request)
{
    const auto rows = m_keeper.rowsAfter(request.after);
    if (!rows.empty())
        m_send(peer, PeerOperatorRows { rows });
}

} // namespace lacewing::gateway
