#include "gateway/run_broker.h"

namespace lacewing::gateway {

RunBroker::RunBroker(Scheduler& scheduler, const UpstreamLimits& limits, HostId self)
    : m_scheduler(scheduler)
    , m_limits(limits)
    , m_self(std::move(self))
{
}

void RunBroker::connect(OwnedEngines& owners, PeerMesh& mesh)
{
    m_owners = &owners;
    m_mesh = &mesh;
}

RunId RunBroker::ask(const HostId& owner, const UpstreamId& engine, RunRequest request, Callback callback)
{
    const RunId run(m_nextRun++);
    request.key = { m_self, run };
    m_pendingRuns.emplace(run, PendingRun { owner, engine, std::move(callback) });
    if (owner == m_self) {
        m_owners->request(engine, std::move(request));
        return run;
    }
    const MonotonicTime now = m_scheduler.now();
    const PeerRunRequest message { engine, run, request.adapter, request.prompt, request.parts,
        request.output, request.priority, request.onTimeStart - now, request.latestStart - now,
        request.targetPause, m_limits.toTell(engine, now), request.workspace, request.returnsWithin };
    if (!m_mesh->send(owner, message))
        answered(request.key, RunDenial { request.key, RunRefusal::NotOwner });
    return run;
}

void RunBroker::answered(const RunKey& key, const RunAnswer& answer)
{
    if (key.host == m_self) {
        // Deferred to a later iteration of the event loop, since the caller may still be inside ask().
        m_scheduler.runAfter(
            Duration::zero(), m_lifetime.guard([this, key, answer] { deliver(key.run, answer); }));
        return;
    }
    if (const auto* grant = std::get_if<RunGrant>(&answer))
        m_mesh->send(key.host, PeerRunGrant { key.run, grant->urgency, grant->version });
    else if (const auto* denial = std::get_if<RunDenial>(&answer))
        m_mesh->send(
            key.host, PeerRunDenial { key.run, denial->reason, denial->retryAfter, denial->isPromised });
}

void RunBroker::deliver(RunId run, const RunAnswer& answer)
{
    const auto found = m_pendingRuns.find(run);
    if (found == m_pendingRuns.end() || !found->second.callback)
        return;
    const Callback callback = std::exchange(found->second.callback, nullptr);
    if (std::holds_alternative<RunDenial>(answer))
        m_pendingRuns.erase(found);
    callback(answer);
}

void RunBroker::progressed(RunId run, std::optional<double> slowdown)
{
    const auto found = m_pendingRuns.find(run);
    if (found == m_pendingRuns.end())
        return;
    if (found->second.owner == m_self)
        m_owners->runProgressed(found->second.engine, { m_self, run }, slowdown);
    else
        m_mesh->send(found->second.owner, PeerRunProgress { found->second.engine, run, slowdown });
}

void RunBroker::ended(RunId run, RunEnding ending)
{
    const auto node = m_pendingRuns.extract(run);
    if (!node)
        return;
    const PendingRun& pending = node.mapped();
    if (pending.owner == m_self)
        m_owners->runEnded(pending.engine, { m_self, run }, ending);
    else
        m_mesh->send(pending.owner, PeerRunEnd { pending.engine, run, ending });
}

void RunBroker::requestFromPeer(const HostId& peer, const PeerRunRequest& message)
{
    const MonotonicTime now = m_scheduler.now();
    RunRequest request;
    request.key = { peer, message.run };
    request.adapter = message.adapter;
    request.prompt = message.prompt;
    request.parts = message.parts;
    request.output = message.output;
    request.priority = message.priority;
    request.onTimeStart = now + message.onTimeWithin;
    request.latestStart = now + message.latestWithin;
    request.targetPause = message.targetPause;
    request.workspace = message.workspace;
    request.returnsWithin = message.returnsWithin;
    m_owners->request(message.engine, std::move(request));
}

void RunBroker::peerMessage(const HostId& peer, const PeerMessage& message)
{
    if (const auto* request = std::get_if<PeerRunRequest>(&message))
        requestFromPeer(peer, *request);
    else if (const auto* grant = std::get_if<PeerRunGrant>(&message))
        deliver(grant->run, RunGrant { { m_self, grant->run }, grant->urgency, grant->version });
    else if (const auto* denial = std::get_if<PeerRunDenial>(&message))
        deliver(denial->run,
            RunDenial { { m_self, denial->run }, denial->reason, denial->retryAfter, Duration::zero(),
                denial->isPromised });
    else if (const auto* progress = std::get_if<PeerRunProgress>(&message))
        m_owners->runProgressed(progress->engine, { peer, progress->run }, progress->slowdown);
    else if (const auto* end = std::get_if<PeerRunEnd>(&message))
        m_owners->runEnded(end->engine, { peer, end->run }, end->ending);
}

void RunBroker::peerLost(const HostId& peer)
{
    m_owners->hostLost(peer);
    std::vector<RunId> unanswered;
    for (const auto& [run, pending] : m_pendingRuns) {
        if (pending.owner == peer && pending.callback)
            unanswered.push_back(run);
    }
    for (const RunId run : unanswered)
        answered({ m_self, run }, RunDenial { { m_self, run }, RunRefusal::NotOwner });
}

} // namespace lacewing::gateway
