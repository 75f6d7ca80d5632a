#pragma once

#include "gateway/row_decoder.h"
#include "gateway/store_feed.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace lacewing::gateway {

/// Knows the upstreams of all services from their own entries in the store.
///
/// An entry that vanishes while the store is away, or just after, may only have lapsed for want of a store,
/// so it is kept for a short time; one that left before, or said that it leaves, is not used any more.
class UpstreamDirectory : private StoreFeedListener {
public:
    struct Handlers {
        /// An upstream came, left or started anew.
        std::function<void()> onChange;
        /// Rows from the store that other hosts should know of.
        std::function<void(const std::vector<StoredRow>& rows)> onRowsToRelay;
    };

    UpstreamDirectory(Scheduler& scheduler, RowStore& store, const RowDecoder& decoder, Handlers handlers);

    /// @param isReader whether this host follows the store closely and tells the others.
    void setReader(bool isReader);
    /// Takes over rows from a reader.
    void peerOffered(const std::vector<StoredRow>& rows);

    void start() { m_feed.start(); }

    /// @return the upstreams of a service that may get new work.
    std::vector<const UpstreamEntry*> usable(const ServiceId& service) const;
    /// @return an upstream that may get new work, or null.
    const UpstreamEntry* findUsable(const UpstreamId& id) const;
    /// @return an upstream that has not gone, also if it is leaving, or null.
    const UpstreamEntry* find(const UpstreamId& id) const;
    std::set<UpstreamId> ids() const;

private:
    struct KnownUpstream {
        UpstreamEntry entry;
        RowVersion version;
        /// Set while an entry that vanished is kept.
        std::optional<MonotonicTime> graceUntil;
    };

    void tableRead(const std::vector<StoredRow>& rows) override;
    void rowsChanged(const std::vector<StoredRow>& rows) override;
    void feedResumed(Duration outage) override;

    /// @return whether the set of upstreams has changed.
    bool apply(const StoredRow& row);
    bool handleRemoval(const UpstreamId& id);
    bool isPresent(const KnownUpstream& known) const;

    Scheduler& m_scheduler;
    const RowDecoder& m_decoder;
    Handlers m_handlers;
    bool m_isReader = true;
    /// Versions at which entries were removed, so that an older row does not bring them back.
    std::map<UpstreamId, RowVersion> m_removed;
    std::map<UpstreamId, KnownUpstream> m_known;
    /// Vanished entries are kept until this time.
    MonotonicTime m_graceEnd;
    StoreFeed m_feed;
};

} // namespace lacewing::gateway
