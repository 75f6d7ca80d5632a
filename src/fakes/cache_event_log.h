#pragma once

#include "base/random.h"
#include "base/scheduler.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace lacewing {

/// The prefix cache events that an engine publishes: late, and with gaps in the sequence numbers.
class CacheEventLog {
public:
    /// @param scheduler must outlive the log.
    /// @param gapProbability share of the events that are never published.
    CacheEventLog(Scheduler& scheduler, Duration lag, double gapProbability, uint64_t seed);

    /// @param kind "stored" or "evicted".
    /// @param identity "adapter@version"; empty for evicted blocks, which may be of several adapters.
    void add(const std::string& kind, const std::string& identity, const std::vector<uint64_t>& blocks);

    /// @return the events with a sequence number above `after`: {"events":[{"sequence","kind","identity",
    /// "blocks"}],"last_sequence"}.
    nlohmann::json show(int64_t after) const;

private:
    struct Event {
        int64_t sequence;
        MonotonicTime published;
        nlohmann::json content;
    };

    Scheduler& m_scheduler;
    Duration m_lag;
    double m_gapProbability;
    Random m_random;
    int64_t m_lastSequence = 0;
    std::deque<Event> m_events;
};

} // namespace lacewing
