#pragma once

#include "base/ids.h"
#include "base/request_rate.h"
#include "gateway/process_absence.h"
#include "warmup/warm_up_limits.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing::gateway {

/// Orders the limits that hosts have learned of one upstream.
using LimitRevision = StrongNumber<struct LimitRevisionTag>;

/// Limit of requests that an upstream has stated, and how long it is cold, as hosts tell it each other.
struct UpstreamLimit {
    UpstreamId upstream;
    /// Start of the upstream's process; a limit does not outlive it.
    int64_t startedAt = 0;
    LimitRevision revision;
    /// Host that observed the limit; orders limits of equal revision.
    HostId observer;
    /// For all hosts together; nothing if the upstream has stopped to state a limit.
    std::optional<RequestRate> rate;
    /// Time from the sending of the message for which the upstream is cold; nothing if it is not known to be.
    std::optional<Duration> coldFor = std::nullopt;

    /// @return whether the upstream has stated a limit or lifted it. Otherwise only the cold time is known.
    bool isStated() const { return revision.value() > 0; }
};

/// What the head of an upstream's response says about a limit and a cold time.
struct LimitObservation {
    UpstreamId upstream;
    int64_t startedAt = 0;
    std::optional<RequestRate> rate;
    /// Whether the absence of a limit means that there is none; an upstream that rejects a request may leave
    /// the limit out.
    bool isConclusive = true;
    /// When the request was sent.
    MonotonicTime requestSent;
    /// Time for which the upstream is still cold, if it states that.
    std::optional<Duration> coldFor = std::nullopt;
};

/// The limits that upstreams state in their responses, agreed on between hosts.
///
/// Load pattern: an upstream in need names a limit, changes it and drops it, and responses through different
/// hosts tell of it at different times, some of them late. Each change gets a revision above the highest
/// known one, and the highest revision holds, whichever way it arrives. No clocks are compared, so a host
/// that was frozen or cut off can't mistake an old limit for a new one. A response to a request that was sent
/// before the known limit was learned may be older than that limit, so it can lower it, but not raise or lift
/// it.
///
/// The limit of a cold upstream, which follows from its rows and the configuration, holds beside the stated
/// one; the lower of both counts.
///
/// Has no clock and does no I/O.
class UpstreamLimits {
public:
    /// @param warmUp the limits of cold upstreams; null if there are none.
    explicit UpstreamLimits(HostId self, const WarmUpLimits* warmUp = nullptr);

    /// @return the new limit to tell the peers, or nothing if the observation changes nothing.
    std::optional<UpstreamLimit> observe(const LimitObservation& observation, MonotonicTime now);
    /// Takes over a limit that a peer has told.
    ///
    /// @return whether it is newer than the known one.
    bool merge(const UpstreamLimit& limit, MonotonicTime now);
    /// @return the limit, or nothing if the upstream takes any number of requests.
    std::optional<RequestRate> rate(const UpstreamId& upstream) const;
    /// @return the limit that the upstream states, or nothing if it states none.
    std::optional<RequestRate> statedRate(const UpstreamId& upstream) const;
    /// @return the last limit that was learned, also if it was lifted; nothing if none was ever stated.
    std::optional<UpstreamLimit> known(const UpstreamId& upstream) const;
    /// @return what to tell a peer of an upstream: the last limit that it stated, and its cold time.
    std::optional<UpstreamLimit> toTell(const UpstreamId& upstream, MonotonicTime now) const;
    /// @return all limits, including those that were lifted.
    std::vector<UpstreamLimit> all() const;
    /// @return what to tell a peer of all upstreams.
    std::vector<UpstreamLimit> allToTell(MonotonicTime now) const;
    /// @return number of upstreams that state a limit.
    size_t limitedCount() const;
    /// Forgets the limits of upstreams that have restarted or have long been gone. An upstream whose entry is
    /// missing for a while, as after an outage of the store, keeps its limit.
    ///
    /// @param startedAt the present upstreams and the starts of their processes.
    void retain(const std::map<UpstreamId, int64_t>& startedAt, MonotonicTime now);

private:
    struct KnownLimit {
        UpstreamLimit limit;
        MonotonicTime learned;
        ProcessAbsence absence;
    };

    HostId m_self;
    const WarmUpLimits* m_warmUp;
    std::map<UpstreamId, KnownLimit> m_known;
};

} // namespace lacewing::gateway
