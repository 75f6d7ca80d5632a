#pragma once

#include "coordination/upstream_selector.h"

#include <vector>

namespace lacewing {

/// Ranks upstreams for an adapter by weighted rendezvous hashing: an upstream that comes or goes moves only
/// the adapters that it takes or had, and one with half the weight gets half as many adapters.
///
/// @param views must outlive the result.
/// @return the eligible upstreams, best first.
std::vector<const UpstreamView*> rankByRendezvous(
    const Selection& selection, const std::vector<UpstreamView>& views);

} // namespace lacewing
