#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "gateway/call_attributes.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing::gateway {

/// An upstream of a plain service that may get a request.
struct PickCandidate {
    UpstreamId upstream;
    int slots = 1;
    bool isInCallersDataCentre = false;
};

/// How a request to an upstream ended, as far as it tells of the upstream's health.
enum class ExchangeOutcome {
    Answered,
    /// The upstream's own failure.
    Failed,
    /// It had no room.
    Rejected,
    /// No connection, no answer or a broken one.
    Unreachable,
};

/// Chooses upstreams of plain services by load and by how their requests have ended.
///
/// Load pattern: some upstreams fail part of their requests while their health check passes, stall, or are
/// short of slots. Requests go to the emptier of two upstreams drawn at random, counting what this host has
/// under way and what the upstream reports; one that fails more than the others gets fewer requests, but
/// never none, so that its recovery is seen and a failure of all of them does not take all of them out.
class UpstreamPicker {
public:
    explicit UpstreamPicker(uint64_t seed)
        : m_random(seed)
    {
    }

    /// @param excluded upstreams that the request has been sent to.
    /// @return nothing if there is no other upstream.
    std::optional<UpstreamId> pick(const std::vector<PickCandidate>& candidates,
        const std::set<UpstreamId>& excluded, MonotonicTime now);

    void started(const UpstreamId& upstream);
    void ended(const UpstreamId& upstream, ExchangeOutcome outcome, MonotonicTime now);
    void loadReported(const UpstreamId& upstream, const ReportedLoad& load, MonotonicTime now);
    /// The upstream said how long it keeps idle connections.
    void keepAliveReported(const UpstreamId& upstream, Duration keepAlive);
    /// A request that was sent on a kept connection was lost.
    void reusedConnectionLost(const UpstreamId& upstream);
    /// @return how long a connection may have been idle to be used once more.
    Duration idleAge(const UpstreamId& upstream) const;
    /// Forgets upstreams that are gone.
    void retain(const std::set<UpstreamId>& upstreams);
    /// @return whether requests got no answer lately.
    bool isSuspect(const UpstreamId& upstream, MonotonicTime now) const;

private:
    struct Record {
        int inFlight = 0;
        /// Moving share of requests that failed.
        double failureRate = 0;
        /// Moving share of requests that got no answer.
        double noAnswerRate = 0;
        MonotonicTime lastOutcome;
        std::optional<ReportedLoad> load;
        MonotonicTime loadTime;
        Duration idleAge = std::chrono::milliseconds(1500);
    };

    double cost(const PickCandidate& candidate, MonotonicTime now) const;

    Random m_random;
    std::map<UpstreamId, Record> m_records;
};

} // namespace lacewing::gateway
