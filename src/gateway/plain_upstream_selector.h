#pragma once

#include "gateway/upstream_directory.h"
#include "gateway/upstream_limits.h"
#include "gateway/upstream_permits.h"
#include "gateway/upstream_picker.h"

#include <optional>
#include <set>

namespace lacewing::gateway {

/// Selects an upstream of a service without engines for one request, with respect to the limits that
/// upstreams state.
///
/// Load pattern: some upstreams of a service take few requests per second or none for a time, or all of them
/// do. A request goes past an upstream that rests or has no start to offer, and waits for a start only if no
/// upstream without a limit is left.
class PlainUpstreamSelector {
public:
    /// All must outlive the selector.
    PlainUpstreamSelector(const UpstreamDirectory& upstreams, UpstreamPicker& picker,
        const UpstreamLimits& limits, const UpstreamPermits& permits, DataCentreId dataCentre);

    struct Selection {
        /// Nothing if no upstream can take the request in time.
        std::optional<UpstreamId> upstream;
        /// Time for which the request may wait for its start.
        Duration patience {};
        /// Set if upstreams can't take the request in time because of their limits: after this time one can.
        std::optional<Duration> limitedFor;
        /// Set if upstreams can't take the request because they want a rest: after this time one can.
        std::optional<Duration> restingFor;
        bool hasUpstreams = false;
    };

    /// @param tried upstreams that the request was sent to.
    /// @param filter of the upstreams that the request may be sent to.
    /// @param longestWait time for which the request can wait and still be answered on time.
    Selection select(const ServiceId& service, const std::set<UpstreamId>& tried,
        const UpstreamFilter& filter, Duration longestWait, MonotonicTime now);

private:
    const UpstreamDirectory& m_upstreams;
    UpstreamPicker& m_picker;
    const UpstreamLimits& m_limits;
    const UpstreamPermits& m_permits;
    DataCentreId m_dataCentre;
};

} // namespace lacewing::gateway
