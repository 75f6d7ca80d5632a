#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <optional>

namespace lacewing {

/// Tracks the newest known configuration revision (the head) and the time as of which it was confirmed, for
/// daemons that learn of revisions from the table and from peers in any order.
///
/// It combines observations of the form "as of time t no revision above r existed".
class HeadTracker {
public:
    /// Records that a revision exists.
    ///
    /// @return whether it is higher than all previously known revisions.
    bool recordRevision(Revision revision, const ContentHash& hash);

    /// Records that no revision above this one existed at a time. An observation of a revision lower than the
    /// known one is used too, because it also holds for every higher revision.
    void recordHeadAsOf(Revision revision, MonotonicTime time);

    /// Records that this daemon applied a revision. Revisions below the applied one are ignored.
    void apply(Revision revision, const ContentHash& hash);

    Revision knownRevision() const { return m_knownRevision; }
    const ContentHash& knownHash() const { return m_knownHash; }
    Revision appliedRevision() const { return m_appliedRevision; }
    const ContentHash& appliedHash() const { return m_appliedHash; }
    bool isBehind() const { return m_appliedRevision < m_knownRevision; }

    /// @return the latest time at which no revision above the applied one existed.
    std::optional<MonotonicTime> appliedAsOf() const { return m_appliedAsOf; }

private:
    Revision m_knownRevision;
    ContentHash m_knownHash;
    /// Latest time at which no revision above the known one existed.
    std::optional<MonotonicTime> m_knownAsOf;
    Revision m_appliedRevision;
    ContentHash m_appliedHash;
    std::optional<MonotonicTime> m_appliedAsOf;
};

} // namespace lacewing
