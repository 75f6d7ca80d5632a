#pragma once

#include "gateway/row_decoder.h"
#include "gateway/store_feed.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace lacewing::gateway {

/// Tracks the upstreams of all services by the rows that they publish in the store.
///
/// Load pattern: the store is unreachable for a time, and upstreams can't renew their rows. A row that is
/// removed just after an outage may only have expired because of it, so the upstream is kept for a grace
/// period. An upstream that was draining, or whose row was removed outside that period, is dropped at once.
class UpstreamDirectory : private StoreFeedListener {
public:
    struct Handlers {
        /// An upstream was added, removed or restarted, or began or stopped draining.
        std::function<void()> onChange;
        /// A reader has read changed rows, which other hosts should get.
        std::function<void(const std::vector<StoredRow>& rows)> onRowsToRelay;
    };

    UpstreamDirectory(Scheduler& scheduler, RowStore& store, const RowDecoder& decoder, Handlers handlers);

    /// @param isReader whether this host polls the store at short intervals and relays changes to the others.
    void setReader(bool isReader);
    /// Applies rows that a reader has relayed.
    void peerOffered(const std::vector<StoredRow>& rows);

    void start() { m_feed.start(); }

    /// @return the upstreams of a service that may get new requests.
    std::vector<const UpstreamEntry*> usable(const ServiceId& service) const;
    /// @return the upstream if it may get new requests, or null.
    const UpstreamEntry* findUsable(const UpstreamId& id) const;
    /// @return the upstream, even if it is draining, or null if it is unknown.
    const UpstreamEntry* find(const UpstreamId& id) const;
    std::set<UpstreamId> ids() const;
    /// @return the upstreams and the starts of their processes.
    std::map<UpstreamId, int64_t> startTimes() const;

private:
    struct KnownUpstream {
        UpstreamEntry entry;
        RowVersion version;
        /// End of the grace period; set if the row was removed just after an outage of the store.
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
    /// Row versions at which entries were removed, so that an older row does not restore them.
    std::map<UpstreamId, RowVersion> m_removed;
    std::map<UpstreamId, KnownUpstream> m_known;
    /// Entries that are removed before this time are kept until then.
    MonotonicTime m_graceEnd;
    StoreFeed m_feed;
};

} // namespace lacewing::gateway
