#include "gateway/call_evidence.h"

#include <utility>

namespace lacewing::gateway {

CallEvidence::CallEvidence(QuarantineExchange& quarantine, MetricsRegistry& metrics, PartSet parts)
    : m_quarantine(quarantine)
    , m_metrics(metrics)
    , m_parts(std::move(parts))
{
}

void CallEvidence::beginSend(const UpstreamId& upstream, int64_t startedAt)
{
    m_quarantine.beginProbe(m_parts);
    m_upstream = upstream;
    m_upstreamStartedAt = startedAt;
    m_hasBegun = false;
}

void CallEvidence::answerBegan()
{
    if (!std::exchange(m_hasBegun, true))
        m_quarantine.answerBegan({ m_upstream, m_upstreamStartedAt, m_parts });
}

void CallEvidence::runBroke(
    const ExchangeContext& exchange, std::optional<HttpClientError> error, bool isForeign)
{
    recordBrokenRun(m_metrics, exchange, m_upstreamStartedAt, m_parts, m_hasBegun);
    // The connections of a process that ends are closed; other errors have other causes.
    const bool isClosed = !error || error == HttpClientError::ConnectionLost;
    if (isClosed && !m_hasBegun && !isForeign)
        m_quarantine.runBroke(m_upstream, m_upstreamStartedAt, m_parts);
}

} // namespace lacewing::gateway
