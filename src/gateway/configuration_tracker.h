#pragma once

#include "base/periodic_timer.h"
#include "gateway/row_decoder.h"
#include "gateway/row_source.h"
#include "gateway/run_request.h"
#include "gateway/store_feed.h"
#include "region/evacuations.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lacewing::gateway {

/// Holds the newest configuration, the newest adapter releases and the evacuated data centres that this
/// process has received from the store or from a peer. Older ones are ignored.
///
/// Load pattern: the store comes back from a copy that lacks changes which have been confirmed. Within an era
/// of the store a row with a higher version is newer. Rows of different eras are ordered by what they say: by
/// the revision of the configuration, and by the version of the released adapter.
class ConfigurationTracker : private StoreFeedListener {
public:
    struct Handlers {
        std::function<void()> onConfiguration;
        std::function<void(const AdapterRelease& release)> onRelease;
        /// A data centre has been evacuated or restored.
        ///
        /// @param source of the change, for logs: "store", "peer" or "lifetime".
        std::function<void(const region::EvacuationChange& change, const char* source)> onEvacuation
            = [](const region::EvacuationChange&, const char*) {};
    };

    /// @param scheduler, store, decoder must outlive the tracker.
    ConfigurationTracker(Scheduler& scheduler, RowStore& store, const RowDecoder& decoder, Handlers handlers);

    void start();

    /// @return the current configuration, or null if none has been received.
    std::shared_ptr<const ServingConfiguration> current() const { return m_current; }
    /// @return whether the configuration was recently confirmed to be the newest, so that requests for
    ///     what it lacks may be rejected.
    bool isFresh() const;
    /// @return highest version of the configuration's row that has been received, whether or not the row was
    ///     newer than the current configuration; 0 if there is none.
    RowVersion rowVersion() const { return m_rowVersion; }
    /// @return version of the newest row or removed evacuation up to which this host has all rows; 0 if there
    ///     are none.
    RowVersion newestRowVersion() const { return m_newestRowVersion; }
    /// @return revision of the current configuration; 0 if there is none.
    Revision revision() const { return m_current ? m_current->revision() : Revision(); }
    /// @return the applied rows with a version above `version`, and those that the store has not shown again
    ///     since it came back from a copy; to be sent to a peer.
    std::vector<StoredRow> rowsAfter(RowVersion version) const;
    /// @return time since the configuration was last confirmed to be the newest, or nothing if it never was.
    std::optional<Duration> age() const;
    /// Records which configuration a peer has and when the peer last confirmed it to be the newest.
    ///
    /// @param version of the peer's row; a version above this host's own makes isFresh() false.
    /// @param revision of the peer's configuration, to the same effect; 0 if the peer does not state it.
    /// @param age time since the peer's confirmation.
    void recordPeerVersion(RowVersion version, Revision revision, Duration age);
    /// Applies those of a peer's rows that are newer than this host's.
    ///
    /// @param isReply whether the rows are all that the peer has above newestRowVersion(). Other rows leave
    ///     that version as it is, since rows below them may be missing.
    void peerOffered(const std::vector<StoredRow>& rows, bool isReply);

    /// @param isReader whether this host long-polls the store. The other hosts poll it rarely and receive
    ///     changes from readers.
    void setReader(bool isReader);
    bool isReader() const { return m_isReader; }

    const std::map<AdapterRef, int64_t>& releases() const { return m_releases; }
    const region::Evacuations& evacuations() const { return m_evacuations; }
    /// @return tombstones of the evacuations among a peer's rows that have been removed, to be sent to the
    /// peer.
    std::vector<StoredRow> tombstonesFor(const std::vector<StoredRow>& rows) const;
    /// @return rows of evacuations that a peer may know to be removed, to be sent to it after it has sent
    ///     `rows`. None if this host has just read the store itself.
    std::vector<StoredRow> evacuationsToConfirm(const std::vector<StoredRow>& rows) const;

private:
    void tableRead(const std::vector<StoredRow>& rows) override;
    void rowsChanged(const std::vector<StoredRow>& rows) override;
    void apply(const std::vector<StoredRow>& rows, RowSource source);
    void applyEvacuation(const DataCentreId& dataCentre, const StoredRow& row, RowSource source);
    void reportEvacuations(const region::Evacuations::Changes& changes, const char* source);
    /// Reports evacuations that a read of the table has ended.
    void reportEnded(const region::Evacuations::Changes& ended, const char* source);
    /// Ends evacuations that the store, which has come back from a copy, has lacked for long.
    void checkMissingEvacuations();
    void applyConfiguration(const StoredRow& row, RowSource source);
    void applyRelease(const StoredRow& row, const AdapterRelease& release, RowSource source);
    /// @param isNewest whether the row has the newest content of its key, so that peers get it.
    void recordRow(const StoredRow& row, bool isNewest, RowSource source);
    void noteVersion(RowVersion version, RowSource source);

    Scheduler& m_scheduler;
    const RowDecoder& m_decoder;
    Handlers m_handlers;
    std::shared_ptr<const ServingConfiguration> m_current;
    RowVersion m_rowVersion;
    RowVersion m_newestRowVersion;
    /// The row of each key with the newest content, at the highest version with this content.
    std::map<std::string, StoredRow> m_rows;
    std::map<AdapterRef, int64_t> m_releases;
    region::Evacuations m_evacuations;
    PeriodicTimer m_evacuationTimer;
    bool m_isReader = true;
    /// Highest version and revision of the configuration that any peer has reported.
    RowVersion m_peerVersion;
    Revision m_peerRevision;
    /// Time of the latest confirmation by a peer that the current row is the newest.
    std::optional<MonotonicTime> m_peerConfirmation;
    StoreFeed m_feed;
};

} // namespace lacewing::gateway
