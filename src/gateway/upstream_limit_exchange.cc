#include "gateway/upstream_limit_exchange.h"

#include "base/log.h"

namespace lacewing::gateway {

namespace {

std::string text(const std::optional<RequestRate>& rate)
{
    return rate ? std::to_string(rate->perSecond()) : "none";
}

} // namespace

UpstreamLimitExchange::UpstreamLimitExchange(const Clock& clock, UpstreamLimits& limits,
    const UpstreamDirectory& upstreams, MetricsRegistry& metrics, Handlers handlers)
    : m_clock(clock)
    , m_limits(limits)
    , m_upstreams(upstreams)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
{
}

void UpstreamLimitExchange::observed(const LimitObservation& observation, const std::string& requestId)
{
    if (observation.coldFor && m_handlers.onCold)
        m_handlers.onCold({ observation.upstream, observation.startedAt, *observation.coldFor });
    const auto before = m_limits.statedRate(observation.upstream);
    const auto changed = m_limits.observe(observation, m_clock.now());
    if (!changed)
        return;
    recordChange(*changed, before, "response", "request", requestId);
    m_handlers.sendToAll(PeerUpstreamLimit { *changed });
    m_handlers.onChange(changed->upstream);
}

void UpstreamLimitExchange::recordChange(const UpstreamLimit& limit, const std::optional<RequestRate>& before,
    const char* source, const char* sourceField, const std::string& sourceId)
{
    LogEvent(LogLevel::Info, "upstream_limit")
        .with("upstream", limit.upstream)
        .with("limit", text(limit.rate))
        .with("before", text(before))
        .with("revision", limit.revision)
        .with(sourceField, sourceId);
    ++m_metrics.counter("lacewing_upstream_limit_changes_total", { { "source", source } });
}

void UpstreamLimitExchange::onMessage(const HostId& peer, const PeerMessage& message)
{
    if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&message)) {
        for (const UpstreamLimit& limit : heartbeat->limits)
            told(peer, limit);
    } else if (const auto* change = std::get_if<PeerUpstreamLimit>(&message))
        told(peer, change->limit);
    else if (const auto* run = std::get_if<PeerRunRequest>(&message); run && run->limit)
        told(peer, *run->limit);
    else if (const auto* permit = std::get_if<PeerPermitRequest>(&message); permit && permit->limit)
        told(peer, *permit->limit);
}

void UpstreamLimitExchange::told(const HostId& peer, const UpstreamLimit& limit)
{
    const UpstreamEntry* entry = m_upstreams.find(limit.upstream);
    const bool hasRestarted = entry && entry->startedAt > limit.startedAt;
    if (!hasRestarted && limit.coldFor && m_handlers.onColdTold)
        m_handlers.onColdTold({ limit.upstream, limit.startedAt, *limit.coldFor });
    if (!limit.isStated())
        return;
    const auto before = m_limits.statedRate(limit.upstream);
    if (hasRestarted || !m_limits.merge(limit, m_clock.now()) || before == limit.rate)
        return;
    recordChange(limit, before, "peer", "peer", peer.value());
    m_handlers.onChange(limit.upstream);
}

} // namespace lacewing::gateway
