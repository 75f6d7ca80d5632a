#pragma once

#include "coordination/allotment_limit.h"

#include <map>
#include <vector>

namespace lacewing {

/// What an entry knows about one workspace's buckets at its peers. Estimates are upper bounds but for
/// refunds: the last level heard plus the refill since, less what is being asked for.
class PeerLevelEstimates {
public:
    /// Sets the peers that hold partitions, with their numbers of partitions.
    void setHolders(const std::map<HostId, int>& holders);
    void setLimit(const AllotmentLimit& limit) { m_limit = limit; }

    /// Notes an ask, until heard() or its timeout.
    void recordAsk(const HostId& peer, Tokens amount);
    /// Notes an answer, or that there was none (level 0).
    void recordAnswer(const HostId& peer, Tokens level, MonotonicTime now);

    /// @return the sum of the amounts asked for and not answered.
    Tokens inFlight() const;
    /// @return true if some peer was not heard recently, so that no estimate of its level can be relied on.
    bool hasStale(MonotonicTime now) const;
    /// @return an estimate of what all peers together have at a time.
    Tokens estimate(MonotonicTime time) const;
    /// @return as estimate(), with a guess for peers that were not heard recently.
    Tokens estimateWithDefault(double fullness, MonotonicTime now) const;

    /// Divides a wanted amount over the peers that are worth asking now: few if they have plenty, otherwise
    /// in proportion to their levels. Buckets that are drained evenly lose the least refill at their
    /// capacity.
    ///
    /// @param fullness guess of how full the buckets are of which nothing is known, from 0 to 1.
    /// @param isUrgent ask also for amounts that would normally be left to grow to the usual size of an ask.
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
    /// @return the smallest amount for which a message is worth while.
    Tokens quantum(const PeerLevel& peerLevel) const;

    AllotmentLimit m_limit;
    std::map<HostId, PeerLevel> m_peerLevels;
};

} // namespace lacewing
