#include "gateway/stream_binding.h"

#include "base/log.h"

#include <utility>

namespace lacewing::gateway {

StreamBinding::StreamBinding(StreamVersions& versions, MetricsRegistry& metrics,
    const CallAttributes& attributes, const CallAdmission& admission)
    : m_versions(versions)
    , m_metrics(metrics)
    , m_attributes(attributes)
    , m_admission(admission)
{
}

bool StreamBinding::isStream() const
{
    return m_admission.route->kind == RouteKind::Stream;
}

bool StreamBinding::canBeTakenUp() const
{
    return isStream() && m_admission.route->isResumable && !m_attributes.requestId.empty();
}

StreamName StreamBinding::nameOf(const std::string& requestId) const
{
    return { m_admission.workspace ? m_admission.workspace->id : WorkspaceId(), requestId };
}

StreamName StreamBinding::ownName() const
{
    return nameOf(m_attributes.requestId);
}

void StreamBinding::resolve(std::function<void(VersionSource source)> done)
{
    if (!isStream() || !takesUp()) {
        done(VersionSource::Base);
        return;
    }
    const auto name = m_attributes.resumedRequestId.empty()
        ? std::nullopt
        : std::make_optional(nameOf(m_attributes.resumedRequestId));
    m_versions.find(m_admission.serviceId, name,
        m_lifetime.guard([this, done = std::move(done)](const StreamVersion& version) {
            resolved(version);
            done(version.source);
        }));
}

void StreamBinding::resolved(const StreamVersion& version)
{
    m_bound = version.version;
    ++m_metrics.counter("lacewing_streams_taken_up_total", { { "source", toString(version.source) } });
    LogEvent(version.version ? LogLevel::Info : LogLevel::Warning, "stream_taken_up")
        .with("request", m_attributes.requestId)
        .with("stream", m_attributes.resumedRequestId)
        .with("service", m_admission.serviceId)
        .with("software_version", version.version.value_or(SoftwareVersion()))
        .with("source", toString(version.source))
        .with("last_event", *m_attributes.lastEventId);
}

UpstreamFilter StreamBinding::filter() const
{
    return { versions(), m_admission.homes() };
}

VersionFilter StreamBinding::versions() const
{
    if (m_bound)
        return VersionFilter({ *m_bound });
    const bool isResumable = isStream() && m_admission.route->isResumable;
    return isResumable ? m_versions.forNewStreams(m_admission.serviceId) : VersionFilter();
}

void StreamBinding::eventsArrived(std::function<void()> recorded)
{
    if (!isStream() || std::exchange(m_hasBegun, true))
        return;
    m_bound = m_runVersion;
    if (!canBeTakenUp() || takesUp())
        return;
    const StreamOrigin origin { m_admission.serviceId, m_runVersion };
    if (!m_versions.needsRecord(m_admission.serviceId, m_runVersion)) {
        m_versions.began(ownName(), origin);
        return;
    }
    m_isRecordPending = true;
    m_versions.record(ownName(), origin, m_lifetime.guard([this, recorded = std::move(recorded)] {
        m_isRecordPending = false;
        recorded();
    }));
}

void StreamBinding::recordResumption(const UpstreamId& upstream) const
{
    ++m_metrics.counter("lacewing_streams_resumed_total");
    LogEvent(LogLevel::Info, "stream_resumed")
        .with("request", m_attributes.requestId)
        .with("upstream", upstream)
        .with("software_version", m_bound.value_or(SoftwareVersion()));
}

} // namespace lacewing::gateway
