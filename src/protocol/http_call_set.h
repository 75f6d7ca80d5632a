#pragma once

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

    /// @param client must outlive the set.
    explicit HttpCallSet(HttpClient& client)
        : m_client(client)
    {
    }

    void send(HttpClientRequest request, Callback callback);

private:
    struct Call {
        std::unique_ptr<HttpClientCall> call;
        std::string body;
    };

    HttpClient& m_client;
    uint64_t m_nextCall = 1;
    std::map<uint64_t, std::unique_ptr<Call>> m_calls;
};

} // namespace lacewing
