#pragma once

#include "protocol/http_call_set.h"
#include "state/object_store.h"

namespace lacewing {

/// The platform's object store over the HTTP protocol of docs/upstream-protocol.md.
class HttpObjectStore : public ObjectStore {
public:
    /// @param client, callIds must outlive the store.
    HttpObjectStore(HttpClient& client, CallIds& callIds, SocketAddress server);

    void fetch(ContentHash hash, FetchCallback callback) override;
    void store(ContentHash hash, std::string content, StoreCallback callback) override;

private:
    void send(
        std::string method, const ContentHash& hash, std::string content, HttpCallSet::Callback callback);

    HttpCallSet m_calls;
    SocketAddress m_server;
};

} // namespace lacewing
