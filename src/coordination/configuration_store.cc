#include "coordination/configuration_store.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

/// Allows a read every second even while earlier ones are pending, so that a slow table doesn't increase the
/// head age.
constexpr int maximumOpenReads = 4;
constexpr size_t maximumChangeRecords = 64;
/// Head age that is reported while none is known. It is too high for any peer to accept keys.
constexpr int64_t unknownHeadAgeMs = 86'400'000;

int64_t roundUpToMilliseconds(Duration duration)
{
    return toMilliseconds(duration + std::chrono::milliseconds(1) - Duration(1));
}

} // namespace

ConfigurationStore::ConfigurationStore(
    ConfigurationStoreOptions options, const ConfigurationStoreDependencies& dependencies)
    : m_options(std::move(options))
    , m_dependencies(dependencies)
    , m_cache(dependencies.encoding)
    , m_fetcher(dependencies.scheduler, dependencies.objectStore, dependencies.messenger, m_cache,
          [this] { applyKnown(); })
{
}

void ConfigurationStore::start()
{
    tick();
}

std::optional<Duration> ConfigurationStore::headAge() const
{
    const std::optional<MonotonicTime> asOf = m_knowledge.appliedAsOf();
    if (!asOf)
        return std::nullopt;
    return m_dependencies.scheduler.now() - *asOf;
}

bool ConfigurationStore::keyedRoutesOpen() const
{
    const std::optional<Duration> age = headAge();
    if (!age)
        return false;
    if (*age <= m_options.maximumHeadAge)
        return true;
    return !m_tableUp && !m_knowledge.isBehind()
        && m_peerRevisions.acceptanceRuledOut(
            revision(), *m_knowledge.appliedAsOf(), m_dependencies.scheduler.now());
}

void ConfigurationStore::submit(SubmitRequest request, ConfigurationSubmission::Callback callback)
{
    std::vector<ConfigurationProblem> problems = checkConfiguration(request.configuration);
    if (!problems.empty()) {
        SubmitResult result;
        result.status = SubmitResult::Status::Invalid;
        result.reason = problems.front().text();
        result.problems = std::move(problems);
        m_dependencies.scheduler.runAfter(Duration::zero(),
            m_lifetime.guard(
                [callback = std::move(callback), result = std::move(result)] { callback(result); }));
        return;
    }
    const std::string writeId = m_options.self.value() + ":" + std::to_string(m_options.incarnation.value())
        + ":" + std::to_string(++m_submissionCount);
    EncodedConfiguration encoded = m_dependencies.encoding.encode(request.configuration);
    SubmissionContext& context = *this;
    m_submissions.push_back(std::make_unique<ConfigurationSubmission>(m_dependencies.scheduler,
        m_dependencies.table, m_dependencies.objectStore, context, std::move(request), std::move(encoded),
        writeId, std::move(callback)));
    m_submissions.back()->start();
}

void ConfigurationStore::onHeartbeat(const HostId& peer, const Heartbeat& heartbeat)
{
    m_peerRevisions.heartbeat(peer, heartbeat.incarnation, heartbeat.revision);
    learnFromPeer(peer, heartbeat.revision, heartbeat.configurationHash);
}

void ConfigurationStore::onHeartbeatAck(
    const HostId& peer, const HeartbeatAck& ack, MonotonicTime heartbeatSent)
{
    m_peerRevisions.report(
        peer, ack.incarnation, ack.revision, ack.tableUp, heartbeatSent, m_dependencies.scheduler.now());
    learnFromPeer(peer, ack.revision, ack.configurationHash);
    if (ack.headAgeMs >= 0 && ack.headAgeMs < unknownHeadAgeMs)
        m_knowledge.recordHeadAsOf(ack.revision, heartbeatSent - std::chrono::milliseconds(ack.headAgeMs));
}

void ConfigurationStore::onGoodbye(const HostId& peer, const Goodbye& goodbye)
{
    m_peerRevisions.recordShutdown(peer, goodbye.incarnation);
}

void ConfigurationStore::onConfigFetch(const HostId& peer, const ConfigFetch& fetch)
{
    const std::string* content = m_cache.find(fetch.hash);
    m_dependencies.messenger.send(peer, ConfigData { fetch.hash, content == nullptr ? "" : *content });
}

void ConfigurationStore::onConfigData(const HostId& peer, const ConfigData& data)
{
    m_fetcher.onConfigData(peer, data);
}

void ConfigurationStore::learnHead(const std::optional<ConfigurationHead>& head, MonotonicTime readSent)
{
    if (head)
        follow(head->revision, head->hash);
    m_knowledge.recordHeadAsOf(head ? head->revision : Revision(0), readSent);
}

void ConfigurationStore::recordTableCall(std::optional<TableError> error, MonotonicTime sent)
{
    if (error == TableError::Throttled || (m_lastTableCallSent && sent < *m_lastTableCallSent))
        return;
    m_lastTableCallSent = sent;
    m_tableUp = !error || error == TableError::Conflict;
}

void ConfigurationStore::applySubmitted(const ConfigurationHead& head, const EncodedConfiguration& encoded)
{
    if (head.revision < m_knowledge.knownRevision() || head.revision <= revision())
        return;
    for (const auto& [hash, content] : encoded.objects)
        m_cache.add(hash, content);
    m_knowledge.recordRevision(head.revision, head.hash);
    m_fetcher.clearTarget();
    applyKnown();
}

std::set<ContentHash> ConfigurationStore::storedObjects() const
{
    // The submitter of the applied configuration stored its objects before it updated the head.
    return m_cache.reachable(hash());
}

std::vector<ConfigurationChange> ConfigurationStore::changesSince(Revision earlier) const
{
    std::vector<ConfigurationChange> result;
    for (const ChangeRecord& record : m_changes) {
        if (record.to > earlier)
            result.insert(result.end(), record.changes.begin(), record.changes.end());
    }
    return result;
}

bool ConfigurationStore::isConfirmed(Revision wanted) const
{
    return m_peerRevisions.acceptanceConfirmed(wanted, m_dependencies.scheduler.now());
}

void ConfigurationStore::tick()
{
    m_dependencies.scheduler.runAfter(m_options.pollInterval, m_lifetime.guard([this] { tick(); }));
    // Completed submissions are destroyed here because submit() may run inside a submission's callback.
    const auto isDone = [](const auto& submission) { return submission->isDone(); };
    m_submissions.erase(
        std::remove_if(m_submissions.begin(), m_submissions.end(), isDone), m_submissions.end());
    if (const auto peers = m_dependencies.peers.sessionPeers())
        m_peerRevisions.recordSessions(*peers, m_dependencies.scheduler.now());
    if (shouldRead())
        readHead();
}

bool ConfigurationStore::shouldRead() const
{
    if (m_openReads >= maximumOpenReads)
        return false;
    if (m_isPolling)
        return true;
    const std::optional<Duration> age = headAge();
    if (age && *age <= m_options.probeHeadAge)
        return false;
    return !m_lastReadSent || m_dependencies.scheduler.now() - *m_lastReadSent >= m_options.probeInterval;
}

void ConfigurationStore::readHead()
{
    const MonotonicTime sent = m_dependencies.scheduler.now();
    m_lastReadSent = sent;
    ++m_openReads;
    m_dependencies.table.read({ configurationHeadKey },
        m_lifetime.guard([this, sent](const std::vector<TableRow>& rows, std::optional<TableError> error) {
            --m_openReads;
            recordTableCall(error, sent);
            if (error)
                return;
            if (rows.empty())
                return learnHead(std::nullopt, sent);
            const std::optional<ConfigurationHead> head = ConfigurationHead::parse(rows.front().value);
            if (head)
                learnHead(head, sent);
            else
                LogEvent(LogLevel::Error, "configuration_head_malformed").with("row", rows.front().value);
        }));
}

void ConfigurationStore::learnFromPeer(const HostId& peer, Revision peerRevision, const ContentHash& peerHash)
{
    if (peerRevision <= Revision(0))
        return;
    follow(peerRevision, peerHash);
    if (m_knowledge.isBehind() && peerRevision == m_knowledge.knownRevision())
        m_fetcher.addSource(peer);
}

void ConfigurationStore::follow(Revision newRevision, const ContentHash& newHash)
{
    m_knowledge.recordRevision(newRevision, newHash);
    if (newRevision == m_knowledge.knownRevision() && newHash != m_knowledge.knownHash())
        LogEvent(LogLevel::Error, "configuration_revision_ambiguous").with("revision", newRevision);
    if (m_knowledge.isBehind() && m_knowledge.knownHash() != m_malformedHash)
        m_fetcher.setTarget(m_knowledge.knownHash());
}

void ConfigurationStore::applyKnown()
{
    const Revision newRevision = m_knowledge.knownRevision();
    const ContentHash newHash = m_knowledge.knownHash();
    if (!m_knowledge.isBehind())
        return;
    ConfigurationDelta delta;
    if (!replaceConfiguration(newHash, delta)) {
        m_malformedHash = newHash;
        LogEvent(LogLevel::Error, "configuration_malformed")
            .with("revision", newRevision)
            .with("hash", newHash);
        return;
    }
    m_changes.push_back({ revision(), newRevision, diffConfigurations(delta.before, delta.after) });
    if (m_changes.size() > maximumChangeRecords)
        m_changes.pop_front();
    m_previousHash = hash();
    m_configuration.revision = newRevision;
    m_knowledge.apply(newRevision, newHash);
    m_cache.retain({ newHash, m_previousHash });
    if (m_onApplied)
        m_onApplied(delta);
}

bool ConfigurationStore::replaceConfiguration(const ContentHash& newHash, ConfigurationDelta& delta)
{
    if (hash().empty()) {
        std::optional<Configuration> decoded = m_dependencies.encoding.decode(newHash, m_cache.objects());
        if (!decoded)
            return false;
        m_configuration = std::move(*decoded);
        delta.after = m_configuration;
        return true;
    }
    std::optional<ConfigurationDelta> updated
        = m_dependencies.encoding.update(m_configuration, hash(), newHash, m_cache.objects());
    if (!updated)
        return false;
    delta = std::move(*updated);
    return true;
}

template <typename Message> void ConfigurationStore::fillStatusFields(Message& message) const
{
    const std::optional<Duration> age = headAge();
    message.revision = revision();
    message.configurationHash = hash();
    message.headAgeMs = age ? std::min(roundUpToMilliseconds(*age), unknownHeadAgeMs) : unknownHeadAgeMs;
    message.tableUp = m_tableUp;
}

template void ConfigurationStore::fillStatusFields(Heartbeat&) const;
template void ConfigurationStore::fillStatusFields(HeartbeatAck&) const;

} // namespace lacewing
