#include "coordination/allotment_limit.h"

#include "coordination/load_permits.h"

namespace lacewing {

AllotmentLimits allotmentLimits(const Configuration& configuration)
{
    AllotmentLimits limits = LoadPermits::limits(configuration.loadLimits);
    for (const auto& [id, workspace] : configuration.workspaces)
        limits[id] = { AllotmentKind::Rate, workspace.rate, workspace.burst };
    return limits;
}

} // namespace lacewing
