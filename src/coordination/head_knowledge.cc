#include "coordination/head_knowledge.h"

namespace lacewing {

namespace {

void raise(std::optional<MonotonicTime>& time, std::optional<MonotonicTime> candidate)
{
    if (candidate && (!time || *time < *candidate))
        time = candidate;
}

} // namespace

bool HeadKnowledge::learnRevision(Revision revision, const ContentHash& hash)
{
    if (revision <= m_knownRevision)
        return false;
    m_knownRevision = revision;
    m_knownHash = hash;
    return true;
}

void HeadKnowledge::learnAsOf(Revision revision, MonotonicTime time)
{
    if (revision <= m_knownRevision)
        raise(m_knownAsOf, time);
    if (revision <= m_appliedRevision)
        raise(m_appliedAsOf, time);
}

void HeadKnowledge::apply(Revision revision, const ContentHash& hash)
{
    if (revision <= m_appliedRevision)
        return;
    learnRevision(revision, hash);
    m_appliedRevision = revision;
    m_appliedHash = hash;
    if (!isBehind())
        raise(m_appliedAsOf, m_knownAsOf);
}

} // namespace lacewing
