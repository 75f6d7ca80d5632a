#pragma once

#include "gateway/row_decoder.h"
#include "gateway/row_source.h"
#include "gateway/store_feed.h"
#include "gateway/upstream_availability.h"
#include "gateway/upstream_filter.h"
#include "reach/reach_monitor.h"
#include "region/region_map.h"
#include "table_sync/change_log.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace lacewing::gateway {

/// Tracks the upstreams of all services by the rows that they publish in the store, and decides which of them
/// may get requests, from the rows and from what they say of themselves beside them.
///
/// Load pattern: the store is unreachable for a time, and upstreams can't renew their rows. A row that is
/// removed just after an outage may only have expired because of it, so the upstream is kept for a grace
/// period. An upstream that was draining, or whose row was removed outside that period, is dropped at once.
///
/// The store may also come back from a copy. Until upstreams have written their rows again, it lacks rows of
/// processes that have started since, shows earlier processes, and shows upstreams in use that have begun to
/// drain or have gone. What is known of a process from before holds against the rows of the copy.
class UpstreamDirectory : private StoreFeedListener {
public:
    struct Handlers {
        /// An upstream was added, removed or restarted, began or stopped draining, or became cold.
        std::function<void()> onChange;
        /// A reader has read changes, which other hosts should get.
        std::function<void(const table_sync::ChangeSet& changes)> onChangesToRelay;
        /// @return whether a data centre's upstreams must get no requests for the time being.
        std::function<bool(const DataCentreId& dataCentre)> isEvacuated
            = [](const DataCentreId&) { return false; };
    };

    /// @param regions of the data centres; home regions have no effect without any.
    /// @param seed see UpstreamAvailability.
    UpstreamDirectory(Scheduler& scheduler, RowStore& store, const RowDecoder& decoder, Handlers handlers,
        region::RegionMap regions = region::RegionMap(), uint64_t seed = 1);

    /// @param isReader whether this host polls the store at short intervals and relays changes to the others.
    void setReader(bool isReader);
    bool isReader() const { return m_isReader; }
    /// Applies changes that a peer has sent.
    ///
    /// @return false if changes before them may be missing.
    bool peerOffered(const table_sync::ChangeSet& changes);
    /// Uses a peer's statement that the table has no changes within a span.
    ///
    /// @return false if changes before the span may be missing.
    bool confirmUnchanged(const table_sync::ChangeSpan& span);
    /// @return version up to which this host knows all changes; 0 if it knows nothing of the table.
    RowVersion knownUpTo();
    /// @return the versions between which the table has no changes, to be told to peers; nothing unless this
    ///     host is a reader, and has read the table for long enough that its peers know what it read first.
    std::optional<table_sync::ChangeSpan> quietSpan();
    /// @return what a peer lacks that knows all changes up to a version.
    table_sync::ChangeSet changesAfter(RowVersion version);

    void start() { m_feed.start(); }

    /// @param filter of the upstreams that the request may be sent to.
    /// @return the upstreams of a service that may get new requests, now or after a rest.
    std::vector<const UpstreamEntry*> usable(
        const ServiceId& service, const UpstreamFilter& filter = UpstreamFilter()) const;
    /// @return the upstreams of a service that are not leaving, those in evacuated data centres included.
    std::vector<const UpstreamEntry*> inService(
        const ServiceId& service, const UpstreamFilter& filter = UpstreamFilter()) const;
    bool isEvacuated(const UpstreamEntry& entry) const { return m_handlers.isEvacuated(entry.dataCentre); }
    /// @return the upstream if it may get new requests, now or after a rest, or null.
    const UpstreamEntry* findUsable(
        const UpstreamId& id, const UpstreamFilter& filter = UpstreamFilter()) const;
    /// @return the upstream at an address if it may get new requests, now or after a rest, or null.
    const UpstreamEntry* findUsableAt(const SocketAddress& address) const;
    /// @return the upstreams that may get new requests, as targets of tries to reach them.
    std::vector<reach::ProbeTarget> probeTargets() const;
    /// @return time until an upstream that is usable may get a request from this host; zero without a rest.
    Duration restLeft(const UpstreamEntry& entry) const;
    /// @return the shortest time until a resting upstream of a service may get a request; nothing if none
    /// rests.
    std::optional<Duration> shortestRest(
        const ServiceId& service, const UpstreamFilter& filter = UpstreamFilter()) const;
    /// @return whether a service has upstreams, all of which are leaving.
    bool areAllLeaving(const ServiceId& service) const;
    /// @return the upstream, even if it is leaving, or null if it is unknown.
    const UpstreamEntry* find(const UpstreamId& id) const;
    std::set<UpstreamId> ids() const;
    /// @return the number of upstreams in a data centre, those that are leaving included.
    size_t countIn(const DataCentreId& dataCentre) const;
    /// @return the number of upstreams of each service and software version, those that are leaving included.
    std::map<ServiceId, std::map<SoftwareVersion, size_t>> softwareVersions() const;
    /// @return the software versions of a service's upstreams, those that are leaving included.
    std::set<SoftwareVersion> softwareVersions(const ServiceId& service) const;
    /// @return whether the store has answered this host.
    bool hasReadTable() const { return m_feed.age().has_value(); }
    /// @return the upstreams and the starts of their processes.
    std::map<UpstreamId, int64_t> startTimes() const;
    /// @return what upstreams have said of themselves beside their rows.
    UpstreamAvailability& availability() { return m_availability; }
    const UpstreamAvailability& availability() const { return m_availability; }

private:
    struct KnownUpstream {
        UpstreamEntry entry;
        RowVersion version;
        /// End of the grace period; set if the row was removed just after an outage of the store.
        std::optional<MonotonicTime> graceUntil;
        /// Until then the upstream counts as gone: its row was removed, and a copy of the store shows it
        /// again.
        std::optional<MonotonicTime> goneUntil;
    };

    struct Removal {
        RowVersion version;
        /// Start of the process whose row was removed, if it was known.
        std::optional<int64_t> startedAt;
    };

    void storeRestored(RowVersion copy) override;
    void tableRead(const std::vector<StoredRow>& rows) override;
    void rowsChanged(const std::vector<StoredRow>& rows) override;
    void feedResumed(Duration outage) override;

    /// @return whether the set of upstreams has changed.
    bool apply(const StoredRow& row, RowSource source);
    /// @param readVersion version of the table that the rows came with.
    /// @return the rows that have changed the set of upstreams.
    std::vector<StoredRow> applyAll(
        const std::vector<StoredRow>& rows, RowVersion readVersion, RowSource source);
    /// Applies a read of the whole table, from which the rows of upstreams that have gone are missing.
    ///
    /// @return the rows and tombstones that have changed the set of upstreams.
    std::vector<StoredRow> applyTable(
        const std::vector<StoredRow>& rows, RowVersion readVersion, RowSource source);
    /// Drops the upstreams that have not renewed their rows within the grace period after an outage.
    ///
    /// @return their tombstones.
    std::vector<StoredRow> removeExpired(RowVersion readVersion);
    StoredRow tombstone(const UpstreamId& id, RowVersion version) const;
    /// Ends the handling of a response of the store.
    ///
    /// @param lastChange version of the newest change before the response.
    void completeRead(const std::vector<StoredRow>& changed, RowVersion lastChange);
    /// Adds to the change log that the store has shown no changes since its last response with rows.
    void noteFeedVersion();
    bool isOld(const StoredRow& row) const;
    /// @return whether a row may be from a copy of the store, and so older than what is known from before.
    bool mayBeCopied(const StoredRow& row) const;
    /// @return whether the state that is known of the upstream's process is newer than an entry of the copy.
    static bool isKnownBetter(const UpstreamEntry& known, const UpstreamEntry& copied);
    /// @return whether the row of the entry's process was removed in an earlier era.
    bool wasRemoved(const StoredRow& row, const UpstreamEntry& entry) const;
    bool handleRemoval(const UpstreamId& id, RowSource source);
    bool isPresent(const KnownUpstream& known) const;
    bool accepts(const UpstreamFilter& filter, const UpstreamEntry& entry) const;
    /// @return whether the upstream's row or the upstream itself says that it is leaving.
    bool isLeaving(const UpstreamEntry& entry) const;

    Scheduler& m_scheduler;
    const RowDecoder& m_decoder;
    Handlers m_handlers;
    region::RegionMap m_regions;
    bool m_isReader = true;
    /// Rows that were removed, so that an older one does not restore them.
    std::map<UpstreamId, Removal> m_removed;
    std::map<UpstreamId, KnownUpstream> m_known;
    UpstreamAvailability m_availability;
    /// Entries that are removed before this time are kept until then.
    MonotonicTime m_graceEnd;
    /// Bound of the versions in the store's latest copy; 0 if there was none.
    RowVersion m_copy;
    /// Time of the first read of the table.
    std::optional<MonotonicTime> m_firstRead;
    table_sync::ChangeLog m_changes;
    StoreFeed m_feed;
};

} // namespace lacewing::gateway
