#include "coordination/link_demand.h"

namespace lacewing {

void LinkDemand::recordSendAttempt(const HostId& peer)
{
    const bool isNew = m_lastSendAttempt.count(peer) == 0;
    m_lastSendAttempt[peer] = m_clock.now();
    if (isNew)
        m_membership.retainLink(peer);
}

void LinkDemand::expire()
{
    for (auto entry = m_lastSendAttempt.begin(); entry != m_lastSendAttempt.end();) {
        if (m_clock.now() - entry->second < idleTime) {
            ++entry;
            continue;
        }
        m_membership.releaseLink(entry->first);
        entry = m_lastSendAttempt.erase(entry);
    }
}

} // namespace lacewing
