#include "gateway/warm_up_control.h"

#include "base/log.h"

#include <utility>

namespace lacewing::gateway {

WarmUpControl::WarmUpControl(Scheduler& scheduler, WarmUpLimits& warmUp, const UpstreamLimits& limits,
    const UpstreamDirectory& upstreams, const ConfigurationTracker& configuration, Handlers handlers)
    : m_scheduler(scheduler)
    , m_warmUp(warmUp)
    , m_limits(limits)
    , m_upstreams(upstreams)
    , m_configuration(configuration)
    , m_handlers(std::move(handlers))
    , m_started(scheduler.now())
{
}

void WarmUpControl::refresh()
{
    const auto configuration = m_configuration.current();
    std::map<UpstreamId, PresentProcess> present;
    for (const UpstreamId& id : m_upstreams.ids()) {
        const UpstreamEntry* entry = m_upstreams.find(id);
        PresentProcess process;
        process.startedAt = entry->startedAt;
        process.remaining = entry->coldRemaining;
        process.read = entry->read;
        const auto* service = configuration ? configuration->findService(entry->service) : nullptr;
        if (service)
            process.coldStart = service->coldStart;
        present.emplace(id, process);
    }
    const bool isFirstRead = !m_hasReadTable;
    m_hasReadTable = m_upstreams.hasReadTable();
    m_warmUp.setPresent(present, isFirstRead, m_scheduler.now());
    update();
}

void WarmUpControl::observed(const ColdStatement& statement)
{
    const bool isNews = m_warmUp.learn(statement, ColdSource::Response, m_scheduler.now());
    update();
    const auto limit = isNews ? m_limits.toTell(statement.upstream, m_scheduler.now()) : std::nullopt;
    if (limit)
        m_handlers.sendToAll(PeerUpstreamLimit { *limit });
}

void WarmUpControl::told(const ColdStatement& statement)
{
    m_warmUp.learn(statement, ColdSource::Peer, m_scheduler.now());
    update();
}

bool WarmUpControl::mayDecide(const UpstreamId& upstream) const
{
    return !m_warmUp.rate(upstream) || m_scheduler.now() - m_started >= WarmUpLimits::peerDiscoveryTime;
}

void WarmUpControl::update()
{
    const MonotonicTime now = m_scheduler.now();
    const std::vector<ColdChange> changes = m_warmUp.update(now);
    m_scheduler.cancel(std::exchange(m_timer, 0));
    if (const auto next = m_warmUp.nextEnd(now))
        m_timer = m_scheduler.runAfter(*next, [this] {
            m_timer = 0;
            update();
        });
    for (const ColdChange& change : changes) {
        log(change);
        m_handlers.onChange(change.upstream);
    }
}

void WarmUpControl::log(const ColdChange& change)
{
    if (change.remaining == Duration::zero()) {
        LogEvent(LogLevel::Info, "upstream_warm").with("upstream", change.upstream);
        return;
    }
    LogEvent(LogLevel::Info, "upstream_cold")
        .with("upstream", change.upstream)
        .with("duration_ms", toMilliseconds(change.remaining))
        .with("rate", std::to_string(change.rate.perSecond()))
        .with("source", toString(change.source));
}

} // namespace lacewing::gateway
