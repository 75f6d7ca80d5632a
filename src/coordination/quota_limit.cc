#include "coordination/quota_limit.h"

#include "coordination/load_permits.h"

namespace lacewing {

QuotaLimits quotaLimits(const Configuration& configuration)
{
    QuotaLimits limits = LoadPermits::limits(configuration.loadLimits);
    for (const auto& [id, workspace] : configuration.workspaces)
        limits[id] = { QuotaKind::Rate, workspace.rate, workspace.burst };
    return limits;
}

} // namespace lacewing
