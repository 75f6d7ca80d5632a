#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <optional>

namespace lacewing {

/// What a daemon knows about the head: statements "as of time t no revision above r existed".
class HeadKnowledge {
public:
    /// Learns that a revision exists.
    ///
    /// @return true if it is higher than all known before.
    bool learnRevision(Revision revision, const ContentHash& hash);

    /// Learns that no revision above this one existed at a time. A statement about a lower revision than the
    /// known one is used too, since it holds for every higher one.
    void learnAsOf(Revision revision, MonotonicTime time);

    /// Says that a revision was put in force here. Lower revisions than the one in force are ignored.
    void apply(Revision revision, const ContentHash& hash);

    Revision knownRevision() const { return m_knownRevision; }
    const ContentHash& knownHash() const { return m_knownHash; }
    Revision appliedRevision() const { return m_appliedRevision; }
    const ContentHash& appliedHash() const { return m_appliedHash; }
    bool isBehind() const { return m_appliedRevision < m_knownRevision; }

    /// @return the latest time at which no revision above the one in force existed.
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
