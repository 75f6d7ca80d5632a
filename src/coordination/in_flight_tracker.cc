#include "coordination/in_flight_tracker.h"

#include <algorithm>

namespace lacewing {

namespace {

// Changes older than this are dropped to bound memory. A report of that age is of no use for balancing.
constexpr Duration maximumReportAge = std::chrono::seconds(30);

// After this time without a report, the entry's own in-flight requests are the better estimate, so the load
// is at least their number.
constexpr Duration reportTimeout = std::chrono::seconds(5);

} // namespace

void InFlightTracker::started(const UpstreamId& upstream, MonotonicTime now)
{
    change(upstream, 1, now);
}

void InFlightTracker::finished(const UpstreamId& upstream, MonotonicTime now)
{
    change(upstream, -1, now);
}

int InFlightTracker::load(const UpstreamView& view) const
{
    const int reported = view.running + view.queued;
    const auto found = m_upstreams.find(view.upstream);
    if (found == m_upstreams.end())
        return reported;
    int load = reported;
    for (auto it = found->second.changes.rbegin(); it != found->second.changes.rend(); ++it) {
        if (it->at < view.reportedAt)
            break;
        load += it->difference;
    }
    const auto& changes = found->second.changes;
    if (changes.empty() || changes.back().at < view.reportedAt + reportTimeout)
        return std::max(load, 0);
    return std::max(load, found->second.inFlight);
}

void InFlightTracker::change(const UpstreamId& upstream, int difference, MonotonicTime now)
{
    Upstream& entry = m_upstreams[upstream];
    entry.inFlight = std::max(0, entry.inFlight + difference);
    entry.changes.push_back({ now, difference });
    while (entry.changes.front().at + maximumReportAge < now)
        entry.changes.pop_front();
}

} // namespace lacewing
