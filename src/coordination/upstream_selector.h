#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/configuration.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/// What an entry knows about an upstream. The load lags behind reality.
struct UpstreamView {
    UpstreamId upstream;
    /// Host of its owner; empty if it has none.
    HostId owner;
    DataCentreId dataCentre;
    /// Base model of an engine.
    ModelId baseModel;
    /// Group of a plain service.
    std::string service;
    UpstreamState state = UpstreamState::Live;
    /// Share of full work it may get, from UpstreamHealth::weight(); 0 while ejected.
    double weight = 1;
    int running = 0;
    /// Interactive requests that wait for room although their adapter is ready: RequestQueue::readyCount().
    int queued = 0;
    /// The same for batch requests. They are no load to interactive requests, which go before them.
    int queuedBatch = 0;
    int maximumConcurrency = 1;
    /// When the load was current, on the entry's clock.
    MonotonicTime reportedAt;
    /// Adapters that were resident or loading then.
    std::set<AdapterKey> resident;
    /// What a load of another adapter would cost it then: AdapterResidency::evictionCost().
    double evictionCost = 0;
};

/// What an upstream is wanted for.
struct Selection {
    /// Nothing for a request to a base model or a plain service.
    std::optional<AdapterKey> adapter;
    ModelId baseModel;
    std::string service;
    RequestClass requestClass = RequestClass::Interactive;
    /// Data centre of the entry.
    DataCentreId dataCentre;
    /// Upstreams that were tried already.
    std::set<UpstreamId> excluded;
};

/// Chooses the upstream of a request at the entry. Leaving, ejected and excluded upstreams and those without
/// an owner are never chosen.
class UpstreamSelector {
public:
    virtual ~UpstreamSelector() = default;

    /// @return nothing if no upstream can be chosen.
    virtual std::optional<UpstreamId> select(
        const Selection& selection, const std::vector<UpstreamView>& views, MonotonicTime now)
        = 0;

    /// Notes that this entry has sent a request to an upstream.
    virtual void started(
        const UpstreamId& upstream, const std::optional<AdapterKey>& adapter, MonotonicTime now)
        = 0;

    /// Notes that a request that was reported to started() has ended.
    virtual void finished(const UpstreamId& upstream, MonotonicTime now) = 0;
};

/// @return true if the upstream serves what is wanted and may be chosen.
bool isEligible(const UpstreamView& view, const Selection& selection);

} // namespace lacewing
