#pragma once

#include "base/lifetime.h"
#include "base/periodic_timer.h"
#include "gateway/fleet_registry.h"
#include "gateway/store_feed.h"

#include <functional>
#include <set>

namespace lacewing::gateway {

/// How a fleet makes sure that only one host orders an engine.
enum class OwnershipRule {
    /// Engines refuse orders with an old fencing number, so an owner may go on while the store is away.
    EnginesCheckFencing,
    /// Engines take orders from anyone, so an owner stops when its lease ends. Afterwards it must claim its
    /// engines again, even if their rows still name it.
    LeaseOnly,
};

/// Keeps this host's row in the fleet's table alive, claims engines that have no living owner, and follows
/// the rows of the other hosts.
class FleetAgent : private StoreFeedListener {
public:
    struct Handlers {
        /// The hosts, the link secret or the owners have changed.
        std::function<void()> onFleetChanged;
        /// This host owns an engine from now on.
        std::function<void(const UpstreamId& engine, FencingNumber fencingNumber)> onClaimed;
        /// Another host owns the engine, or it is not known whether this one still does.
        std::function<void(const UpstreamId& engine)> onLost;
        /// @return engines in use.
        std::function<std::set<UpstreamId>()> engines;
        /// @return hosts that take no further engines, because they are stopping or the store is out of their
        ///     reach.
        std::function<std::set<HostId>()> ineligibleHosts;
        /// @return engines whose owners say so in their heartbeats and may give them orders.
        std::function<ReportedOwners()> reportedOwners;
    };

    FleetAgent(Scheduler& scheduler, RowStore& store, HostRecord self, Duration leaseTime, OwnershipRule rule,
        Handlers handlers);

    void start();
    void setLeaseTime(Duration leaseTime);
    /// Tells which hosts' heartbeats arrive.
    void setInTouch(const std::set<HostId>& hosts);
    const HostId& self() const { return m_self.host; }
    const FleetRegistry& registry() const { return m_registry; }
    /// Looks for engines to claim now, because an engine came or an owner left.
    void claimUnownedEngines();
    /// The engine refused an order because of a higher fencing number.
    void stepDown(const UpstreamId& engine);
    /// Gives up all engines and removes this host's row.
    void release();
    /// @return whether the store has confirmed this host's row lately, so that orders may be sent now.
    bool isLeaseValid() const;
    /// @return whether the store answers, as far as the last call tells.
    bool reachesStore() const { return !m_feed.isLost() && !m_isRenewalLost; }

private:
    void tableRead(const std::vector<StoredRow>& rows) override;
    void rowsChanged(const std::vector<StoredRow>& rows) override;
    void feedResumed(Duration outage) override;

    void createSecretLater();
    void createSecret();
    void renew();
    void renewed(MonotonicTime sent, const CommitResult& result);
    void rereadOwnRow();
    /// @param rows this host's row, or nothing if it does not exist.
    void ownRowRead(const std::vector<StoredRow>& rows);
    void claim(const std::vector<UpstreamId>& engines);
    /// @return conditions under which engines may be claimed: their rows are as they were read, and no host
    ///     that is taken for dead has renewed its row since.
    std::vector<RowCondition> claimConditions(const std::vector<UpstreamId>& engines) const;
    void claimed(const std::vector<UpstreamId>& engines, RowVersion version);
    /// Learns from a claim that met another one who owns the engines, or that their owner lives.
    void claimConflicted(const std::vector<RowCondition>& conditions, const std::vector<StoredRow>& current);
    /// @return whether an own row may be used for orders: it is of the lease that lasts.
    bool isOfCurrentLease(FencingNumber number) const;
    /// @return engines that this host owned when its lease ended.
    std::vector<UpstreamId> expiredEngines(const std::set<UpstreamId>& inUse) const;
    void updateOwnership();
    void removeDeadHosts();
    /// @return whether all hosts hear each other, so that rows need not show who lives.
    bool isInTouchWithAllHosts() const;
    /// @return whether all hosts hear each other and all engines have owners.
    bool isStable() const { return isInTouchWithAllHosts() && !m_hasUnownedEngines; }
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
    /// Version of this host's row at the first renewal since its lease was last interrupted.
    RowVersion m_leaseStart;
    MonotonicTime m_started;
    std::optional<MonotonicTime> m_lastRenewal;
    std::map<UpstreamId, FencingNumber> m_owned;
    /// Numbers that engines have refused; they are not used again.
    std::map<UpstreamId, FencingNumber> m_fenced;
    bool m_isRenewing = false;
    /// The last renewal of this host's row got no answer.
    bool m_isRenewalLost = false;
    bool m_isClaiming = false;
    bool m_isReleased = false;
    bool m_hasReadTable = false;
    /// The table had a row of an earlier start of this host.
    bool m_isKnownHost = false;
    /// Some engine in use had no living owner at the last look.
    bool m_hasUnownedEngines = false;
    PeriodicTimer m_renewalTimer;
    PeriodicTimer m_claimTimer;
    StoreFeed m_feed;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
