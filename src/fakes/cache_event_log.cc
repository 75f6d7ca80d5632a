#include "fakes/cache_event_log.h"

#include "fakes/content_hash.h"

namespace lacewing {

using nlohmann::json;

namespace {

// Older events are forgotten, which a reader sees as a gap.
constexpr size_t maximumEvents = 4096;

} // namespace

CacheEventLog::CacheEventLog(Scheduler& scheduler, Duration lag, double gapProbability, uint64_t seed)
    : m_scheduler(scheduler)
    , m_lag(lag)
    , m_gapProbability(gapProbability)
    , m_random(seed)
{
}

void CacheEventLog::add(
    const std::string& kind, const std::string& identity, const std::vector<uint64_t>& blocks)
{
    if (blocks.empty())
        return;
    ++m_lastSequence;
    if (m_random.chance(m_gapProbability))
        return;
    json ids = json::array();
    for (const uint64_t block : blocks)
        ids.push_back(hexOf(block));
    m_events.push_back({ m_lastSequence, m_scheduler.now() + m_lag,
        { { "sequence", m_lastSequence }, { "kind", kind }, { "identity", identity }, { "blocks", ids } } });
    if (m_events.size() > maximumEvents)
        m_events.pop_front();
}

json CacheEventLog::show(int64_t after) const
{
    json events = json::array();
    int64_t last = after;
    for (const Event& event : m_events) {
        if (event.published > m_scheduler.now())
            break;
        if (event.sequence <= after)
            continue;
        events.push_back(event.content);
        last = event.sequence;
    }
    return { { "events", events }, { "last_sequence", last } };
}

} // namespace lacewing
