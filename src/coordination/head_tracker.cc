#include "coordination/head_tracker.h"

namespace lacewing {

namespace {

void raise(std::optional<MonotonicTime>& time, std::optional<MonotonicTime> candidate)
{
    if (candidate && (!time || *time < *candidate))
        time = candidate;
}

} // namespace

bool HeadTracker::recordRevision(Revision revision, const ContentHash& hash)
{
    if (revision <= m_knownRevision)
        return false;
    m_knownRevision = revision;
    m_knownHash = hash;
    return true;
}

void HeadTracker::recordHeadAsOf(Revision revision, MonotonicTime time)
{
    if (revision <= m_knownRevision)
        raise(m_knownAsOf, time);
    if (revision <= m_appliedRevision)
        raise(m_appliedAsOf, time);
}

void HeadTracker::apply(Revision revision, const ContentHash& hash)
{
    if (revision <= m_appliedRevision)
        return;
    recordRevision(revision, hash);
    m_appliedRevision = revision;
    m_appliedHash = hash;
    if (!isBehind())
        raise(m_appliedAsOf, m_knownAsOf);
}

} // namespace lacewing
