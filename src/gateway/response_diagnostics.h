#pragma once

#include "base/metrics.h"
#include "gateway/call_decision.h"
#include "gateway/part_set.h"
#include "gateway/upstream_response.h"
#include "transport/http_client.h"

#include <optional>
#include <string>

namespace lacewing::gateway {

/// The exchange with an upstream that a log line is about.
struct ExchangeContext {
    std::string requestId;
    UpstreamId upstream;
    /// Whether the connection has carried a request before this one.
    bool isOnReusedConnection = false;
    /// Whether an open connection to the upstream had carried the request's id before.
    bool isIdRepeated = false;
};

/// @param end of the exchange.
/// @param error of the transport, if there was one.
/// @return why a response can't be forwarded, for logs and metrics.
const char* failureReason(
    const UpstreamResponse& response, ExchangeEnd end, std::optional<HttpClientError> error);

/// Counts the end of a response that is an event stream, and logs one that is not the end of a whole stream.
///
/// @param error of the transport, if there was one.
void recordStreamEnd(MetricsRegistry& metrics, const ExchangeContext& exchange,
    const UpstreamResponse& response, std::optional<HttpClientError> error);

/// Counts and logs a response that only the end of its connection ends, so that it may be a part of one.
void recordUnmarkedEnd(
    MetricsRegistry& metrics, const ExchangeContext& exchange, const UpstreamResponse& response);

/// Counts and logs the end of a run that its upstream broke off.
///
/// @param startedAt start of the upstream's process.
/// @param parts of the request and its prompt.
/// @param hasBegun whether a part of the answer had arrived.
void recordBrokenRun(MetricsRegistry& metrics, const ExchangeContext& exchange, int64_t startedAt,
    const PartSet& parts, bool hasBegun);

/// Counts and logs a response that states that its upstream has not run the request, with what speaks against
/// that. Does nothing for other responses.
void recordStatement(
    MetricsRegistry& metrics, const ExchangeContext& exchange, const UpstreamResponse& response);

/// Counts and logs an exchange that ended before anything was sent.
///
/// @param error of the transport, if there was one.
void recordNotSent(
    MetricsRegistry& metrics, const ExchangeContext& exchange, std::optional<HttpClientError> error);

/// Counts and logs a response that belongs to another request.
void recordForeignResponse(
    MetricsRegistry& metrics, const ExchangeContext& exchange, const ResponseAttributes& attributes);

/// Counts and logs answers to earlier requests that came once more before the answer to this one.
void recordDroppedAnswers(MetricsRegistry& metrics, const ExchangeContext& exchange, int count);

/// Records that a response was given up, since it made no progress while others waited for memory.
void recordGivenUpResponse(
    MetricsRegistry& metrics, const ExchangeContext& exchange, const UpstreamResponse& response);

/// Counts and logs a response that exceeds the size limit.
void recordOversizedResponse(
    MetricsRegistry& metrics, const ExchangeContext& exchange, const UpstreamResponse& response);

} // namespace lacewing::gateway
