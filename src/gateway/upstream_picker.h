#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "gateway/call_attributes.h"
#include "speed/upstream_speeds.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing::gateway {

/// An upstream of a service without engines that may get a request.
struct PickCandidate {
    UpstreamId upstream;
    int slots = 1;
    bool isInCallersDataCentre = false;
};

/// Outcome of a request to an upstream, as a signal of the upstream's health.
enum class ExchangeOutcome {
    Answered,
    /// The upstream responded with a server error.
    Failed,
    /// The upstream had no capacity and did not run the request.
    Rejected,
    /// No connection, no response, or an incomplete response.
    Unreachable,
};

/// Balances requests over the upstreams of services without engines, by load and failure rate.
///
/// Load pattern: some upstreams fail part of their requests while their health check passes, stall, or run
/// out of slots. Of two upstreams chosen at random, the less loaded one is picked (power of two choices), by
/// the requests that this host has in flight and the load that the upstream reports. An upstream that fails
/// more often gets fewer requests but is never excluded, so that its recovery is noticed and a failure of all
/// upstreams does not exclude all of them. If upstreams state how much they are slowed, the load per slot,
/// including the new request, is multiplied by the time that a request takes there, within bounds.
class UpstreamPicker {
public:
    explicit UpstreamPicker(uint64_t seed)
        : m_random(seed)
    {
    }

    /// @param excluded upstreams that the request has already been sent to.
    /// @return nothing if no candidate is left.
    std::optional<UpstreamId> pick(const std::vector<PickCandidate>& candidates,
        const std::set<UpstreamId>& excluded, MonotonicTime now);

    void started(const UpstreamId& upstream);
    void ended(const UpstreamId& upstream, ExchangeOutcome outcome, MonotonicTime now);
    /// @return whether the upstream states for the first time how much it is slowed.
    bool loadReported(const UpstreamId& upstream, const ReportedLoad& load, MonotonicTime now);
    speed::UpstreamSpeeds& speeds() { return m_speeds; }
    const speed::UpstreamSpeeds& speeds() const { return m_speeds; }
    /// @param keepAlive time for which the upstream keeps idle connections open.
    void keepAliveReported(const UpstreamId& upstream, Duration keepAlive);
    /// Records that a request was lost with its connection before a response arrived, and shortens idleAge().
    void reusedConnectionLost(const UpstreamId& upstream);
    /// @return the maximum idle time of a connection that may be reused.
    Duration idleAge(const UpstreamId& upstream) const;
    /// Drops the records of all other upstreams, except those with requests in flight.
    void retain(const std::set<UpstreamId>& upstreams);
    /// @return whether a high share of recent requests got no response.
    bool isSuspect(const UpstreamId& upstream, MonotonicTime now) const;

private:
    struct Record {
        int inFlight = 0;
        /// Exponential moving average of requests that failed, from 0 to 1.
        double failureRate = 0;
        /// Exponential moving average of requests that got no response, from 0 to 1.
        double noAnswerRate = 0;
        MonotonicTime lastOutcome;
        std::optional<ReportedLoad> load;
        MonotonicTime loadTime;
        Duration idleAge = std::chrono::milliseconds(1500);
    };

    /// What the cost of an upstream takes into account beside its load, if upstreams of the service state how
    /// much they are slowed.
    struct SpeedBasis {
        bool isStated = false;
        /// Mean of the logarithms of the upstreams' usual times.
        double usualTime = 0;
    };

    SpeedBasis speedBasis(const std::vector<const PickCandidate*>& candidates, MonotonicTime now) const;
    /// @return the time that a request takes at an upstream, in multiples of the mean of the service.
    double timeFactor(const UpstreamId& upstream, const SpeedBasis& basis, MonotonicTime now) const;
    double cost(const PickCandidate& candidate, const SpeedBasis& basis, MonotonicTime now) const;

    Random m_random;
    speed::UpstreamSpeeds m_speeds;
    std::map<UpstreamId, Record> m_records;
};

} // namespace lacewing::gateway
