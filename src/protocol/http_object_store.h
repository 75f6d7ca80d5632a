#pragma once

#include "state/object_store.h"
#include "transport/http_client.h"

#include <map>

namespace lacewing {

/// The platform's object store over the HTTP protocol of docs/upstream-protocol.md.
class HttpObjectStore : public ObjectStore {
public:
    /// @param client must outlive the store.
    HttpObjectStore(HttpClient& client, SocketAddress server);
    ~HttpObjectStore() override;

    void fetch(ContentHash hash, FetchCallback callback) override;
    void store(ContentHash hash, std::string content, StoreCallback callback) override;

private:
    struct Call;

    void send(std::string method, const ContentHash& hash, std::string content,
        std::function<void(const HttpClientResult& result, std::string& body)> callback);

    HttpClient& m_client;
    SocketAddress m_server;
    uint64_t m_nextCall = 1;
    std::map<uint64_t, std::unique_ptr<Call>> m_calls;
};

} // namespace lacewing
