#include "gateway/upstream_availability_exchange.h"

#include "base/log.h"

namespace lacewing::gateway {

UpstreamAvailabilityExchange::UpstreamAvailabilityExchange(
    const Clock& clock, UpstreamDirectory& upstreams, MetricsRegistry& metrics, Handlers handlers)
    : m_clock(clock)
    , m_upstreams(upstreams)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
{
}

void UpstreamAvailabilityExchange::observed(
    const AvailabilityObservation& observation, const std::string& source)
{
    if (observation.succeeded)
        endRest(observation, source);
    if (observation.statement.hasUnreadableRest)
        ++m_metrics.counter("lacewing_unreadable_rests_total");
    if (observation.statement.isLeaving)
        learnLeaving({ observation.upstream, observation.startedAt }, StatementOrigin::Response, source);
    if (observation.statement.rest)
        learnRest(observation, source);
    if (observation.statement.bearableRejections)
        brittleRejected(observation, source);
}

void UpstreamAvailabilityExchange::brittleRejected(
    const AvailabilityObservation& observation, const std::string& source)
{
    const rejection::BrittleRejection rejection { observation.upstream, observation.startedAt,
        *observation.statement.bearableRejections };
    ++m_metrics.counter("lacewing_brittle_rejections_total");
    LogEvent(LogLevel::Info, "brittle_upstream_rejected")
        .with("upstream", rejection.upstream)
        .with("source", source)
        .with("bearable_per_second", rejection.bearable.perSecond());
    m_upstreams.availability().rejected(rejection, m_clock.now());
    m_handlers.sendToAll(PeerBrittleRejection { rejection });
}

void UpstreamAvailabilityExchange::learnLeaving(
    const LeavingStatement& statement, StatementOrigin origin, const std::string& source)
{
    const UpstreamEntry* entry = m_upstreams.find(statement.upstream);
    const bool hasRestarted = entry && entry->startedAt > statement.startedAt;
    if (hasRestarted || !m_upstreams.availability().learnLeaving(statement, origin, m_clock.now()))
        return;
    LogEvent(LogLevel::Info, "upstream_leaving")
        .with("upstream", statement.upstream)
        .with("started_at", statement.startedAt)
        .with("origin", toString(origin))
        .with("source", source)
        .with("row",
            !entry                  ? "none"
                : entry->isDraining ? "draining"
                                    : "ready")
        .with("until", "new start");
    ++m_metrics.counter(
        "lacewing_upstream_statements_total", { { "kind", "leaving" }, { "origin", toString(origin) } });
    if (origin == StatementOrigin::Response)
        m_handlers.sendToAll(PeerUpstreamLeaving { statement });
    m_handlers.onChange(statement.upstream);
}

void UpstreamAvailabilityExchange::learnRest(
    const AvailabilityObservation& observation, const std::string& source)
{
    const auto left = m_upstreams.availability().learnRest(
        observation.upstream, observation.startedAt, *observation.statement.rest, m_clock.now());
    if (!left)
        return;
    LogEvent(LogLevel::Info, "upstream_resting")
        .with("upstream", observation.upstream)
        .with("started_at", observation.startedAt)
        .with("source", source)
        .with("until_ms", toMilliseconds(*left));
    ++m_metrics.counter("lacewing_upstream_statements_total",
        { { "kind", "rest" }, { "origin", toString(StatementOrigin::Response) } });
    m_handlers.onChange(observation.upstream);
}

void UpstreamAvailabilityExchange::endRest(
    const AvailabilityObservation& observation, const std::string& source)
{
    if (!m_upstreams.availability().requestSucceeded(observation.upstream, *observation.succeeded))
        return;
    LogEvent(LogLevel::Info, "upstream_rest_ended")
        .with("upstream", observation.upstream)
        .with("source", source);
    m_handlers.onChange(observation.upstream);
}

void UpstreamAvailabilityExchange::onMessage(const HostId& peer, const PeerMessage& message)
{
    if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&message)) {
        for (const LeavingStatement& statement : heartbeat->leaving)
            learnLeaving(statement, StatementOrigin::Peer, peer.value());
    } else if (const auto* change = std::get_if<PeerUpstreamLeaving>(&message))
        learnLeaving(change->statement, StatementOrigin::Peer, peer.value());
    else if (const auto* rejected = std::get_if<PeerBrittleRejection>(&message))
        m_upstreams.availability().rejected(rejected->rejection, m_clock.now());
}

} // namespace lacewing::gateway
