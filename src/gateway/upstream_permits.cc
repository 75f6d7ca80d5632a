#include "gateway/upstream_permits.h"

#include "base/stable_hash.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

/// An answer that arrives later counts as refused, since the host may have been frozen meanwhile. Requests to
/// plain upstreams have about 100 ms.
constexpr Duration answerTimeout = std::chrono::milliseconds(50);
/// Time for which a host that does not answer is not asked again about an upstream.
constexpr Duration silentRetry = std::chrono::milliseconds(500);
/// Hosts agree on the deciding host, and engines get a new owner, within a short time.
constexpr Duration undecidedRetry = std::chrono::milliseconds(100);

} // namespace

UpstreamPermits::UpstreamPermits(
    Scheduler& scheduler, const UpstreamLimits& limits, HostId self, Handlers handlers)
    : m_scheduler(scheduler)
    , m_limits(limits)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
{
}

Duration UpstreamPermits::expectedWait(const UpstreamId& upstream) const
{
    const auto found = m_nextStart.find(upstream);
    if (found == m_nextStart.end() || !m_limits.rate(upstream))
        return Duration::zero();
    return std::max<Duration>(found->second - m_scheduler.now(), Duration::zero());
}

HostId UpstreamPermits::decider(const UpstreamId& upstream) const
{
    const auto rank
        = [&upstream](const HostId& host) { return stableHash(host.value() + '@' + upstream.value()); };
    const std::set<HostId> hosts = m_handlers.deciders();
    return *std::max_element(
        hosts.begin(), hosts.end(), [&rank](const HostId& a, const HostId& b) { return rank(a) < rank(b); });
}

PermitId UpstreamPermits::request(const UpstreamId& upstream, Duration patience, Callback callback)
{
    const PermitId permit(m_nextPermit++);
    m_pending.emplace(permit, PendingPermit { upstream, m_scheduler.now(), std::move(callback) });
    const HostId host = decider(upstream);
    const bool isSent = host != m_self
        && m_handlers.send(host,
            PeerPermitRequest { upstream, permit, patience, m_limits.toTell(upstream, m_scheduler.now()) });
    const PermitAnswer answer = host == m_self
        ? decide(upstream, patience)
        : PermitAnswer { false, isSent ? silentRetry : undecidedRetry };
    m_scheduler.runAfter(isSent ? answerTimeout : Duration::zero(),
        m_lifetime.guard([this, permit, answer] { deliver(permit, answer); }));
    return permit;
}

PermitAnswer UpstreamPermits::decide(const UpstreamId& upstream, Duration patience)
{
    const auto rate = m_limits.rate(upstream);
    if (!rate)
        return { true, Duration::zero() };
    if (m_handlers.mustNotDecide(upstream))
        return { false, undecidedRetry };
    const MonotonicTime now = m_scheduler.now();
    RequestPacer& pacer = m_pacers[upstream];
    pacer.setRate(*rate * m_handlers.shareInTouch(), now);
    const Duration wait = pacer.waitFor(0, now);
    if (wait > patience)
        return { false, wait };
    pacer.started(now);
    return { true, wait };
}

void UpstreamPermits::deliver(PermitId permit, PermitAnswer answer)
{
    const auto node = m_pending.extract(permit);
    if (!node)
        return;
    const PendingPermit& pending = node.mapped();
    const MonotonicTime now = m_scheduler.now();
    if (answer.isGranted && now - pending.asked > answerTimeout)
        answer = { false, undecidedRetry };
    if (!answer.isGranted)
        m_nextStart[pending.upstream] = now + answer.wait;
    pending.callback(answer);
}

void UpstreamPermits::retain(const std::set<UpstreamId>& upstreams)
{
    const auto dropOthers = [&upstreams](auto& map) {
        for (auto entry = map.begin(); entry != map.end();)
            entry = upstreams.count(entry->first) > 0 ? std::next(entry) : map.erase(entry);
    };
    dropOthers(m_pacers);
    dropOthers(m_nextStart);
}

void UpstreamPermits::peerMessage(const HostId& peer, const PeerMessage& message)
{
    if (const auto* request = std::get_if<PeerPermitRequest>(&message)) {
        // A host that has just started may lack the row and the configuration from which the limit of a cold
        // upstream follows.
        const bool isLimitUnknown
            = request->limit && request->limit->coldFor && !m_limits.rate(request->upstream);
        const PermitAnswer answer = decider(request->upstream) == m_self && !isLimitUnknown
            ? decide(request->upstream, request->patience)
            : PermitAnswer { false, undecidedRetry };
        m_handlers.send(peer, PeerPermitAnswer { request->permit, answer.isGranted, answer.wait });
        return;
    }
    if (const auto* answer = std::get_if<PeerPermitAnswer>(&message))
        deliver(answer->permit, { answer->isGranted, answer->wait });
}

} // namespace lacewing::gateway
