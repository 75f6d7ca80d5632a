#pragma once

#include "gateway/row_decoder.h"
#include "gateway/run_request.h"
#include "gateway/store_feed.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lacewing::gateway {

/// Holds the newest configuration that this process has seen, from the store or from a peer, and the releases
/// of adapters. It never goes back to an older one.
class ConfigurationTracker : private StoreFeedListener {
public:
    struct Handlers {
        std::function<void()> onConfiguration;
        std::function<void(const AdapterRelease& release)> onRelease;
    };

    /// @param scheduler, store, decoder must outlive the tracker.
    ConfigurationTracker(Scheduler& scheduler, RowStore& store, const RowDecoder& decoder, Handlers handlers);

    void start() { m_feed.start(); }

    /// @return the configuration in force, or null before the first is known.
    std::shared_ptr<const ServingConfiguration> current() const { return m_current; }
    /// @return whether the configuration was the newest a moment ago, so that what it does not have can be
    /// denied.
    bool isFresh() const;
    /// @return version of the row in force; 0 before the first is known.
    RowVersion rowVersion() const { return m_rowVersion; }
    /// @return version of the newest row that was applied, be it the configuration or a release; 0 without
    /// one.
    RowVersion newestRowVersion() const { return m_newestRow; }
    /// @return the applied rows of a higher version, for peers.
    std::vector<StoredRow> rowsAfter(RowVersion version) const;
    /// @return time since the configuration was last known to be the newest, or nothing before that.
    std::optional<Duration> age() const;
    /// A peer knew its row to be the newest some time ago.
    ///
    /// @param version of the peer's row; one that is newer than this host's shows that its own is not.
    void recordPeerVersion(RowVersion version, Duration age);
    /// Takes over from a peer what is newer.
    void peerOffered(const std::vector<StoredRow>& rows);

    /// @param isReader whether this host follows the store closely; the others hear of changes from readers.
    void setReader(bool isReader);
    bool isReader() const { return m_isReader; }

    const std::map<AdapterRef, int64_t>& releases() const { return m_releases; }

private:
    void tableRead(const std::vector<StoredRow>& rows) override { rowsChanged(rows); }
    void rowsChanged(const std::vector<StoredRow>& rows) override;
    void apply(const std::vector<StoredRow>& rows, const char* source);
    void applyConfiguration(const StoredRow& row, const char* source);
    void applyRelease(const StoredRow& row, const AdapterRelease& release, const char* source);
    void recordRow(const StoredRow& row);

    Scheduler& m_scheduler;
    const RowDecoder& m_decoder;
    Handlers m_handlers;
    std::shared_ptr<const ServingConfiguration> m_current;
    RowVersion m_rowVersion;
    RowVersion m_newestRow;
    /// The newest row of each key that was applied.
    std::map<std::string, StoredRow> m_rows;
    std::map<AdapterRef, int64_t> m_releases;
    bool m_isReader = true;
    /// Newest version of the configuration that a peer has told of.
    RowVersion m_peerVersion;
    /// When a peer's confirmation of the row in force dates from.
    std::optional<MonotonicTime> m_peerConfirmation;
    StoreFeed m_feed;
};

} // namespace lacewing::gateway
