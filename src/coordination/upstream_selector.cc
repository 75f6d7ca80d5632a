#include "coordination/upstream_selector.h"

namespace lacewing {

bool isEligible(const UpstreamView& view, const Selection& selection)
{
    if (view.state == UpstreamState::Draining || view.weight <= 0 || view.owner.empty())
        return false;
    if (selection.excluded.count(view.upstream) > 0)
        return false;
    return view.baseModel == selection.baseModel && view.service == selection.service;
}

} // namespace lacewing
