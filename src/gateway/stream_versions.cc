#include "gateway/stream_versions.h"

namespace lacewing::gateway {

const char* toString(VersionSource source)
{
    switch (source) {
    case VersionSource::Host:
        return "host";
    case VersionSource::Record:
        return "record";
    case VersionSource::Peer:
        return "peer";
    case VersionSource::Base:
        return "base";
    case VersionSource::Unknown:
        return "unknown";
    case VersionSource::Unreadable:
        return "unreadable";
    }
    return "unknown";
}

StreamVersions::StreamVersions(ServiceVersionTracker& tracker, StreamRecords& records, Handlers handlers)
    : m_tracker(tracker)
    , m_records(records)
    , m_handlers(std::move(handlers))
{
}

VersionFilter StreamVersions::forNewStreams(const ServiceId& service) const
{
    const ServiceVersions* versions = m_tracker.find(service);
    // Without a base every stream gets a record.
    if (!versions)
        return m_handlers.reachesStore() ? VersionFilter() : VersionFilter(std::set<SoftwareVersion>());
    std::set<SoftwareVersion> accepted { versions->base };
    if (m_handlers.reachesStore() || hasLostBaseAndStore(service))
        accepted.insert(versions->others.begin(), versions->others.end());
    return VersionFilter(std::move(accepted));
}

bool StreamVersions::hasLostBaseAndStore(const ServiceId& service) const
{
    const ServiceVersions* versions = m_tracker.find(service);
    return versions && !m_handlers.reachesStore()
        && m_handlers.versionsInUse(service).count(versions->base) == 0;
}

bool StreamVersions::needsRecord(const ServiceId& service, const SoftwareVersion& version) const
{
    const ServiceVersions* versions = m_tracker.find(service);
    return !versions || (!versions->beginsUnrecorded(version) && !hasLostBaseAndStore(service));
}

void StreamVersions::record(
    const StreamName& name, const StreamOrigin& origin, std::function<void()> recorded)
{
    m_records.save(name, origin, std::move(recorded));
}

void StreamVersions::began(const StreamName& name, const StreamOrigin& origin)
{
    m_records.remember(name, origin);
}

void StreamVersions::find(
    const ServiceId& service, const std::optional<StreamName>& name, FindCallback callback)
{
    const StreamOrigin* remembered = name ? m_records.findRemembered(*name) : nullptr;
    if (remembered) {
        callback(read(service, *remembered, VersionSource::Host));
        return;
    }
    if (!name && !onlyVersion(service)) {
        callback({});
        return;
    }
    if (!m_handlers.reachesStore()) {
        findWithoutStore(service, name, callback);
        return;
    }
    if (!name) {
        findWithoutRecord(service, name, std::move(callback));
        return;
    }
    m_records.find(*name, [this, service, name, callback = std::move(callback)](const StreamLookup& lookup) {
        if (lookup.origin)
            callback(read(service, *lookup.origin, VersionSource::Record));
        else if (lookup.source == StreamLookup::Source::NoRecord)
            findWithoutRecord(service, name, callback);
        else
            findWithoutStore(service, name, callback);
    });
}

void StreamVersions::findWithoutRecord(
    const ServiceId& service, const std::optional<StreamName>& name, FindCallback callback)
{
    // This host may have been out of step for long, in which another version may have become the base.
    m_tracker.reread(service, [this, service, name, callback = std::move(callback)](bool isRead) {
        if (isRead)
            callback(name ? baseVersion(service) : withoutName(service));
        else
            findWithoutStore(service, name, callback);
    });
}

StreamVersion StreamVersions::baseVersion(const ServiceId& service) const
{
    const ServiceVersions* versions = m_tracker.find(service);
    // Without versions the host has just started.
    return versions ? StreamVersion { VersionSource::Base, versions->base }
                    : StreamVersion { VersionSource::Unreadable };
}

StreamVersion StreamVersions::withoutName(const ServiceId& service) const
{
    const auto version = onlyVersion(service);
    return version ? StreamVersion { VersionSource::Base, version } : StreamVersion();
}

void StreamVersions::findWithoutStore(
    const ServiceId& service, const std::optional<StreamName>& name, const FindCallback& callback) const
{
    m_handlers.inquire(service, name, [callback](const std::optional<stream_inquiry::StreamBegin>& begin) {
        if (!begin)
            callback({ VersionSource::Unreadable });
        else
            callback({ begin->isRemembered ? VersionSource::Peer : VersionSource::Base, begin->version });
    });
}

stream_inquiry::StreamKnowledge StreamVersions::knowledge(
    const ServiceId& service, const std::optional<StreamName>& name) const
{
    stream_inquiry::StreamKnowledge knowledge;
    knowledge.onlyVersion = onlyVersion(service);
    const StreamOrigin* origin = name ? m_records.findRemembered(*name) : nullptr;
    if (origin && origin->service == service)
        knowledge.begunBy = origin->version;
    return knowledge;
}

std::optional<SoftwareVersion> StreamVersions::onlyVersion(const ServiceId& service) const
{
    const ServiceVersions* versions = m_tracker.find(service);
    if (!versions || !versions->others.empty())
        return std::nullopt;
    // Another version may have come that this host has only seen the upstreams of.
    for (const SoftwareVersion& version : m_handlers.versionsInUse(service)) {
        if (version != versions->base)
            return std::nullopt;
    }
    return versions->base;
}

StreamVersion StreamVersions::read(const ServiceId& service, const StreamOrigin& origin, VersionSource source)
{
    // Another service's versions say nothing of this one's.
    if (origin.service != service)
        return {};
    return { source, origin.version };
}

} // namespace lacewing::gateway
