#include "gateway/operator_row_exchange.h"

#include <utility>

namespace lacewing::gateway {

namespace {

/// Time that the store gets to tell of a change, and a peer to answer.
constexpr Duration patience = std::chrono::milliseconds(250);

} // namespace

OperatorRowExchange::OperatorRowExchange(Scheduler& scheduler, ConfigurationKeeper& keeper, Send send)
    : m_scheduler(scheduler)
    , m_keeper(keeper)
    , m_send(std::move(send))
{
}

void OperatorRowExchange::heartbeatArrived(const HostId& peer, RowVersion newest)
{
    if (newest <= m_keeper.newestRow() || std::exchange(m_isWaiting, true))
        return;
    m_scheduler.runAfter(patience, m_lifetime.guard([this, peer, newest] { askIfBehind(peer, newest); }));
}

void OperatorRowExchange::askIfBehind(const HostId& peer, RowVersion newest)
{
    m_isWaiting = false;
    if (newest > m_keeper.newestRow())
        m_send(peer, PeerOperatorRequest { m_keeper.newestRow() });
}

void OperatorRowExchange::requested(const HostId& peer, const PeerOperatorRequest& request)
{
    const auto rows = m_keeper.rowsAfter(request.after);
    if (!rows.empty())
        m_send(peer, PeerOperatorRows { rows });
}

} // namespace lacewing::gateway
