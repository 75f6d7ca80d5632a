#pragma once

#include "base/ids.h"
#include "speed/slowdown_estimate.h"

#include <map>
#include <optional>
#include <set>

namespace lacewing::speed {

/// Speed of an engine as its owner has learned and published it.
struct LearnedSpeed {
    /// Prompt tokens per millisecond without a slowdown.
    double usualRate = 0;
    double meanSlowdown = 1;
};

/// What this host knows of the speeds of upstreams: how they are slowed now, how fast they usually are, and
/// what owners have published of their engines.
///
/// Load pattern: upstreams of one service differ for good by more than a factor of two, and are slowed for
/// some hundred milliseconds at a time beside that.
///
/// Has no clock and does no I/O.
class UpstreamSpeeds {
public:
    /// Records a figure that an upstream has reported.
    ///
    /// @return whether the upstream stated no figure before.
    bool reported(const UpstreamId& upstream, double slowdown, MonotonicTime now);
    /// Records how long an upstream took for a request. Ignored for upstreams that report no figures.
    void runEnded(const UpstreamId& upstream, Duration duration, MonotonicTime now);
    /// Records what an engine's owner has published, for a host that takes the engine over.
    void published(const UpstreamId& engine, const LearnedSpeed& speed) { m_published[engine] = speed; }
    std::optional<LearnedSpeed> lastPublished(const UpstreamId& engine) const;

    /// @return whether an upstream states how much it is slowed.
    bool isStated(const UpstreamId& upstream, MonotonicTime now) const;
    /// @return the present slowdown of an upstream; 1 if it states none.
    double slowdown(const UpstreamId& upstream, MonotonicTime now) const;
    /// @return the logarithm of the usual time for a request, with slowdowns divided out; nothing before
    /// enough requests have been measured.
    std::optional<double> usualTime(const UpstreamId& upstream) const;

    /// Mean and maximum of the present slowdowns of upstreams that state one; 1 if none does.
    struct Overview {
        double mean = 1;
        double maximum = 1;
    };
    Overview overview(MonotonicTime now) const;
    /// Drops the records of all other upstreams.
    void retain(const std::set<UpstreamId>& upstreams);

private:
    struct Record {
        SlowdownEstimate slowdown;
        /// Moving average of the logarithm of request times in seconds, with slowdowns divided out.
        double usualTime = 0;
        int runs = 0;
    };

    std::map<UpstreamId, Record> m_records;
    std::map<UpstreamId, LearnedSpeed> m_published;
};

} // namespace lacewing::speed
