#include "gateway/operator_row_exchange.h"

#include "base/log.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace lacewing::gateway {

namespace {

/// Delay of a reader's request, during which the store usually delivers the change itself.
constexpr Duration readerRequestDelay = std::chrono::milliseconds(250);
/// Requests of the other hosts are delayed by a random time between these bounds, during which more and more
/// peers receive the rows and can serve them.
constexpr Duration minimumRequestDelay = std::chrono::milliseconds(50);
constexpr Duration maximumRequestDelay = std::chrono::milliseconds(1000);

/// Interval at which a peer is sent the evacuations that are missing from a copy of the store.
constexpr Duration missingEvacuationInterval = std::chrono::seconds(2);

size_t valueBytes(const std::vector<StoredRow>& rows)
{
    return std::accumulate(rows.begin(), rows.end(), size_t(0),
        [](size_t bytes, const StoredRow& row) { return bytes + row.value.size(); });
}

} // namespace

OperatorRowExchange::OperatorRowExchange(
    Scheduler& scheduler, ConfigurationTracker& tracker, Random& random, Send send)
    : m_scheduler(scheduler)
    , m_tracker(tracker)
    , m_random(random)
    , m_send(std::move(send))
    , m_catchUp(scheduler, random,
          { [this] { return own(); }, [this] { return requestDelay(); },
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

Duration OperatorRowExchange::requestDelay()
{
    if (m_tracker.isReader())
        return readerRequestDelay;
    return table_sync::randomDelay(m_random, minimumRequestDelay, maximumRequestDelay);
}

void OperatorRowExchange::request(const HostId& peer)
{
    m_asked = peer;
    m_askedAt = m_scheduler.now();
    LogEvent(LogLevel::Info, "operator_rows_requested")
        .with("peer", peer)
        .with("after", m_tracker.newestRowVersion());
    m_send(peer, PeerOperatorRequest { m_tracker.newestRowVersion() });
}

void OperatorRowExchange::onRows(const HostId& peer, const std::vector<StoredRow>& rows)
{
    const bool isReply = m_asked == peer;
    m_tracker.peerOffered(rows, isReply);
    const auto tombstones = m_tracker.tombstonesFor(rows);
    if (!tombstones.empty())
        m_send(peer, PeerOperatorRows { tombstones });
    if (!isReply)
        return;
    m_asked.reset();
    LogEvent(LogLevel::Info, "operator_rows_received")
        .with("peer", peer)
        .with("rows", rows.size())
        .with("bytes", valueBytes(rows))
        .with("after_ms", toMilliseconds(m_scheduler.now() - m_askedAt));
    const auto unconfirmed = m_tracker.evacuationsToConfirm(rows);
    if (!unconfirmed.empty())
        m_send(peer, PeerOperatorRows { unconfirmed });
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
    m_send(peer, PeerOperatorRows { rows });
}

void OperatorRowExchange::onRequest(const HostId& peer, const PeerOperatorRequest& request)
{
    const auto rows = m_tracker.rowsAfter(request.after);
    if (rows.empty())
        return;
    LogEvent(LogLevel::Info, "operator_rows_sent")
        .with("peer", peer)
        .with("rows", rows.size())
        .with("bytes", valueBytes(rows));
    m_send(peer, PeerOperatorRows { rows });
}

} // namespace lacewing::gateway
