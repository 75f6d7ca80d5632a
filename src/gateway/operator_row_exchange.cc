#include "gateway/operator_row_exchange.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace lacewing::gateway {

namespace {

constexpr table_sync::CatchUpDelays requestDelays { std::chrono::milliseconds(250),
    std::chrono::milliseconds(50), std::chrono::milliseconds(1000) };

/// Interval at which a peer is sent the evacuations that are missing from a copy of the store.
constexpr Duration missingEvacuationInterval = std::chrono::seconds(2);

} // namespace

OperatorRowExchange::OperatorRowExchange(
    Scheduler& scheduler, ConfigurationTracker& tracker, Random& random, Send send)
    : m_scheduler(scheduler)
    , m_tracker(tracker)
    , m_random(random)
    , m_send(std::move(send))
    , m_catchUp(scheduler, random, requestDelays,
          { [this] { return own(); }, [this] { return m_tracker.isReader(); },
              [this](const HostId& peer) { request(peer); } })
{
}

OperatorRowExchange::Offer OperatorRowExchange::own() const
{
    return { m_tracker.revision(), m_tracker.newestRowVersion() };
}

void OperatorRowExchange::onHeartbeat(const HostId& peer, RowVersion newest, Revision revision)
{
    sendMissingEvacuations(peer);
    m_catchUp.offered(peer, { std::max(revision, m_tracker.revision()), newest });
}

void OperatorRowExchange::request(const HostId& peer)
{
    LogEvent(LogLevel::Info, "operator_rows_requested")
        .with("peer", peer)
        .with("after", m_tracker.newestRowVersion());
    m_send(peer, PeerOperatorRequest { m_tracker.newestRowVersion() });
}

void OperatorRowExchange::sendRows(const HostId& peer, const std::vector<StoredRow>& rows)
{
    m_send(peer, PeerOperatorRows { m_packer.pack(rows) });
}

void OperatorRowExchange::onRows(const HostId& peer, const std::vector<StoredRow>& rows)
{
    const std::optional<Duration> replyTime = m_catchUp.answered(peer);
    m_tracker.peerOffered(rows, replyTime.has_value());
    const auto tombstones = m_tracker.tombstonesFor(rows);
    if (!tombstones.empty())
        sendRows(peer, tombstones);
    if (!replyTime)
        return;
    LogEvent(LogLevel::Info, "operator_rows_received")
        .with("peer", peer)
        .with("rows", rows.size())
        .with("after_ms", toMilliseconds(*replyTime));
    const auto unconfirmed = m_tracker.evacuationsToConfirm(rows);
    if (!unconfirmed.empty())
        sendRows(peer, unconfirmed);
}

void OperatorRowExchange::sendMissingEvacuations(const HostId& peer)
{
    const auto rows = m_tracker.evacuations().missingRows();
    if (rows.empty()) {
        m_evacuationsSent.clear();
        return;
    }
    const MonotonicTime now = m_scheduler.now();
    const auto sent = m_evacuationsSent.find(peer);
    if (sent != m_evacuationsSent.end() && now < sent->second + missingEvacuationInterval)
        return;
    m_evacuationsSent[peer] = now;
    sendRows(peer, rows);
}

void OperatorRowExchange::onRequest(const HostId& peer, const PeerOperatorRequest& request)
{
    const PeerOperatorRows message { m_packer.pack(m_tracker.rowsAfter(request.after)) };
    LogEvent(LogLevel::Info, "operator_rows_sent")
        .with("peer", peer)
        .with("rows", message.rows.size())
        .with("bytes", table_sync::valueBytes(message.rows));
    m_send(peer, message);
}

} // namespace lacewing::gateway
