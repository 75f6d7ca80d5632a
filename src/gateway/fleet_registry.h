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

/// A host's row in the fleet's table, renewed while its process runs.
struct HostRecord {
    HostId host;
    Incarnation incarnation;
    SocketAddress peerAddress;
    SocketAddress callerAddress;
    DataCentreId dataCentre;
    /// Incremented by each renewal.
    int64_t renewal = 0;
};

/// The row that names the owner of an engine. The row's version gives the fencing number of the owner's
/// orders.
struct OwnerRecord {
    UpstreamId engine;
    HostId host;
    Incarnation incarnation;
};

/// The owner of each engine according to the owners' own heartbeats.
using ReportedOwners = std::map<UpstreamId, HostId>;

/// Encodes and decodes the rows of the fleet's own table.
class FleetRows {
public:
    static constexpr const char* table = "lacewinglb";

    static RowKey hostKey(const HostId& host) { return { table, "host:" + host.value() }; }
    static RowKey ownerKey(const UpstreamId& engine) { return { table, "owner:" + engine.value() }; }
    static RowKey secretKey() { return { table, "link-secret" }; }

    /// @return the fencing number of an owner by the version of its row. It rises with each claim, also when
    ///     the store gives out versions again, since engines remember numbers.
    static FencingNumber fencingNumber(RowVersion version);

    static std::string encode(const HostRecord& record);
    static std::string encode(const OwnerRecord& record);
    /// @return nothing if the row is not a valid host row.
    static std::optional<HostRecord> decodeHost(const StoredRow& row);
    /// @return nothing if the row is not a valid owner row.
    static std::optional<OwnerRecord> decodeOwner(const StoredRow& row);
};

/// A host's view of the fleet's table: which hosts are alive and which host owns which engine.
///
/// A host counts as dead once its row has not changed for the lease time while the table was readable. The
/// time is measured on the observer's clock, so clocks of different hosts are never compared. A host is in
/// touch while its heartbeats arrive.
///
/// Load pattern: the store comes back from a copy that lacks the rows of hosts that are alive, or shows
/// earlier ones. Such hosts are kept until they have renewed their rows or the lease time has passed.
class FleetRegistry {
public:
    FleetRegistry(HostId self, Incarnation incarnation, Duration leaseTime);

    void setLeaseTime(Duration leaseTime) { m_leaseTime = leaseTime; }
    /// Replaces all rows with those of a full read of the table.
    void reset(const std::vector<StoredRow>& rows, MonotonicTime now);
    /// The same for the first read since the store has come back from a copy.
    void restore(const std::vector<StoredRow>& rows, MonotonicTime now);
    void apply(const StoredRow& row, MonotonicTime now);
    /// Sets the hosts that are in touch. These are alive regardless of their rows; for the others the lease
    /// time counts from the last heartbeat or renewal, whichever is later.
    void setInTouch(const std::set<HostId>& hosts, MonotonicTime now);
    /// Sets the hosts that have given up their engines, whatever the engines' rows say.
    void setHostsWithoutEngines(std::set<HostId> hosts) { m_hostsWithoutEngines = std::move(hosts); }
    /// @return whether some live host is out of touch with this one.
    bool hasHostsOutOfTouch(MonotonicTime now) const;
    /// Restarts the lease time of all hosts after the table was unreadable, since renewals may have been
    /// missed.
    void resumeObservation(MonotonicTime now);

    bool isAlive(const HostId& host, MonotonicTime now) const;
    size_t hostCount() const { return m_hosts.size(); }
    /// @return the hosts that are not known to be dead, including this one once its row is known.
    std::vector<HostRecord> liveHosts(MonotonicTime now) const;
    /// @return the owner of an engine, unless it is known to be dead or to have given the engine up.
    std::optional<OwnerRecord> owner(const UpstreamId& engine, MonotonicTime now) const;
    /// @return version of the engine's owner row; 0 if there is none.
    RowVersion ownerVersion(const UpstreamId& engine) const;
    /// @return version of the host's row; 0 if there is none.
    RowVersion hostVersion(const HostId& host) const;
    /// @return the host that an engine's row names, if its death could only be inferred from missing renewals
    ///     and heartbeats: it has not restarted since, and is not this host.
    std::optional<HostId> presumedDeadOwner(const UpstreamId& engine) const;
    const std::optional<std::string>& linkSecret() const { return m_linkSecret; }
    /// @return whether the table has the link secret.
    bool isSecretStored() const { return m_isSecretStored; }

    /// Chooses the engines without a live owner that this host should claim, so that engines are spread
    /// evenly over the hosts.
    ///
    /// Load pattern: the engines of a dead host must be taken over by the others, and all hosts may start at
    /// once. After a power loss of the whole fleet each host reclaims the engines that it owned before; the
    /// others leave them to it for one lease time, so that claims do not conflict.
    ///
    /// @param engines all engines in use.
    /// @param reported owners according to their heartbeats; used where no row names a live owner, since the
    ///     table is read rarely in a large fleet.
    /// @param ineligible hosts that must not be assigned further engines.
    std::vector<UpstreamId> enginesToClaim(const std::set<UpstreamId>& engines,
        const ReportedOwners& reported, const std::set<HostId>& ineligible, MonotonicTime now) const;
    /// @return whether some engine has no live owner according to rows or heartbeats.
    bool hasUnownedEngines(
        const std::set<UpstreamId>& engines, const ReportedOwners& reported, MonotonicTime now) const;
    /// @return engines whose rows name this incarnation of this host, whether or not they are in use.
    std::vector<UpstreamId> ownedBySelf() const;
    /// @return dead hosts without a renewal or heartbeat for longer than `time`.
    std::vector<HostId> hostsDeadFor(Duration time, MonotonicTime now) const;

private:
    struct KnownHost {
        HostRecord record;
        RowVersion version;
        MonotonicTime lastChange;
        bool isInTouch = false;
        MonotonicTime lastTouch;
        /// When this host first saw the current incarnation of that host.
        MonotonicTime incarnationSeen;
    };

    struct KnownOwner {
        OwnerRecord record;
        RowVersion version;
    };

    /// @return the live owner according to the engine's row, else according to heartbeats, or null.
    const HostId* ownerHost(
        const UpstreamId& engine, const ReportedOwners& reported, MonotonicTime now) const;
    /// @return whether an engine's last owner has restarted and still has the first right to claim the
    ///     engine.
    bool mayReclaim(const UpstreamId& engine, MonotonicTime now) const;

    HostId m_self;
    Incarnation m_incarnation;
    Duration m_leaseTime;
    std::map<HostId, KnownHost> m_hosts;
    std::map<UpstreamId, KnownOwner> m_owners;
    std::set<HostId> m_hostsWithoutEngines;
    std::optional<std::string> m_linkSecret;
    bool m_isSecretStored = false;
};

} // namespace lacewing::gateway
