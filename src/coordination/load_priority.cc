#include "coordination/load_priority.h"

#include <algorithm>

namespace lacewing {

bool LoadPriority::mayLoad(RequestClass requestClass, double available) const
{
    if (available < 1)
        return false;
    if (requestClass == RequestClass::Interactive)
        return true;
    return m_batchCredit >= 1 || available >= 1 + m_options.reserve;
}

void LoadPriority::recordLoad(RequestClass requestClass)
{
    const double share = m_options.batchShare;
    m_batchCredit += requestClass == RequestClass::Batch ? -1 : share / (1 - share);
    // The limit of one load keeps credit from accumulating while batch needs no loads.
    m_batchCredit = std::clamp(m_batchCredit, 0.0, 1.0);
}

} // namespace lacewing
