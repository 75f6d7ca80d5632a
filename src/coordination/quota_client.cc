#include "coordination/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewing {

namespace {

using namespace std::chrono_literals;

// Asks to one peer within this time are batched into one message, over all workspaces.
constexpr Duration askBatchTime = 2ms;

// A peer that has not answered by then counts as empty until that estimate is stale. The timeout allows for
// several round trips between two regions.
constexpr Duration askTimeout = 300ms;

// Reports are delayed so that they share messages. A delayed report holds up refill only in a bucket that is
// nearly full.
constexpr Duration reportDelay = 200ms;

// How often the local bucket and the estimates of the peers' buckets are checked again for queued requests.
constexpr Duration waitRetryInterval = 20ms;
constexpr Duration debtRetryInterval = 1s;
// While the front of the queue has more time left than this, only amounts of the usual size are asked for.
constexpr Duration urgentTime = 100ms;

// Amounts still unused this long after they were asked for are returned, so that they don't stay idle here.
constexpr Duration releaseAfter = 500ms;
constexpr Duration maintenancePeriod = 250ms;
constexpr Duration idleTime = 10s;

// Lower bound of the fullness assumed for peers whose levels are unknown.
constexpr double leastFullness = 0.25;

// The local bucket alone serves an amount if its level is at least this many times as high.
constexpr int64_t drainFactor = 4;

constexpr double recentUseSeconds = 1;
// The expected use of this time is prefetched if the peers have at least prefetchReserve times as much.
constexpr double prefetchSeconds = 0.1;
constexpr int64_t prefetchReserve = 8;

constexpr Duration shortestRetryAfter = 100ms;
constexpr int seqBitsPerIncarnation = 40;

Duration timeToRefill(Tokens missing, Tokens rate)
{
    if (rate <= Tokens())
        return Duration::zero();
    const double seconds = static_cast<double>(missing.value()) / static_cast<double>(rate.value());
    return std::max(shortestRetryAfter, std::chrono::duration_cast<Duration>(seconds * 1s));
}

} // namespace

const char* toString(ReserveError error)
{
    switch (error) {
    case ReserveError::RateLimited:
        return "rate_limited";
    case ReserveError::ExceedsBurst:
        return "exceeds_burst";
    case ReserveError::UnknownWorkspace:
        return "unknown_workspace";
    case ReserveError::Stopping:
        return "stopping";
    }
    return "invalid";
}

QuotaClient::QuotaClient(Scheduler& scheduler, PeerMessenger& messenger, PartitionHolder& holder, HostId self,
    Incarnation incarnation)
    : m_scheduler(scheduler)
    , m_messenger(messenger)
    , m_holder(holder)
    , m_self(std::move(self))
    , m_nextSeq((static_cast<uint64_t>(incarnation.value()) << seqBitsPerIncarnation) + 1)
    , m_ledger(scheduler, [this](const HostId& peer, const QuotaReturn& report) { sendReport(peer, report); })
{
}

QuotaClient::~QuotaClient()
{
    *m_alive = false;
    for (const auto& [id, state] : m_workspaces)
        m_scheduler.cancel(state.timer);
    m_scheduler.cancel(m_askTimer);
    m_scheduler.cancel(m_reportTimer);
    m_scheduler.cancel(m_maintenanceTimer);
}

void QuotaClient::setLimits(const QuotaLimits& limits)
{
    m_limits = limits;
    for (auto& [id, state] : m_workspaces) {
        const auto limit = m_limits.find(id);
        if (limit != m_limits.end()) {
            state.peerLevels.setLimit(limit->second);
            continue;
        }
        for (Waiting& waiting : std::exchange(state.queue, {}))
            refuse(waiting, ReserveError::UnknownWorkspace, Duration::zero());
        state.debt = Tokens();
    }
    deliverReplies();
}

void QuotaClient::setHolders(const std::map<HostId, int>& partitionsByHost)
{
    m_partitionsByHost = partitionsByHost;
    m_partitionsByHost.erase(m_self);
    for (auto& [id, state] : m_workspaces)
        state.peerLevels.setHolders(m_partitionsByHost);
}

void QuotaClient::reserve(
    const WorkspaceId& workspace, Tokens tokens, MonotonicTime deadline, ReserveCallback callback)
{
    Waiting waiting { std::max(tokens, Tokens()), deadline, std::move(callback) };
    const auto limit = m_limits.find(workspace);
    if (m_isStopped) {
        refuse(waiting, ReserveError::Stopping, shortestRetryAfter);
    } else if (limit == m_limits.end()) {
        refuse(waiting, ReserveError::UnknownWorkspace, Duration::zero());
    } else if (tokens > limit->second.burst) {
        refuse(waiting, ReserveError::ExceedsBurst, Duration::zero());
    } else {
        this->workspace(workspace)->queue.push_back(std::move(waiting));
        serveAndAsk(workspace);
    }
    deliverReplies();
}

void QuotaClient::settle(const Reservation& reservation, Tokens used)
{
    const auto found = m_reservations.find(reservation.id);
    if (found == m_reservations.end())
        return;
    const auto limit = m_limits.find(reservation.workspace);
    const bool isSlots = limit != m_limits.end() && limit->second.kind == QuotaKind::Slots;
    if (isSlots)
        used = Tokens();
    if (used < reservation.tokens)
        m_ledger.refund(found->second, reservation.tokens - used);
    m_reservations.erase(found);
    if (used > reservation.tokens && limit != m_limits.end() && !m_isStopped) {
        workspace(reservation.workspace)->debt += used - reservation.tokens;
        serveAndAsk(reservation.workspace);
    }
    deliverReplies();
}

void QuotaClient::handleGrant(const HostId& peer, const QuotaGrant& grant)
{
    const auto found = m_asks.find(grant.seq);
    if (found == m_asks.end() || found->second.peer != peer)
        return;
    const Ask ask = std::move(found->second);
    m_asks.erase(found);
    for (const TokenAmount& amount : grant.granted) {
        const auto limit = m_limits.find(amount.workspace);
        const QuotaLimit known = limit == m_limits.end() ? QuotaLimit() : limit->second;
        m_ledger.add(peer, grant.seq, amount, known.kind, ask.sentAt + known.ttl());
    }
    for (const TokenAmount& level : grant.levels) {
        const auto state = m_workspaces.find(level.workspace);
        if (state != m_workspaces.end())
            state->second.peerLevels.recordAnswer(peer, level.tokens, m_scheduler.now());
    }
    if (m_isStopped)
        m_ledger.releaseExpiringBefore(MonotonicTime::max());
    for (const WorkspaceId& id : ask.workspaces)
        serveAndAsk(id);
    deliverReplies();
}

void QuotaClient::stop()
{
    m_isStopped = true;
    for (auto& [id, state] : m_workspaces) {
        for (Waiting& waiting : std::exchange(state.queue, {}))
            refuse(waiting, ReserveError::Stopping, shortestRetryAfter);
    }
    m_ledger.releaseExpiringBefore(MonotonicTime::max());
    m_ledger.flush();
    deliverReplies();
}

Tokens QuotaClient::debt(const WorkspaceId& workspace) const
{
    const auto found = m_workspaces.find(workspace);
    return found == m_workspaces.end() ? Tokens() : found->second.debt;
}

QuotaClient::Workspace* QuotaClient::workspace(const WorkspaceId& id)
{
    const auto added = m_workspaces.try_emplace(id);
    Workspace& state = added.first->second;
    if (added.second) {
        state.peerLevels.setHolders(m_partitionsByHost);
        state.peerLevels.setLimit(m_limits[id]);
        armMaintenance();
    }
    return &state;
}

void QuotaClient::serveAndAsk(const WorkspaceId& id)
{
    const auto found = m_workspaces.find(id);
    if (found == m_workspaces.end() || m_limits.count(id) == 0)
        return;
    Workspace& state = found->second;
    serve(id, state);
    if (askOwnHolder(id, state))
        serve(id, state);
    refuseUnservable(id, state);
    askPeers(id, state);
    armTimer(id, state);
}

void QuotaClient::serve(const WorkspaceId& id, Workspace& state)
{
    payDebt(id, state);
    while (state.debt == Tokens() && !state.queue.empty()
        && state.queue.front().tokens <= m_ledger.available(id))
        chargeFront(id, state);
}

void QuotaClient::payDebt(const WorkspaceId& id, Workspace& state)
{
    const Tokens payment = std::min(state.debt, m_ledger.available(id));
    if (payment == Tokens())
        return;
    m_ledger.charge(id, payment);
    state.debt -= payment;
    if (m_chargeObserver)
        m_chargeObserver(id, payment, std::nullopt);
}

void QuotaClient::chargeFront(const WorkspaceId& id, Workspace& state)
{
    const MonotonicTime now = m_scheduler.now();
    Waiting waiting = std::move(state.queue.front());
    state.queue.pop_front();
    if (state.usedAt != MonotonicTime::min())
        state.recentUse *= std::exp(-toSeconds(now - state.usedAt) / recentUseSeconds);
    state.recentUse += static_cast<double>(waiting.tokens.value());
    state.usedAt = now;
    const Reservation reservation { m_nextReservation++, id, waiting.tokens };
    m_reservations.emplace(reservation.id, m_ledger.charge(id, waiting.tokens));
    if (m_chargeObserver)
        m_chargeObserver(id, waiting.tokens, reservation.id);
    m_pendingReplies.emplace_back(
        std::move(waiting.callback), ReserveResult { reservation, std::nullopt, {} });
}

void QuotaClient::refuseUnservable(const WorkspaceId& id, Workspace& state)
{
    const MonotonicTime now = m_scheduler.now();
    const bool isKnown = !state.peerLevels.hasStale(now);
    const Tokens held = m_ledger.available(id) + state.peerLevels.inFlight();
    const Tokens own = ownLevel(id);
    Tokens needed = state.debt;
    std::deque<Waiting> kept;
    for (Waiting& waiting : state.queue) {
        const Tokens missing = needed + waiting.tokens - held;
        const Tokens reachable
            = state.peerLevels.estimate(waiting.deadline) + own + ownRefill(id, waiting.deadline - now);
        if (now < waiting.deadline && (!isKnown || missing <= reachable)) {
            needed += waiting.tokens;
            kept.push_back(std::move(waiting));
            continue;
        }
        const Tokens lacking = std::max(Tokens(1), missing - state.peerLevels.estimate(now));
        refuse(waiting, ReserveError::RateLimited, timeToRefill(lacking, m_limits[id].rate));
    }
    const bool hasRefused = kept.size() < state.queue.size();
    state.queue = std::move(kept);
    // Amounts obtained for a refused request would stay unused here unless another request follows soon.
    if (hasRefused && state.queue.empty() && m_ledger.available(id) > usedWithin(state, prefetchSeconds))
        m_ledger.releaseExpiringBefore(id, MonotonicTime::max());
}

void QuotaClient::refuse(Waiting& waiting, ReserveError error, Duration retryAfter)
{
    m_pendingReplies.emplace_back(
        std::move(waiting.callback), ReserveResult { std::nullopt, error, retryAfter });
}

Tokens QuotaClient::wanted(const WorkspaceId& id, const Workspace& state)
{
    Tokens sum = state.debt;
    for (const Waiting& waiting : state.queue)
        sum += waiting.tokens;
    return sum - m_ledger.available(id) - state.peerLevels.inFlight();
}

Tokens QuotaClient::usedWithin(const Workspace& state, double seconds) const
{
    if (state.usedAt == MonotonicTime::min())
        return Tokens();
    const double age = toSeconds(m_scheduler.now() - state.usedAt);
    const double perSecond = state.recentUse * std::exp(-age / recentUseSeconds) / recentUseSeconds;
    return Tokens(static_cast<int64_t>(perSecond * seconds));
}

Tokens QuotaClient::prefetchAmount(const WorkspaceId& id, const Workspace& state)
{
    const MonotonicTime now = m_scheduler.now();
    const bool isInUse = !state.queue.empty() || state.usedAt == now;
    if (!isInUse || m_limits[id].kind == QuotaKind::Slots)
        return Tokens();
    const Tokens ahead = usedWithin(state, prefetchSeconds);
    // A queued request causes an ask anyway, so prefetching costs no further message.
    if (!state.queue.empty())
        return ahead;
    const Tokens held = m_ledger.available(id) + state.peerLevels.inFlight();
    const bool isPlenty = state.peerLevels.estimate(now).value() >= prefetchReserve * ahead.value();
    return isPlenty && 2 * held.value() <= ahead.value() ? ahead - held : Tokens();
}

bool QuotaClient::askOwnHolder(const WorkspaceId& id, Workspace& state)
{
    Tokens amount = wanted(id, state);
    const Tokens own = ownLevel(id);
    if (amount <= Tokens() || own == Tokens())
        return false;
    // Below this level the buckets are drained evenly, as in PeerLevelEstimates::plan().
    if (own < Tokens(drainFactor * amount.value())) {
        const Tokens others = state.peerLevels.estimateWithDefault(ownFullness(id), m_scheduler.now());
        const double part = static_cast<double>(own.value()) / static_cast<double>((own + others).value());
        amount = Tokens(static_cast<int64_t>(std::ceil(static_cast<double>(amount.value()) * part)));
    }
    const QuotaRequest ask { m_nextSeq++, { { id, amount } } };
    const std::optional<QuotaGrant> grant = m_holder.answer(m_self, ask);
    if (!grant || grant->granted.empty())
        return false;
    const QuotaLimit& limit = m_limits[id];
    m_ledger.add(m_self, ask.seq, grant->granted.front(), limit.kind, m_scheduler.now() + limit.ttl());
    return true;
}

void QuotaClient::askPeers(const WorkspaceId& id, Workspace& state)
{
    if (m_isStopped)
        return;
    const Tokens amount = std::max(wanted(id, state), Tokens()) + prefetchAmount(id, state);
    if (amount == Tokens())
        return;
    const MonotonicTime now = m_scheduler.now();
    const double fullness = ownFullness(id);
    const bool isUrgent = !state.queue.empty() && state.queue.front().deadline - now <= urgentTime;
    for (const auto& [peer, tokens] : state.peerLevels.plan(amount, fullness, isUrgent, now)) {
        state.peerLevels.recordAsk(peer, tokens);
        m_queuedAsks[peer].push_back({ id, tokens });
    }
    if (!m_queuedAsks.empty() && m_askTimer == 0)
        m_askTimer = m_scheduler.runAfter(askBatchTime, [this] { sendAsks(); });
}

Tokens QuotaClient::ownLevel(const WorkspaceId& id)
{
    QuotaBucket* bucket = m_holder.bucket(id);
    return bucket == nullptr ? Tokens() : bucket->level(m_scheduler.now());
}

double QuotaClient::ownFullness(const WorkspaceId& id)
{
    const double share = static_cast<double>(m_holder.partitionCount()) / quotaPartitions;
    const double capacity = static_cast<double>(m_limits[id].burst.value()) * share;
    const double level = static_cast<double>(ownLevel(id).value());
    return capacity > 0 ? std::max(leastFullness, level / capacity) : 1;
}

Tokens QuotaClient::ownRefill(const WorkspaceId& id, Duration duration) const
{
    const double rate = static_cast<double>(m_limits.at(id).rate.value());
    const double share = static_cast<double>(m_holder.partitionCount()) / quotaPartitions;
    return Tokens(static_cast<int64_t>(rate * share * std::max(0.0, toSeconds(duration))));
}

void QuotaClient::armTimer(const WorkspaceId& id, Workspace& state)
{
    m_scheduler.cancel(std::exchange(state.timer, 0));
    const MonotonicTime now = m_scheduler.now();
    Duration wait = debtRetryInterval;
    if (state.queue.empty() && (state.debt == Tokens() || m_isStopped))
        return;
    if (!state.queue.empty())
        wait = waitRetryInterval;
    for (const Waiting& waiting : state.queue)
        wait = std::min(wait, std::max(waiting.deadline - now, Duration::zero()));
    state.timer = m_scheduler.runAfter(wait, [this, id] {
        m_workspaces[id].timer = 0;
        serveAndAsk(id);
        deliverReplies();
    });
}

void QuotaClient::sendAsks()
{
    m_askTimer = 0;
    std::vector<WorkspaceId> unanswered;
    for (auto& [peer, wanted] : std::exchange(m_queuedAsks, {})) {
        Ask ask { peer, m_scheduler.now(), {} };
        for (const TokenAmount& amount : wanted)
            ask.workspaces.push_back(amount.workspace);
        const uint64_t seq = m_nextSeq++;
        m_asks.emplace(seq, std::move(ask));
        if (!m_messenger.send(peer, QuotaRequest { seq, std::move(wanted) })) {
            m_scheduler.runAfter(Duration::zero(), [this, seq, alive = m_alive] {
                if (*alive)
                    timeOut(seq);
            });
            continue;
        }
        m_scheduler.runAfter(askTimeout, [this, seq, alive = m_alive] {
            if (*alive)
                timeOut(seq);
        });
    }
}

void QuotaClient::timeOut(uint64_t seq)
{
    const auto found = m_asks.find(seq);
    if (found == m_asks.end())
        return;
    // The ask is kept, because a late grant can still be used.
    const Ask ask = found->second;
    for (const WorkspaceId& id : ask.workspaces) {
        const auto state = m_workspaces.find(id);
        if (state != m_workspaces.end())
            state->second.peerLevels.recordAnswer(ask.peer, Tokens(), m_scheduler.now());
        serveAndAsk(id);
    }
    armMaintenance();
    deliverReplies();
}

void QuotaClient::sendReport(const HostId& holder, const QuotaReturn& report)
{
    if (holder == m_self)
        m_holder.report(m_self, report);
    else
        m_messenger.send(holder, report);
}

void QuotaClient::scheduleReports()
{
    if (m_reportTimer != 0 || !m_ledger.isActive())
        return;
    armMaintenance();
    m_reportTimer = m_scheduler.runAfter(reportDelay, [this] {
        m_reportTimer = 0;
        m_ledger.flush();
    });
}

void QuotaClient::armMaintenance()
{
    if (m_maintenanceTimer == 0)
        m_maintenanceTimer = m_scheduler.runAfter(maintenancePeriod, [this] { maintain(); });
}

void QuotaClient::maintain()
{
    m_maintenanceTimer = 0;
    const MonotonicTime now = m_scheduler.now();
    m_ledger.releaseExpiringBefore(now);
    for (auto entry = m_workspaces.begin(); entry != m_workspaces.end();) {
        const auto& [id, state] = *entry;
        const auto limit = m_limits.find(id);
        if (state.queue.empty() && limit != m_limits.end())
            m_ledger.releaseExpiringBefore(id, now + limit->second.ttl() - releaseAfter);
        const bool isIdle = state.queue.empty() && state.debt == Tokens()
            && state.peerLevels.inFlight() == Tokens()
            && (state.usedAt == MonotonicTime::min() || now - state.usedAt > idleTime);
        if (isIdle)
            m_scheduler.cancel(state.timer);
        entry = isIdle ? m_workspaces.erase(entry) : std::next(entry);
    }
    for (auto ask = m_asks.begin(); ask != m_asks.end();)
        ask = now - ask->second.sentAt > slotTtl ? m_asks.erase(ask) : std::next(ask);
    scheduleReports();
    if (!m_workspaces.empty() || !m_asks.empty() || m_ledger.isActive())
        armMaintenance();
}

void QuotaClient::deliverReplies()
{
    scheduleReports();
    for (PendingReply& done : std::exchange(m_pendingReplies, {}))
        done.first(done.second);
}

} // namespace lacewing
