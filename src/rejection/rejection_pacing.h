#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/request_rate.h"

#include <map>

namespace lacewing::rejection {

/// An upstream has rejected a request for want of room, and has said how many rejections it bears.
struct BrittleRejection {
    UpstreamId upstream;
    /// Start of the upstream's process.
    int64_t startedAt = 0;
    /// Rejections that the upstream bears from all hosts together.
    RequestRate bearable { 0 };
};

/// Paces this host's requests to upstreams that fail if they have to reject too many.
///
/// Load pattern: a service is overloaded, and its upstreams fail one after the other, since each that has
/// failed leaves its load to the rest. All hosts hear of each rejection and lower their rates by the same
/// factor; without rejections the rates grow steadily. Growth and factor are such that the rejections of an
/// upstream settle at a part of what it bears, whatever the number of hosts and the room of the upstream.
///
/// Has no clock and does no I/O.
class RejectionPacing {
public:
    /// @param seed should differ between hosts, so that they don't send at the same time.
    explicit RejectionPacing(uint64_t seed)
        : m_random(seed)
    {
    }

    /// This host has sent a request to an upstream.
    void sent(const UpstreamId& upstream, MonotonicTime now);
    /// This host or another one has been rejected.
    void rejected(const BrittleRejection& rejection, MonotonicTime now);
    /// @param startedAt start of the upstream's present process; a later one is not paced.
    /// @return time until this host may send the next request to an upstream.
    Duration waitFor(const UpstreamId& upstream, int64_t startedAt, MonotonicTime now) const;
    /// Forgets upstreams that are not paced any more.
    void retain(MonotonicTime now);

private:
    /// Requests of this host, of which earlier ones count less.
    struct RecentSends {
        double weight = 0;
        MonotonicTime last;
    };

    struct Pace {
        int64_t startedAt = 0;
        RequestRate bearable { 0 };
        /// Rate of this host at the last rejection.
        RequestRate rate { 0 };
        MonotonicTime lastRejection;
        /// When the next request is due at an even rate.
        MonotonicTime next;
    };

    static double weightAt(const RecentSends& sends, MonotonicTime now);
    /// @return requests a second that this host has sent to an upstream of late.
    double recentRate(const UpstreamId& upstream, MonotonicTime now) const;
    /// @return the time until the next request, spread around an even interval.
    Duration spread(Duration interval);
    static RequestRate rateAt(const Pace& pace, MonotonicTime now);

    Random m_random;
    std::map<UpstreamId, RecentSends> m_sends;
    std::map<UpstreamId, Pace> m_paces;
};

} // namespace lacewing::rejection
