#include "gateway/stream_versions.h"

namespace lacewing::gateway {

const char* toString(VersionSource source)
{
    switch (source) {
    case VersionSource::Host:
        return "host";
    case VersionSource::Record:
        return "record";
    case VersionSource::Base:
        return "base";
    case VersionSource::Unknown:
        return "unknown";
    case VersionSource::Unreadable:
        return "unreadable";
    }
    return "unknown";
}

StreamVersions::StreamVersions(
    const ServiceVersionTracker& tracker, StreamRecords& records, Handlers handlers)
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

void StreamVersions::find(const ServiceId& service, const std::optional<StreamName>& name,
    std::function<void(const StreamVersion& version)> callback) const
{
    const auto version = onlyVersion(service);
    if (!name || (version && !m_handlers.reachesStore())) {
        callback({ version ? VersionSource::Base : VersionSource::Unknown, version });
        return;
    }
    m_records.find(*name, [this, service, callback = std::move(callback)](const StreamLookup& lookup) {
        callback(read(service, lookup));
    });
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

StreamVersion StreamVersions::read(const ServiceId& service, const StreamLookup& lookup) const
{
    switch (lookup.source) {
    case StreamLookup::Source::Host:
    case StreamLookup::Source::Record:
        break;
    case StreamLookup::Source::NoRecord:
        if (const ServiceVersions* versions = m_tracker.find(service))
            return { VersionSource::Base, versions->base };
        // The host has just started.
        return { VersionSource::Unreadable };
    case StreamLookup::Source::Unreadable:
        if (const auto version = onlyVersion(service))
            return { VersionSource::Base, version };
        return { VersionSource::Unreadable };
    }
    // Another service's versions say nothing of this one's.
    if (!lookup.origin || lookup.origin->service != service)
        return {};
    const bool isOwn = lookup.source == StreamLookup::Source::Host;
    return { isOwn ? VersionSource::Host : VersionSource::Record, lookup.origin->version };
}

} // namespace lacewing::gateway
