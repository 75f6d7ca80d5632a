#pragma once

#include "transport/http_client.h"

#include <cstdint>
#include <string>

namespace lacewing {

/// Header field that names a call to an upstream, in the request and in its answer.
constexpr const char* callIdField = "Lacewing-Call-Id";

/// Gives each call to an upstream an id of its own, also if it repeats an earlier request.
class CallIds {
public:
    /// @param prefix unique to the process, because others may share a connection behind a proxy.
    explicit CallIds(std::string prefix)
        : m_prefix(std::move(prefix))
    {
    }

    std::string next() { return m_prefix + "-" + std::to_string(m_next++); }

private:
    std::string m_prefix;
    uint64_t m_next = 1;
};

/// Tells the answer to a call from the answer to an earlier one that the upstream sends once more on a kept
/// connection.
///
/// @param headers of the answer.
/// @return false unless the answer names the call and no other, or names none on a connection without earlier
/// calls.
inline bool isAnswerToCall(const HttpHeaders& headers, const std::string& callId, const HttpClientCall& call)
{
    if (headers.count(callIdField) == 0)
        return !call.isOnReusedConnection();
    return headers.hasOnly(callIdField, callId);
}

} // namespace lacewing
