#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_rate.h"
#include "gateway/process_absence.h"
#include "rejection/rejection_pacing.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing::gateway {

/// An upstream's statement that it is leaving, as hosts tell it each other.
struct LeavingStatement {
    UpstreamId upstream;
    /// Start of the process that leaves. A process that has started later isn't leaving because of it.
    int64_t startedAt = 0;
};

/// What an upstream says of its availability in the head of a response.
struct AvailabilityStatement {
    /// The upstream is shutting down and must not get new requests.
    bool isLeaving = false;
    /// Time for which the upstream wants no further requests from this host; stated with a rejection only.
    std::optional<Duration> rest;
    /// The upstream states a rest that is no valid time.
    bool hasUnreadableRest = false;
    /// Rejections that the upstream bears from all hosts together before it fails; stated with a rejection
    /// only.
    std::optional<RequestRate> bearableRejections;

    bool isEmpty() const { return !isLeaving && !rest && !hasUnreadableRest && !bearableRejections; }
};

/// A statement, and the process that has made it.
struct AvailabilityObservation {
    UpstreamId upstream;
    /// Start of the process that the request was sent to.
    int64_t startedAt = 0;
    AvailabilityStatement statement;
    /// When the request was sent, if it was answered with success.
    std::optional<MonotonicTime> succeeded;
};

/// Where a host has learned that an upstream is leaving.
enum class StatementOrigin { Response, Peer };

/// @return the origin's name in snake_case, for logs and metrics.
const char* toString(StatementOrigin origin);

/// What upstreams have said of themselves beside their rows: that they are leaving, or want a rest.
///
/// Load pattern: an upstream begins to leave while the store can't be reached, or its row says so late or
/// never; and upstreams in need turn requests away for a time. Both are known from responses alone.
///
/// A statement holds for one process of the upstream. That it is leaving stays true until the upstream has
/// started anew, whatever its row says and whether or not a later response repeats it. A rest ends by itself.
/// Each response counts by itself, so a later one that names a shorter time, and a success, which may be the
/// response to an earlier request, don't shorten a rest. A long one would keep a sound upstream from callers
/// because of a single response, so during it a few requests are sent as probes, and the success of a probe
/// ends it.
///
/// Has no clock and does no I/O.
class UpstreamAvailability {
public:
    /// Upper bound of a rest; upstreams that name a longer time are asked again after it.
    static constexpr Duration maximumRest = std::chrono::minutes(10);

    /// @param seed should differ between hosts; see RejectionPacing.
    explicit UpstreamAvailability(uint64_t seed = 1)
        : m_pacing(seed)
    {
    }

    /// @return whether this host did not know it.
    bool learnLeaving(const LeavingStatement& statement, StatementOrigin origin, MonotonicTime now);
    /// @param stated time from now for which the upstream wants no requests.
    /// @return the rest that is left if the upstream was not resting before or its rest has become notably
    /// longer since this was last returned; otherwise nothing.
    std::optional<Duration> learnRest(
        const UpstreamId& upstream, int64_t startedAt, Duration stated, MonotonicTime now);

    /// @param startedAt start of the upstream's present process.
    bool isLeaving(const UpstreamId& upstream, int64_t startedAt) const;
    /// @return time since this host has learned that the upstream is leaving; nothing if it isn't known.
    std::optional<Duration> leavingFor(const UpstreamId& upstream, MonotonicTime now) const;
    /// An upstream that bears few rejections has rejected a request of this host or of another one.
    void rejected(const rejection::BrittleRejection& rejection, MonotonicTime now)
    {
        m_pacing.rejected(rejection, now);
    }
    /// @return time until the upstream may get a request from this host; zero if it may get one now.
    Duration restLeft(const UpstreamId& upstream, int64_t startedAt, MonotonicTime now) const;

    /// @return when the upstream's rest ends; nothing if it isn't resting.
    std::optional<MonotonicTime> restEnd(
        const UpstreamId& upstream, int64_t startedAt, MonotonicTime now) const;

    /// Records that a request is sent to an upstream, which is a probe if the upstream is resting.
    void requestSent(const UpstreamId& upstream, MonotonicTime now);
    /// Records that an upstream has answered with success a request that was sent at the given time.
    ///
    /// @return whether that has ended its rest.
    bool requestSucceeded(const UpstreamId& upstream, MonotonicTime sent);

    /// @return all upstreams that are known to be leaving.
    std::vector<LeavingStatement> leaving() const;
    size_t leavingCount() const { return m_leaving.size(); }
    size_t restingCount(MonotonicTime now) const;

    /// Forgets upstreams that have started anew or have long been gone. An upstream whose row is missing for
    /// a while, as after an outage of the store, is remembered.
    ///
    /// @param startedAt the present upstreams and the starts of their processes.
    void retain(const std::map<UpstreamId, int64_t>& startedAt, MonotonicTime now);

private:
    Duration statedRestLeft(const UpstreamId& upstream, int64_t startedAt, MonotonicTime now) const;

    struct Leaving {
        int64_t startedAt = 0;
        StatementOrigin origin = StatementOrigin::Response;
        MonotonicTime learned;
        ProcessAbsence absence;
    };

    struct Rest {
        int64_t startedAt = 0;
        MonotonicTime begin;
        MonotonicTime end;
        /// End that was last reported.
        MonotonicTime reportedEnd;
        int probes = 0;
        /// When the latest probe was sent.
        std::optional<MonotonicTime> probed;
    };

    std::map<UpstreamId, Leaving> m_leaving;
    std::map<UpstreamId, Rest> m_rests;
    rejection::RejectionPacing m_pacing;
};

} // namespace lacewing::gateway
