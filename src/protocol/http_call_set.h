#pragma once

#include "base/memory_account.h"
#include "protocol/call_ids.h"
#include "transport/http_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lacewing {

/// Calls of one port that are under way. Each collects its whole answer. Calls end without a callback when
/// the set is destroyed.
class HttpCallSet {
public:
    /// Receives the result and the body of the answer.
    using Callback = std::function<void(const HttpClientResult& result, std::string& body)>;
    /// Receives the answer's head, before the callback.
    using HeaderObserver = std::function<void(int status, const HttpHeaders& headers)>;

    /// @param client must outlive the set.
    /// @param callIds names the calls, so that an earlier answer that comes once more is not taken for
    /// theirs; such a call fails as cancelled. Must outlive the set. Null if the server doesn't name calls in
    /// its answers.
    /// @param memory counts the answers; one that doesn't fit is given up, and its call fails as cancelled.
    /// Must outlive the set. Null if nobody counts.
    explicit HttpCallSet(HttpClient& client, CallIds* callIds = nullptr, MemoryAccount* memory = nullptr)
        : m_client(client)
        , m_callIds(callIds)
        , m_memory(memory)
    {
    }

    void send(HttpClientRequest request, Callback callback, HeaderObserver headerObserver = {});

private:
    struct Call {
        explicit Call(MemoryAccount* memory)
            : charge(memory)
        {
        }

        std::unique_ptr<HttpClientCall> call;
        std::string body;
        MemoryCharge charge;
    };

    static void bodyArrived(Call& call, std::string_view bytes);

    HttpClient& m_client;
    CallIds* m_callIds;
    MemoryAccount* m_memory;
    uint64_t m_nextCall = 1;
    std::map<uint64_t, std::unique_ptr<Call>> m_calls;
};

} // namespace lacewing
