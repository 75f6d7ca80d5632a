#pragma once

#include "coordination/upstream_selector.h"

#include <deque>
#include <map>

namespace lacewing {

/// Corrects delayed load reports by the requests that this entry has started and finished since the report.
class InFlightTracker {
public:
    void started(const UpstreamId& upstream, MonotonicTime now);
    void finished(const UpstreamId& upstream, MonotonicTime now);

    /// @return the estimated number of running and queued requests on the upstream.
    int load(const UpstreamView& view) const;

private:
    struct Change {
        MonotonicTime at;
        int difference = 0;
    };

    struct Upstream {
        int inFlight = 0;
        std::deque<Change> changes;
    };

    void change(const UpstreamId& upstream, int difference, MonotonicTime now);

    std::map<UpstreamId, Upstream> m_upstreams;
};

} // namespace lacewing
