#pragma once

#include "gateway/part_set.h"
#include "gateway/quarantine_exchange.h"
#include "gateway/response_diagnostics.h"
#include "transport/http_client.h"

#include <optional>

namespace lacewing::gateway {

/// What one call tells the quarantine of the upstreams that it is sent to, and whether it may be sent.
class CallEvidence {
public:
    /// @param quarantine, metrics must outlive the evidence.
    /// @param parts of the prompt, and the request itself.
    CallEvidence(QuarantineExchange& quarantine, MetricsRegistry& metrics, PartSet parts);

    /// @return the time after which the caller should come back, if the call must not be sent now.
    std::optional<Duration> holdTime() const { return m_quarantine.holdTime(m_parts); }
    /// The call is about to be sent to an upstream.
    ///
    /// @param startedAt start of the upstream's process.
    void beginSend(const UpstreamId& upstream, int64_t startedAt);
    /// The upstream has begun its answer.
    void answerBegan();
    /// The upstream has broken off its answer, or the connection before one.
    ///
    /// @param error of the connection; nothing if the answer ended in an orderly way.
    /// @param isForeign whether the answer belongs to another request.
    void runBroke(const ExchangeContext& exchange, std::optional<HttpClientError> error, bool isForeign);
    /// @return start of the process of the upstream that the call was sent to last.
    int64_t upstreamStartedAt() const { return m_upstreamStartedAt; }

private:
    QuarantineExchange& m_quarantine;
    MetricsRegistry& m_metrics;
    PartSet m_parts;
    UpstreamId m_upstream;
    int64_t m_upstreamStartedAt = 0;
    /// Whether the upstream that the call was sent to last has begun an answer.
    bool m_hasBegun = false;
};

} // namespace lacewing::gateway
