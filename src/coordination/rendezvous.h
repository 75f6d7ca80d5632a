#pragma once

#include "coordination/upstream_selector.h"

#include <vector>

namespace lacewing {

/// Ranks upstreams for an adapter by weighted rendezvous hashing. Adding or removing an upstream moves only
/// the adapters that rank it first, and an upstream with half the weight gets half as many adapters.
///
/// @param views must outlive the result.
/// @return the eligible upstreams in descending order of score.
std::vector<const UpstreamView*> rankByRendezvous(
    const Selection& selection, const std::vector<UpstreamView>& views);

} // namespace lacewing
