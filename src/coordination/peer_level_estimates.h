#pragma once

#include "coordination/quota_limit.h"

#include <map>
#include <vector>

namespace lacewing {

/// Estimates the levels of one workspace's buckets at the peers, and decides which peers to ask for how much.
///
/// Load pattern: demand of a workspace at this daemon that its own partitions can't cover. An estimate is the
/// last reported level plus the refill since, less the amounts asked for. It is an upper bound except for
/// refunds, which may raise a level further.
class PeerLevelEstimates {
public:
    /// Sets the peers that hold partitions, with their numbers of partitions.
    void setHolders(const std::map<HostId, int>& holders);
    void setLimit(const QuotaLimit& limit) { m_limit = limit; }

    /// Records an ask that is in flight until recordAnswer() is called, also for its timeout.
    void recordAsk(const HostId& peer, Tokens amount);
    /// Records an answer, or a timeout as level 0.
    void recordAnswer(const HostId& peer, Tokens level, MonotonicTime now);

    /// @return the sum of the amounts asked for and not answered.
    Tokens inFlight() const;
    /// @return true if the last answer of some peer is too old for a reliable estimate of its level.
    bool hasStale(MonotonicTime now) const;
    /// @return the estimated sum of all peers' levels at a time.
    Tokens estimate(MonotonicTime time) const;
    /// @return as estimate(), but assumes a fullness for peers whose last answer is stale.
    ///
    /// @param fullness assumed level as a share of the burst, from 0 to 1.
    Tokens estimateWithDefault(double fullness, MonotonicTime now) const;

    /// Divides a wanted amount over the peers that are worth asking now: a few if their levels are high,
    /// otherwise all in proportion to their levels. Even draining loses the least refill in buckets that have
    /// reached their capacity.
    ///
    /// @param fullness assumed level of peers whose last answer is stale, as a share of the burst, from 0
    /// to 1.
    /// @param isUrgent also ask for amounts smaller than the usual minimum of an ask.
    std::map<HostId, Tokens> plan(Tokens wanted, double fullness, bool isUrgent, MonotonicTime now) const;

private:
    struct PeerLevel {
        int partitions = 0;
        Tokens level;
        MonotonicTime answeredAt = MonotonicTime::min();
        Tokens inFlight;
    };

    bool isStale(const PeerLevel& peerLevel, MonotonicTime now) const;
    Tokens estimate(const PeerLevel& peerLevel, MonotonicTime time) const;
    Tokens estimateWithDefault(const PeerLevel& peerLevel, double fullness, MonotonicTime now) const;
    /// @return the smallest amount that justifies a message.
    Tokens quantum(const PeerLevel& peerLevel) const;

    QuotaLimit m_limit;
    std::map<HostId, PeerLevel> m_peerLevels;
};

} // namespace lacewing
