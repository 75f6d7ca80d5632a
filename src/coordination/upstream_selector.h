#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/configuration.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/// An entry's view of an upstream. The load information is delayed.
struct UpstreamView {
    UpstreamId upstream;
    /// Host of the upstream's owner; empty if it has none.
    HostId owner;
    DataCentreId dataCentre;
    /// Base model, if the upstream is an engine.
    ModelId baseModel;
    /// Service group, if the upstream is a plain service.
    std::string service;
    UpstreamState state = UpstreamState::Live;
    /// Fraction of its full load that the upstream may get, from UpstreamHealth::weight(); 0 while ejected.
    double weight = 1;
    int running = 0;
    /// Interactive requests that wait for capacity although their adapter is ready:
    /// RequestQueue::readyCount().
    int queued = 0;
    /// The same for batch requests. They don't count as load for interactive requests, which go first.
    int queuedBatch = 0;
    int maximumConcurrency = 1;
    /// Time to which the load information refers, on the entry's clock.
    MonotonicTime reportedAt;
    /// Adapters that were resident or loading at that time.
    std::set<AdapterKey> resident;
    /// Cost of loading another adapter at that time: AdapterResidency::evictionCost().
    double evictionCost = 0;
};

/// Requirements of a request on its upstream.
struct Selection {
    /// Unset for a request to a base model or a plain service.
    std::optional<AdapterKey> adapter;
    ModelId baseModel;
    std::string service;
    RequestClass requestClass = RequestClass::Interactive;
    /// Data centre of the entry.
    DataCentreId dataCentre;
    /// Upstreams that have already been tried.
    std::set<UpstreamId> excluded;
};

/// Selects the upstream of a request at the entry. Leaving, ejected and excluded upstreams and those without
/// an owner are never selected.
class UpstreamSelector {
public:
    virtual ~UpstreamSelector() = default;

    /// @return std::nullopt if no upstream is eligible.
    virtual std::optional<UpstreamId> select(
        const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now)
        = 0;

    /// Records that this entry has sent a request to an upstream.
    virtual void started(
        const UpstreamId& upstream, const std::optional<AdapterKey>& adapter, MonotonicTime now)
        = 0;

    /// Records the end of a request that was reported to started().
    virtual void finished(const UpstreamId& upstream, MonotonicTime now) = 0;
};

/// @return true if the upstream serves the requested model or service and may be selected.
bool isEligible(const UpstreamView& view, const Selection& selection);

} // namespace lacewing
