#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace lacewing {

/// Counts how often each call of a plain service was run.
class ServiceRuns {
public:
    /// @param key identifies the call.
    /// @param hasIdempotencyKey false if the key was derived from the content of the call.
    /// @return how often the call was run, with this run.
    int64_t run(const std::string& key, bool hasIdempotencyKey);

    /// @return {"runs":{key:count},"total","doubled","doubled_with_key"}. "doubled" counts the calls that ran
    /// more than once, "doubled_with_key" those among them that carried an Idempotency-Key.
    nlohmann::json show() const;

private:
    std::map<std::string, int64_t> m_runs;
    int64_t m_total = 0;
    int64_t m_doubled = 0;
    int64_t m_doubledWithKey = 0;
};

} // namespace lacewing
