#include "coordination/link_demand.h"

namespace lacewing {

void LinkDemand::needed(const HostId& peer)
{
    const bool isNew = m_lastNeeded.count(peer) == 0;
    m_lastNeeded[peer] = m_clock.now();
    if (isNew)
        m_membership.use(peer);
}

void LinkDemand::expire()
{
    for (auto entry = m_lastNeeded.begin(); entry != m_lastNeeded.end();) {
        if (m_clock.now() - entry->second < idleTime) {
            ++entry;
            continue;
        }
        m_membership.unuse(entry->first);
        entry = m_lastNeeded.erase(entry);
    }
}

} // namespace lacewing
