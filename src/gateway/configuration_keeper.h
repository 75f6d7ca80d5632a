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
class ConfigurationKeeper : private StoreFeedListener {
public:
    struct Handlers {
        std::function<void()> onConfiguration;
        std::function<void(const AdapterRelease& release)> onRelease;
    };

    /// @param scheduler, store, decoder must outlive the keeper.
    ConfigurationKeeper(Scheduler& scheduler, RowStore& store, const RowDecoder& decoder, Handlers handlers);

    void start() { m_feed.start(); }

    /// @return the configuration in force, or null before the first is known.
    std::shared_ptr<const ServingConfiguration> current() const { return m_current; }
    /// @return whether the configuration was the newest a moment ago, so that what it does not have can be
    /// denied.
    bool isFresh() const;
    /// @return version of the row in force; 0 before the first is known.
    RowVersion rowVersion() const { return m_rowVersion; }
    /// @return the row's value, for peers.
    const std::string& rowValue() const { return m_rowValue; }
    /// @return time since the configuration was last known to be the newest, or nothing before that.
    std::optional<Duration> age() const;
    /// A peer has the same row and knew it to be the newest some time ago.
    void peerConfirmed(RowVersion version, Duration age);
    /// Takes over a row from a peer if it is newer.
    void peerOffered(RowVersion version, const std::string& value);

    /// @param peers hosts whose heartbeats tell of changes.
    void setPeersInTouch(int64_t peers) { m_peersInTouch = peers; }

    const std::map<AdapterRef, int64_t>& releases() const { return m_releases; }

private:
    void tableRead(const std::vector<StoredRow>& rows) override { rowsChanged(rows); }
    void rowsChanged(const std::vector<StoredRow>& rows) override;
    Duration feedWait() const;
    void applyConfiguration(RowVersion version, const std::string& value, const char* source);

    Scheduler& m_scheduler;
    const RowDecoder& m_decoder;
    Handlers m_handlers;
    std::shared_ptr<const ServingConfiguration> m_current;
    RowVersion m_rowVersion;
    std::string m_rowValue;
    std::map<AdapterRef, int64_t> m_releases;
    int64_t m_peersInTouch = 0;
    /// When a peer's confirmation of the row in force dates from.
    std::optional<MonotonicTime> m_confirmed;
    StoreFeed m_feed;
};

} // namespace lacewing::gateway
