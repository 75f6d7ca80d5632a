#include "coordination/simulated_quota.h"

#include <utility>

namespace lacewing {

namespace {

// Sizes of a CBOR map with string keys: type, seq and list headers; and workspace, tokens with their keys.
constexpr int64_t messageOverhead = 45;
constexpr int64_t amountOverhead = 24;

int64_t sizeOf(const std::vector<TokenAmount>& amounts)
{
    int64_t size = 0;
    for (const TokenAmount& amount : amounts)
        size += amountOverhead + static_cast<int64_t>(amount.workspace.value().size());
    return size;
}

int64_t sizeOf(const PeerMessage& message)
{
    if (const auto* ask = std::get_if<QuotaRequest>(&message))
        return messageOverhead + sizeOf(ask->wanted);
    if (const auto* grant = std::get_if<QuotaGrant>(&message))
        return messageOverhead + sizeOf(grant->granted) + sizeOf(grant->levels);
    if (const auto* report = std::get_if<QuotaReturn>(&message))
        return messageOverhead + sizeOf(report->spent) + sizeOf(report->unused);
    return 0;
}

} // namespace

SimulatedProcessScheduler::SimulatedProcessScheduler(Scheduler& scheduler, Duration offset)
    : m_scheduler(scheduler)
    , m_offset(offset)
{
}

SimulatedProcessScheduler::~SimulatedProcessScheduler()
{
    for (const auto& [timer, entry] : m_timers)
        m_scheduler.cancel(entry.outer);
}

MonotonicTime SimulatedProcessScheduler::now() const
{
    return (m_isPaused && m_stopsInPauses ? m_pausedAt : m_scheduler.now()) + m_offset;
}

TimerId SimulatedProcessScheduler::runAfter(Duration delay, std::function<void()> callback)
{
    const TimerId timer = m_nextTimer++;
    m_timers[timer] = { m_scheduler.runAfter(delay, [this, timer] { run(timer); }), std::move(callback) };
    return timer;
}

void SimulatedProcessScheduler::cancel(TimerId timer)
{
    const auto found = m_timers.find(timer);
    if (found == m_timers.end())
        return;
    m_scheduler.cancel(found->second.outer);
    m_timers.erase(found);
}

void SimulatedProcessScheduler::run(TimerId timer)
{
    if (m_isPaused) {
        m_held.push_back(timer);
        return;
    }
    const auto found = m_timers.find(timer);
    if (found == m_timers.end())
        return;
    const std::function<void()> callback = std::move(found->second.callback);
    m_timers.erase(found);
    callback();
}

void SimulatedProcessScheduler::setPaused(bool paused)
{
    if (paused == m_isPaused)
        return;
    if (paused)
        m_pausedAt = m_scheduler.now();
    else if (m_stopsInPauses)
        m_offset -= m_scheduler.now() - m_pausedAt;
    m_isPaused = paused;
    if (paused)
        return;
    for (TimerId timer : std::exchange(m_held, {})) {
        const auto found = m_timers.find(timer);
        if (found != m_timers.end())
            found->second.outer = m_scheduler.runAfter(Duration::zero(), [this, timer] { run(timer); });
    }
}

/// Sends a daemon's messages over the simulated network.
class SimulatedQuotaFleet::Messenger : public PeerMessenger {
public:
    Messenger(SimulatedQuotaFleet& fleet, HostId self)
        : m_fleet(fleet)
        , m_self(std::move(self))
    {
    }

    bool send(const HostId& peer, const PeerMessage& message) override
    {
        if (m_fleet.find(peer) == nullptr)
            return false;
        ++m_fleet.m_sentMessages[m_self];
        m_fleet.m_sentBytes[m_self] += sizeOf(message);
        m_fleet.m_network.send(m_self, peer,
            [fleet = &m_fleet, from = m_self, peer, message] { fleet->deliver(from, peer, message); });
        return true;
    }

private:
    SimulatedQuotaFleet& m_fleet;
    HostId m_self;
};

SimulatedQuotaFleet::Daemon::Daemon(
    SimulatedQuotaFleet& fleet, HostId host, Incarnation incarnation, Duration clockOffset)
    : host(host)
    , scheduler(fleet.m_scheduler, clockOffset)
    , messenger(std::make_unique<Messenger>(fleet, host))
    , holder(scheduler, [this] { return isSessionValid(); })
    , quotaClient(scheduler, *messenger, holder, host, incarnation)
{
}

SimulatedQuotaFleet::SimulatedQuotaFleet(VirtualScheduler& scheduler, uint64_t seed)
    : m_scheduler(scheduler)
    , m_network(scheduler, seed)
{
}

SimulatedQuotaFleet::~SimulatedQuotaFleet() = default;

SimulatedQuotaFleet::Daemon& SimulatedQuotaFleet::start(
    const HostId& host, Incarnation incarnation, Duration clockOffset)
{
    auto& daemon = m_daemons[host];
    daemon = std::make_unique<Daemon>(*this, host, incarnation, clockOffset);
    return *daemon;
}

void SimulatedQuotaFleet::crash(const HostId& host)
{
    m_network.crash(host);
    m_daemons.erase(host);
}

SimulatedQuotaFleet::Daemon* SimulatedQuotaFleet::find(const HostId& host)
{
    const auto found = m_daemons.find(host);
    return found == m_daemons.end() ? nullptr : found->second.get();
}

void SimulatedQuotaFleet::setPartitions(
    const HostId& host, const std::set<int>& partitions, Duration fillAfter)
{
    Daemon* daemon = find(host);
    if (daemon == nullptr)
        return;
    daemon->partitions = partitions;
    daemon->holder.setPartitions(partitions, daemon->after(fillAfter));
}

void SimulatedQuotaFleet::announceHolders()
{
    std::map<HostId, int> holders;
    for (const auto& [host, daemon] : m_daemons) {
        if (!daemon->partitions.empty())
            holders[host] = static_cast<int>(daemon->partitions.size());
    }
    for (const auto& [host, daemon] : m_daemons)
        daemon->quotaClient.setHolders(holders);
}

int64_t SimulatedQuotaFleet::sentMessages(const HostId& host) const
{
    const auto found = m_sentMessages.find(host);
    return found == m_sentMessages.end() ? 0 : found->second;
}

int64_t SimulatedQuotaFleet::sentBytes(const HostId& host) const
{
    const auto found = m_sentBytes.find(host);
    return found == m_sentBytes.end() ? 0 : found->second;
}

void SimulatedQuotaFleet::deliver(const HostId& from, const HostId& to, const PeerMessage& message)
{
    Daemon* daemon = find(to);
    if (daemon == nullptr)
        return;
    if (const auto* ask = std::get_if<QuotaRequest>(&message)) {
        const std::optional<QuotaGrant> grant = daemon->holder.answer(from, *ask);
        if (grant)
            daemon->messenger->send(from, *grant);
    } else if (const auto* grant = std::get_if<QuotaGrant>(&message)) {
        daemon->quotaClient.handleGrant(from, *grant);
    } else if (const auto* report = std::get_if<QuotaReturn>(&message)) {
        daemon->holder.report(from, *report);
    }
}

} // namespace lacewing
