#include "gateway/response_diagnostics.h"

#include "base/log.h"

namespace lacewing::gateway {

namespace {

const char* streamEndLabel(const UpstreamResponse& response, std::optional<HttpClientError> error)
{
    if (response.events().fault())
        return "malformed_event";
    if (error)
        return "error";
    return response.isCutOff() ? "cut_off" : "complete";
}

} // namespace

const char* failureReason(
    const UpstreamResponse& response, ExchangeEnd end, std::optional<HttpClientError> error)
{
    if (end == ExchangeEnd::NotExecuted)
        return "not_executed_after_failure";
    if (end == ExchangeEnd::NotSent)
        return "not_sent_after_failure";
    if (response.isForeign())
        return "foreign_answer";
    if (response.events().fault())
        return "malformed_event";
    if (error)
        return lacewing::toString(*error);
    if (end == ExchangeEnd::Unverified)
        return "unvouched_answer";
    if (end == ExchangeEnd::AmbiguousRejection)
        return "ambiguous_status";
    return "stream_cut_off";
}

void recordStreamEnd(MetricsRegistry& metrics, const ExchangeContext& exchange,
    const UpstreamResponse& response, std::optional<HttpClientError> error)
{
    const EventRelay& events = response.events();
    ++metrics.counter("lacewing_stream_ends_total", { { "end", streamEndLabel(response, error) } });
    if (!error && !response.isCutOff())
        return;
    LogEvent(LogLevel::Warning, "stream_end")
        .with("request", exchange.requestId)
        .with("upstream", exchange.upstream)
        .with("framing", toString(response.framing()))
        .with("reused_connection", exchange.isOnReusedConnection)
        .with("error", error ? lacewing::toString(*error) : "none")
        .with("events", events.eventCount())
        .with("last_event", response.lastEventId().value_or(""))
        .with("fault", events.fault() ? toString(*events.fault()) : "none")
        .with("unfinished_bytes", events.remainder().size());
}

void recordUnmarkedEnd(
    MetricsRegistry& metrics, const ExchangeContext& exchange, const UpstreamResponse& response)
{
    const bool isStream = response.isStream();
    ++metrics.counter("lacewing_unmarked_ends_total", { { "kind", isStream ? "stream" : "whole" } });
    LogEvent(LogLevel::Info, "unmarked_end")
        .with("request", exchange.requestId)
        .with("upstream", exchange.upstream)
        .with("status", response.attributes()->status)
        .with("reused_connection", exchange.isOnReusedConnection)
        .with("events", response.events().eventCount())
        .with("last_event", response.lastEventId().value_or(""))
        .with("other_bytes", response.unforwardedBytes());
}

void recordBrokenRun(MetricsRegistry& metrics, const ExchangeContext& exchange, int64_t startedAt,
    const PartSet& parts, bool hasBegun)
{
    ++metrics.counter("lacewing_broken_runs_total", { { "answer", hasBegun ? "begun" : "none" } });
    LogEvent(LogLevel::Warning, "run_broken")
        .with("request", exchange.requestId)
        .with("upstream", exchange.upstream)
        .with("upstream_started", startedAt)
        .with("answer_begun", hasBegun)
        .with("parts", parts.text(','));
}

void recordStatement(
    MetricsRegistry& metrics, const ExchangeContext& exchange, const UpstreamResponse& response)
{
    const StatementReading& reading = response.reading();
    if (reading.statement == RunStatement::None)
        return;
    const bool isContradictory = reading.statement == RunStatement::Contradictory;
    const ResponseAttributes& attributes = *response.attributes();
    const char* conflict = toString(reading.conflict);
    ++metrics.counter("lacewing_not_executed_total", { { "conflict", conflict } });
    LogEvent(isContradictory ? LogLevel::Warning : LogLevel::Info,
        isContradictory ? "contradictory_answer" : "not_executed")
        .with("conflict", conflict)
        .with("request", exchange.requestId)
        .with("upstream", exchange.upstream)
        .with("status", attributes.status)
        .with("answer_request", attributes.requestId)
        .with("sealed", attributes.isSealed)
        .with("event_stream", attributes.isEventStream)
        .with("framing", toString(response.framing()))
        .with("reused_connection", exchange.isOnReusedConnection)
        .with("id_repeated", exchange.isIdRepeated);
    if (exchange.isIdRepeated)
        ++metrics.counter("lacewing_rejections_of_repeated_ids_total");
}

void recordNotSent(
    MetricsRegistry& metrics, const ExchangeContext& exchange, std::optional<HttpClientError> error)
{
    const char* reason = error ? lacewing::toString(*error) : "none";
    ++metrics.counter("lacewing_not_sent_total", { { "error", reason } });
    LogEvent(LogLevel::Info, "not_sent")
        .with("request", exchange.requestId)
        .with("upstream", exchange.upstream)
        .with("error", reason)
        .with("reused_connection", exchange.isOnReusedConnection);
}

void recordForeignResponse(
    MetricsRegistry& metrics, const ExchangeContext& exchange, const ResponseAttributes& attributes)
{
    LogEvent(LogLevel::Warning, "foreign_answer")
        .with("request", exchange.requestId)
        .with("upstream", exchange.upstream)
        .with("status", attributes.status)
        .with("answer_request", attributes.requestId)
        .with("reused_connection", exchange.isOnReusedConnection);
    ++metrics.counter("lacewing_foreign_answers_total");
}

void recordDroppedAnswers(MetricsRegistry& metrics, const ExchangeContext& exchange, int count)
{
    LogEvent(LogLevel::Warning, "answers_dropped")
        .with("request", exchange.requestId)
        .with("upstream", exchange.upstream)
        .with("count", count);
    metrics.counter("lacewing_dropped_answers_total") += static_cast<uint64_t>(count);
}

void recordGivenUpResponse(
    MetricsRegistry& metrics, const ExchangeContext& exchange, const UpstreamResponse& response)
{
    LogEvent(LogLevel::Warning, "answer_given_up")
        .with("request", exchange.requestId)
        .with("upstream", exchange.upstream)
        .with("held_bytes", response.unforwardedBytes())
        .with("expected_bytes", response.expectedBytes());
    ++metrics.counter("lacewing_answers_given_up_total");
}

void recordOversizedResponse(
    MetricsRegistry& metrics, const ExchangeContext& exchange, const UpstreamResponse& response)
{
    LogEvent(LogLevel::Warning, "answer_without_end")
        .with("request", exchange.requestId)
        .with("upstream", exchange.upstream)
        .with("held_bytes", response.unforwardedBytes());
    ++metrics.counter("lacewing_answers_without_end_total");
}

} // namespace lacewing::gateway
