#pragma once

#include "gateway/service_version_tracker.h"
#include "gateway/stream_records.h"
#include "gateway/version_filter.h"
#include "stream_inquiry/stream_inquiry.h"

#include <functional>
#include <optional>
#include <set>

namespace lacewing::gateway {

/// Where it was learnt which version has begun a stream.
enum class VersionSource {
    /// This host has passed on the stream's first event.
    Host,
    /// The stream's record in the store.
    Record,
    /// A peer has passed on the stream's first event.
    Peer,
    /// The stream has no record, so the base version has begun it.
    Base,
    /// Nothing tells which version has begun the stream.
    Unknown,
    /// Neither the store, which could tell, nor the peers answer as needed.
    Unreadable,
};

/// @return the source's name in snake_case, for logs and metrics.
const char* toString(VersionSource source);

/// The version that has begun a stream, as far as it is known.
struct StreamVersion {
    VersionSource source = VersionSource::Unknown;
    /// Nothing if the source is Unknown or Unreadable.
    std::optional<SoftwareVersion> version = std::nullopt;
};

/// Decides which software versions may begin a stream, and finds out which one has begun it.
///
/// Streams of a service's base version have no record, those of its other versions have one before their
/// first event is passed on. So a stream without a record was begun by the base version, whichever hosts have
/// lost their memory. See ServiceVersions for how the base changes.
///
/// Load pattern: callers take up many streams at once after all hosts have been killed, while half of the
/// upstreams are replaced by another version.
class StreamVersions {
public:
    struct Handlers {
        /// @return whether the store takes records now.
        std::function<bool()> reachesStore;
        /// @return the versions of a service's upstreams, those that are leaving included.
        std::function<std::set<SoftwareVersion>(const ServiceId& service)> versionsInUse;
        /// Asks the other hosts which version has begun a stream.
        std::function<void(const ServiceId& service, const std::optional<StreamName>& name,
            std::function<void(const std::optional<stream_inquiry::StreamBegin>& begin)> callback)>
            inquire;
    };

    /// @param tracker, records must outlive this object.
    StreamVersions(ServiceVersionTracker& tracker, StreamRecords& records, Handlers handlers);

    /// @return the versions that may begin a stream that can be taken up again.
    VersionFilter forNewStreams(const ServiceId& service) const;
    /// @return whether the first event of a stream of the version must wait for the stream's record.
    bool needsRecord(const ServiceId& service, const SoftwareVersion& version) const;
    /// @param recorded called once the store has the record.
    void record(const StreamName& name, const StreamOrigin& origin, std::function<void()> recorded);
    /// The first event of a stream is passed on.
    void began(const StreamName& name, const StreamOrigin& origin);
    /// Finds out which version has begun a stream.
    ///
    /// @param name nothing if the caller names none.
    /// @param callback called in this call or later.
    void find(const ServiceId& service, const std::optional<StreamName>& name,
        std::function<void(const StreamVersion& version)> callback);
    /// @param name nothing if the caller names no stream.
    /// @return what this host knows of a stream without asking the store.
    stream_inquiry::StreamKnowledge knowledge(
        const ServiceId& service, const std::optional<StreamName>& name) const;

private:
    using FindCallback = std::function<void(const StreamVersion& version)>;

    /// @return the version that has begun all streams of the service that may still be taken up, if there is
    /// one.
    std::optional<SoftwareVersion> onlyVersion(const ServiceId& service) const;
    /// @return whether the store is away after all upstreams of the base version have gone. Streams of other
    /// versions begin without a record then: who takes one for a stream of the base finds no upstream for it.
    bool hasLostBaseAndStore(const ServiceId& service) const;
    /// Asks the store for the versions of the service, and decides without a record of the stream.
    void findWithoutRecord(
        const ServiceId& service, const std::optional<StreamName>& name, FindCallback callback);
    /// @return the version of a stream that has no record.
    StreamVersion baseVersion(const ServiceId& service) const;
    /// @return the version of a stream that its caller doesn't name.
    StreamVersion withoutName(const ServiceId& service) const;
    /// Asks the peers, since the store can't tell.
    void findWithoutStore(
        const ServiceId& service, const std::optional<StreamName>& name, const FindCallback& callback) const;
    /// @param origin what has begun the stream.
    static StreamVersion read(const ServiceId& service, const StreamOrigin& origin, VersionSource source);

    ServiceVersionTracker& m_tracker;
    StreamRecords& m_records;
    Handlers m_handlers;
};

} // namespace lacewing::gateway
