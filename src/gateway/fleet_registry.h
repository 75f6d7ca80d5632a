#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/row_store.h"
#include "transport/http_message.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// A host's row in the fleet's table, renewed while its process lives.
struct HostRecord {
    HostId host;
    Incarnation incarnation;
    SocketAddress peerAddress;
    SocketAddress callerAddress;
    DataCentreId dataCentre;
    /// Grows with each renewal.
    int64_t renewal = 0;
};

/// The row that names the owner of an engine. The row's version is the fencing number of the owner's orders.
struct OwnerRecord {
    UpstreamId engine;
    HostId host;
    Incarnation incarnation;
    FencingNumber fencingNumber;
};

/// Which host says that it owns an engine.
using ReportedOwners = std::map<UpstreamId, HostId>;

/// Encodes and decodes the rows of the fleet's own table.
class FleetRows {
public:
    static constexpr const char* table = "lacewinglb";

    static RowKey hostKey(const HostId& host) { return { table, "host:" + host.value() }; }
    static RowKey ownerKey(const UpstreamId& engine) { return { table, "owner:" + engine.value() }; }
    static RowKey secretKey() { return { table, "link-secret" }; }

    static std::string encode(const HostRecord& record);
    static std::string encode(const OwnerRecord& record);
    /// @return nothing if the row is no host row or can't be read.
    static std::optional<HostRecord> decodeHost(const StoredRow& row);
    /// @return nothing if the row is no owner row or can't be read.
    static std::optional<OwnerRecord> decodeOwner(const StoredRow& row);
};

/// What a host knows of the fleet's table: which hosts live and which host owns which engine.
///
/// A host counts as dead once its row has not changed for the lease time while the table could be read. The
/// time is measured on the observer's clock, so clocks of different hosts are never compared.
class FleetRegistry {
public:
    FleetRegistry(HostId self, Incarnation incarnation, Duration leaseTime);

    void setLeaseTime(Duration leaseTime) { m_leaseTime = leaseTime; }
    /// Replaces everything with a whole read of the table.
    void reset(const std::vector<StoredRow>& rows, MonotonicTime now);
    void apply(const StoredRow& row, MonotonicTime now);
    /// Tells which hosts' heartbeats arrive. Those live, whatever their rows say; for the others the lease
    /// time counts from the last heartbeat or renewal.
    void setInTouch(const std::set<HostId>& hosts, MonotonicTime now);
    /// @return whether a host that may live is out of touch with this one.
    bool hasHostsOutOfTouch(MonotonicTime now) const;
    /// The table could be read again after a gap, in which renewals may have been missed.
    void resumeObservation(MonotonicTime now);

    bool isAlive(const HostId& host, MonotonicTime now) const;
    size_t hostCount() const { return m_hosts.size(); }
    /// @return the hosts that are not known to be dead, this one included once its row is known.
    std::vector<HostRecord> liveHosts(MonotonicTime now) const;
    /// @return the owner of an engine, unless it is known to be dead.
    std::optional<OwnerRecord> owner(const UpstreamId& engine, MonotonicTime now) const;
    /// @return version of the row that names the engine's owner; 0 without one.
    RowVersion ownerVersion(const UpstreamId& engine) const;
    RowVersion hostVersion(const HostId& host) const;
    /// @return the host that an engine's row names, if only its silence tells that it is dead: it has not
    ///     started anew since, and is not this host.
    std::optional<HostId> presumedDeadOwner(const UpstreamId& engine) const;
    const std::optional<std::string>& linkSecret() const { return m_linkSecret; }

    /// Chooses the engines without a living owner that this host should claim, so that each host gets about
    /// as many as the others.
    ///
    /// Load pattern: a host that dies leaves its engines to the others, and all hosts may start at once.
    /// After a loss of power of the whole fleet each host takes the engines back that it owned before; the
    /// others leave it a moment for that, so that no claims meet.
    ///
    /// @param engines all engines in use.
    /// @param reported owners that say so themselves; they count where no row names a living one, since the
    /// table
    ///     is read seldom in a large fleet.
    /// @param ineligible hosts that take no further engines.
    std::vector<UpstreamId> enginesToClaim(const std::set<UpstreamId>& engines,
        const ReportedOwners& reported, const std::set<HostId>& ineligible, MonotonicTime now) const;
    /// @return whether some engine has no living owner by rows or by what owners say.
    bool hasUnownedEngines(
        const std::set<UpstreamId>& engines, const ReportedOwners& reported, MonotonicTime now) const;
    /// @return engines that this host's rows own but that are not in use any more.
    std::vector<UpstreamId> ownedBySelf() const;
    /// @return hosts that have been dead for longer than a time.
    std::vector<HostId> hostsDeadFor(Duration time, MonotonicTime now) const;

private:
    struct KnownHost {
        HostRecord record;
        RowVersion version;
        MonotonicTime lastChange;
        bool isInTouch = false;
        MonotonicTime lastTouch;
        /// When this host learned of the current start of that host.
        MonotonicTime incarnationSeen;
    };

    struct KnownOwner {
        OwnerRecord record;
        RowVersion version;
    };

    /// @return the host that owns an engine by a row or by its own words, or null.
    const HostId* ownerHost(
        const UpstreamId& engine, const ReportedOwners& reported, MonotonicTime now) const;
    /// @return whether an engine's last owner has started anew and may still take the engine back.
    bool mayReclaim(const UpstreamId& engine, MonotonicTime now) const;

    HostId m_self;
    Incarnation m_incarnation;
    Duration m_leaseTime;
    std::map<HostId, KnownHost> m_hosts;
    std::map<UpstreamId, KnownOwner> m_owners;
    std::optional<std::string> m_linkSecret;
};

} // namespace lacewing::gateway
