#pragma once

#include "base/lifetime.h"
#include "base/periodic_timer.h"
#include "gateway/fleet_registry.h"
#include "gateway/store_feed.h"

#include <functional>
#include <set>

namespace lacewing::gateway {

/// How the fleet ensures that only one host at a time sends orders to an engine.
enum class OwnershipRule {
    /// Engines reject orders with an old fencing number, so an owner may continue while the store is
    /// unavailable.
    EnginesCheckFencing,
    /// Engines accept orders from any host, so an owner stops sending orders when its lease expires. It must
    /// then claim its engines again, even if their rows still name it.
    LeaseOnly,
};

/// Renews this host's row in the fleet's table, claims engines that have no live owner, and watches the rows
/// of the other hosts.
///
/// The store may come back from a copy that lacks what hosts have written since. Each host then writes its
/// own row, the rows of the engines that it owned, and the link secret again. Until it has, it stays the
/// owner: rows of the copy neither take an engine from it nor give one to the host that they name.
///
/// Load pattern: all hosts of a large fleet may start at once, and later renew and read the same table. The
/// intervals grow with the number of hosts once the fleet is stable, so that the load on the store stays
/// bounded.
class FleetAgent : private StoreFeedListener {
public:
    struct Handlers {
        /// Called when the hosts, the link secret or the owners have changed.
        std::function<void()> onFleetChanged;
        /// Called when this host has become the owner of an engine.
        std::function<void(const UpstreamId& engine, FencingNumber fencingNumber)> onClaimed;
        /// Called when another host owns the engine, or it is unknown whether this one still does.
        std::function<void(const UpstreamId& engine)> onLost;
        /// @return the engines in use.
        std::function<std::set<UpstreamId>()> engines;
        /// @return hosts that must not be assigned further engines, because they are stopping or can't reach
        ///     the store.
        std::function<std::set<HostId>()> ineligibleHosts;
        /// @return owners that report their ownership in heartbeats and may send orders.
        std::function<ReportedOwners()> reportedOwners;
        /// Called when this host has claimed an engine again that it owned without interruption.
        std::function<void(const UpstreamId& engine, FencingNumber fencingNumber)> onRenumbered
            = [](const UpstreamId&, FencingNumber) {};
        /// Called when the store has come back from a copy.
        std::function<void()> onStoreRestored = [] {};
        /// Called when rows that the copy lacked have been written again.
        ///
        /// @param kind of the rows: "host", "owner" or "secret".
        std::function<void(const char* kind, size_t count)> onRowsWrittenAgain = [](const char*, size_t) {};
        /// Called with the rows of the table that have been read, of which the agent uses its own kinds.
        ///
        /// @param isWholeTable whether they are all rows of the table, and not changes only.
        std::function<void(const std::vector<StoredRow>& rows, bool isWholeTable)> onRows
            = [](const std::vector<StoredRow>&, bool) {};
        /// @return hosts that have given up their engines, whatever the engines' rows say.
        std::function<std::set<HostId>()> hostsWithoutEngines = [] { return std::set<HostId>(); };
    };

    FleetAgent(Scheduler& scheduler, RowStore& store, HostRecord self, Duration leaseTime, OwnershipRule rule,
        Handlers handlers);

    void start();
    void setLeaseTime(Duration leaseTime);
    /// Sets the hosts that are in touch, that is, whose heartbeats arrive.
    void setInTouch(const std::set<HostId>& hosts);
    const HostId& self() const { return m_self.host; }
    const FleetRegistry& registry() const { return m_registry; }
    /// @return era of the store when its table was last read; 0 if the store does not state it.
    StoreEra storeEra() const { return m_feed.era(); }
    /// Reads the table soon if a peer knows a later era of the store.
    void peerKnowsEra(StoreEra era);
    /// Looks for engines to claim at once instead of at the next interval, because an engine was added or an
    /// owner left.
    void claimUnownedEngines();
    /// Gives up an engine that has rejected an order because it knows a higher fencing number.
    void stepDown(const UpstreamId& engine);
    /// Gives up all engines so that other hosts claim them, because this host can't reach them. It claims
    /// none as long as it is among the ineligible hosts.
    void handOver();
    /// Gives up all engines and removes this host's row, for a planned stop.
    void release();
    /// @return whether the store has confirmed this host's row recently enough for its lease to be valid, so
    ///     that orders may be sent now.
    bool isLeaseValid() const;
    /// @return whether the last read and the last renewal got a response from the store.
    bool reachesStore() const { return !m_feed.isLost() && !m_isRenewalLost; }

private:
    void storeRestored(RowVersion copy) override;
    void tableRead(const std::vector<StoredRow>& rows) override;
    void rowsChanged(const std::vector<StoredRow>& rows) override;
    void feedResumed(Duration outage) override;

    void createSecretLater();
    void createSecret();
    void renew();
    void renewed(MonotonicTime sent, const CommitResult& result);
    void rereadOwnRow();
    /// @param rows this host's row; empty if it does not exist.
    void ownRowRead(const std::vector<StoredRow>& rows);
    void claim(const std::vector<UpstreamId>& engines);
    /// Counts the rows of a claim that were written again after the store has come back from a copy.
    void countRewrites(const std::vector<UpstreamId>& engines);
    /// @return conditions under which engines may be claimed: their rows have not changed since they were
    ///     read, and no owner that is presumed dead has renewed its row since.
    std::vector<RowCondition> claimConditions(const std::vector<UpstreamId>& engines) const;
    void claimed(const std::vector<UpstreamId>& engines, RowVersion version);
    /// Applies the current rows from a claim's conflict: another host's claim came first, or the owner is
    /// alive.
    void claimConflicted(const std::vector<RowCondition>& conditions, const std::vector<StoredRow>& current);
    /// @return whether an engine's row was written under the current lease, so that orders may be sent.
    ///     Always true if engines check fencing numbers.
    bool isOfCurrentLease(RowVersion version) const;
    /// @return whether a row may be from a copy of the store, and so older than what is known from before.
    bool mayBeCopied(RowVersion version) const { return version <= m_copy; }
    /// @return the engines that this host owns: by their rows, or since before the store came back from a
    ///     copy.
    std::map<UpstreamId, FencingNumber> currentEngines() const;
    /// @return whether this host has handed over an engine that its row still assigns to this host.
    bool isHandedOver(const UpstreamId& engine) const;
    /// @return engines to claim again: their rows name this host but were written under an expired lease, or
    ///     before this host handed them over and no other one has claimed them, or this host owns them and
    ///     the store has come back from a copy that does not say so.
    std::vector<UpstreamId> enginesToReclaim(
        const std::set<UpstreamId>& inUse, const ReportedOwners& reported) const;
    void updateOwnership();
    void removeDeadHosts();
    /// @return whether all live hosts are in touch with this one, so that liveness does not depend on rows.
    bool isInTouchWithAllHosts() const;
    /// @return whether all live hosts are in touch and all engines have owners.
    bool isStable() const { return isInTouchWithAllHosts() && !m_hasUnownedEngines; }
    /// @return the interval in a stable fleet: longer than usual if there are many hosts.
    Duration steadyInterval(Duration usual) const;
    Duration renewalInterval() const;
    Duration currentFeedInterval() const;

    Scheduler& m_scheduler;
    RowStore& m_store;
    HostRecord m_self;
    Duration m_leaseTime;
    OwnershipRule m_rule;
    Handlers m_handlers;
    FleetRegistry m_registry;
    RowVersion m_ownVersion;
    /// Version of this host's row at the first renewal of the current lease.
    RowVersion m_leaseStart;
    MonotonicTime m_started;
    std::optional<MonotonicTime> m_lastRenewal;
    std::map<UpstreamId, FencingNumber> m_owned;
    /// Engines that this host owned when the store came back from a copy, until it has claimed them again or
    /// another host has.
    std::set<UpstreamId> m_keptEngines;
    /// Bound of the versions in the store's latest copy; 0 if there was none.
    RowVersion m_copy;
    MonotonicTime m_restoredAt;
    /// The table has not been read yet since the store came back from a copy.
    bool m_isRestored = false;
    /// The host's own row has not been renewed yet since then.
    bool m_isOwnRowMissing = false;
    /// A read of the table is due because a peer knows a later era.
    bool m_isReadDue = false;
    /// Fencing numbers that engines have rejected; they are not used again.
    std::map<UpstreamId, FencingNumber> m_fenced;
    /// Fencing numbers of engines that this host has handed over, until their rows change.
    std::map<UpstreamId, FencingNumber> m_handedOver;
    bool m_isRenewing = false;
    /// The last renewal of this host's row got no response.
    bool m_isRenewalLost = false;
    bool m_isClaiming = false;
    bool m_isReleased = false;
    bool m_hasReadTable = false;
    /// The table had a row of an earlier incarnation of this host.
    bool m_isKnownHost = false;
    /// Some engine in use had no live owner at the last check.
    bool m_hasUnownedEngines = false;
    PeriodicTimer m_renewalTimer;
    PeriodicTimer m_claimTimer;
    StoreFeed m_feed;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
