#pragma once

#include "coordination/lease_row.h"
#include "coordination/simulated_fleet.h"

#include <glog/logging.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace lacewing {

/// Checks the invariants of a SimulatedFleet after every step: leases are exclusive, fencing numbers increase
/// with each new holder, and incarnations are unique.
class FleetChecker {
public:
    explicit FleetChecker(SimulatedFleet& fleet)
        : m_fleet(fleet)
        , m_snapshots(fleet.size())
    {
        fleet.table().setWriteObserver([this](const TableRow& row) { rowWritten(row); });
    }

    /// @return false if an invariant is or was violated; violation() describes it.
    bool check()
    {
        for (size_t i = 0; i < m_fleet.size(); ++i) {
            if (m_fleet.isRunning(i))
                checkDaemon(i);
            else
                m_snapshots[i] = Snapshot {};
        }
        return m_violation.empty();
    }

    /// Logs the virtual time, to correlate the log lines of a replayed run.
    void logTime() const
    {
        VLOG(1) << "event=virtual_time ms=" << toMilliseconds(m_fleet.scheduler().now().time_since_epoch());
    }

    const std::string& violation() const { return m_violation; }

    /// @return the daemon that may act under the lease now, or the fleet's size if there is none.
    size_t activeHolder(const std::string& lease)
    {
        for (size_t i = 0; i < m_fleet.size(); ++i) {
            if (m_fleet.isRunning(i) && !m_fleet.isPaused(i) && m_fleet.member(i).leases().mayAct(lease))
                return i;
        }
        return m_fleet.size();
    }
    /// @return a lease under which no daemon may act, or an empty string if there is none.
    std::string unheldLease()
    {
        for (const LeaseName& lease : m_fleet.leases()) {
            if (activeHolder(lease.name) == m_fleet.size())
                return lease.name;
        }
        return {};
    }

private:
    /// State of a running daemon at the last check.
    struct Snapshot {
        const FleetMember* member = nullptr;
        Incarnation incarnation;
        uint64_t changes = 0;
        bool valid = false;
    };
    struct LastHolder {
        size_t daemon = 0;
        Incarnation incarnation;
        FencingNumber fencingNumber;
    };

    void checkDaemon(size_t index)
    {
        FleetMember& member = m_fleet.member(index);
        Snapshot& snapshot = m_snapshots[index];
        if (snapshot.member != &member) {
            snapshot = Snapshot();
            snapshot.member = &member;
        }
        const Incarnation incarnation = member.session().incarnation();
        if (incarnation != snapshot.incarnation) {
            snapshot.incarnation = incarnation;
            if (incarnation != Incarnation(0) && incarnation <= m_usedIncarnations[index])
                fail("incarnation reused", member, "");
            m_usedIncarnations[index] = std::max(m_usedIncarnations[index], incarnation);
        }
        const bool valid = member.session().isValid();
        const uint64_t changes = member.leases().changeCount();
        if (valid && (!snapshot.valid || changes != snapshot.changes))
            checkHeld(index, member);
        snapshot.valid = valid;
        snapshot.changes = changes;
    }

    void checkHeld(size_t index, FleetMember& member)
    {
        const Incarnation incarnation = member.session().incarnation();
        for (const auto& [name, fencingNumber] : member.leases().held()) {
            const auto [found, isNew]
                = m_lastHolders.try_emplace(name, LastHolder { index, incarnation, fencingNumber });
            LastHolder& last = found->second;
            const bool sameHolder = last.daemon == index && last.incarnation == incarnation;
            if (!sameHolder && m_fleet.isRunning(last.daemon) && last.daemon != index
                && m_fleet.member(last.daemon).leases().mayAct(name))
                fail("two daemons may act", member, name);
            if (fencingNumber < last.fencingNumber)
                fail("fencing number decreased", member, name);
            if (!sameHolder && !isNew && fencingNumber == last.fencingNumber)
                fail("fencing number reused", member, name);
            last = LastHolder { index, incarnation, fencingNumber };
        }
    }

    void rowWritten(const TableRow& row)
    {
        if (row.key.rfind(leasePrefix, 0) == 0) {
            const FencingNumber fencingNumber = decodeLeaseRow(row.value)->fencingNumber;
            FencingNumber& last = m_fencingNumbers[row.key];
            if (fencingNumber < last)
                m_violation = "fencing number decreased in row " + row.key;
            last = fencingNumber;
            return;
        }
        const Incarnation incarnation = decodeSessionRow(row.value)->incarnation;
        Incarnation& last = m_incarnations[row.key];
        if (incarnation < last)
            m_violation = "incarnation decreased in row " + row.key;
        last = incarnation;
    }

    void fail(const std::string& what, FleetMember& member, const std::string& lease)
    {
        m_violation = what + " lease=" + lease + " host=" + member.session().settings().host.value()
            + " at_ms=" + std::to_string(toMilliseconds(m_fleet.scheduler().now().time_since_epoch()));
    }

    SimulatedFleet& m_fleet;
    std::vector<Snapshot> m_snapshots;
    std::map<size_t, Incarnation> m_usedIncarnations;
    std::map<std::string, LastHolder> m_lastHolders;
    std::map<std::string, FencingNumber> m_fencingNumbers;
    std::map<std::string, Incarnation> m_incarnations;
    std::string m_violation;
};

/// Fixture that suppresses the log output of simulated daemons, unless a seed is replayed.
struct QuietLog {
    QuietLog() { FLAGS_minloglevel = std::getenv("LACEWING_FLEET_SEED") ? google::INFO : google::FATAL; }
};

} // namespace lacewing
