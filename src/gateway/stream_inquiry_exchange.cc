#include "gateway/stream_inquiry_exchange.h"

#include <utility>

namespace lacewing::gateway {

namespace {

/// Time after which an inquiry ends without the peers that have not answered.
constexpr Duration answerTimeout = std::chrono::milliseconds(500);

} // namespace

StreamInquiryExchange::StreamInquiryExchange(Scheduler& scheduler, Handlers handlers)
    : m_scheduler(scheduler)
    , m_handlers(std::move(handlers))
{
}

void StreamInquiryExchange::inquire(
    const ServiceId& service, const std::optional<StreamName>& name, Callback callback)
{
    const stream_inquiry::FleetReach fleet = m_handlers.fleet();
    stream_inquiry::StreamInquiry inquiry(m_handlers.knowledge(service, name), fleet);
    if (inquiry.isComplete()) {
        callback(inquiry.result());
        return;
    }
    m_lastQuery = StreamQueryId(m_lastQuery.value() + 1);
    const StreamQueryId query = m_lastQuery;
    m_pending.emplace(query, Pending { std::move(inquiry), std::move(callback) });
    for (const HostId& peer : fleet.connected)
        m_handlers.send(peer, PeerStreamQuery { query, service, name });
    m_scheduler.runAfter(answerTimeout, m_lifetime.guard([this, query] { complete(query); }));
}

void StreamInquiryExchange::onMessage(const HostId& peer, const PeerMessage& message)
{
    if (const auto* query = std::get_if<PeerStreamQuery>(&message))
        m_handlers.send(
            peer, PeerStreamAnswer { query->query, m_handlers.knowledge(query->service, query->name) });
    else if (const auto* answer = std::get_if<PeerStreamAnswer>(&message))
        answered(peer, *answer);
}

void StreamInquiryExchange::answered(const HostId& peer, const PeerStreamAnswer& answer)
{
    const auto pending = m_pending.find(answer.query);
    if (pending == m_pending.end())
        return;
    pending->second.inquiry.answered(peer, answer.knowledge);
    if (pending->second.inquiry.isComplete())
        complete(answer.query);
}

void StreamInquiryExchange::complete(StreamQueryId query)
{
    const auto ended = m_pending.extract(query);
    if (ended)
        ended.mapped().callback(ended.mapped().inquiry.result());
}

} // namespace lacewing::gateway
