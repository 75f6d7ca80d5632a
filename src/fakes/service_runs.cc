#include "fakes/service_runs.h"

namespace lacewing {

int64_t ServiceRuns::run(const std::string& key, bool hasIdempotencyKey)
{
    const int64_t count = ++m_runs[key];
    ++m_total;
    if (count == 2) {
        ++m_doubled;
        if (hasIdempotencyKey)
            ++m_doubledWithKey;
    }
    return count;
}

nlohmann::json ServiceRuns::show() const
{
    nlohmann::json runs = nlohmann::json::object();
    for (const auto& [key, count] : m_runs)
        runs[key] = count;
    return { { "runs", runs }, { "total", m_total }, { "doubled", m_doubled },
        { "doubled_with_key", m_doubledWithKey } };
}

} // namespace lacewing
