#include "protocol/http_object_store.h"

#include "base/digest.h"

namespace lacewing {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(3);
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

} // namespace

HttpObjectStore::HttpObjectStore(HttpClient& client, CallIds& callIds, SocketAddress server)
    : m_calls(client, &callIds)
    , m_server(std::move(server))
{
}

void HttpObjectStore::fetch(ContentHash hash, FetchCallback callback)
{
    send("GET", hash, "",
        [hash, callback = std::move(callback)](const HttpClientResult& result, std::string& body) {
            if (result.error || (result.status != statusOk && result.status != statusNotFound))
                return callback(std::nullopt, ObjectStoreError::Unavailable);
            if (result.status == statusNotFound)
                return callback(std::nullopt, ObjectStoreError::NotFound);
            if (sha256Hex(body) != hash.value())
                return callback(std::nullopt, ObjectStoreError::Corrupt);
            callback(std::move(body), std::nullopt);
        });
}

void HttpObjectStore::store(ContentHash hash, std::string content, StoreCallback callback)
{
    send("PUT", hash, std::move(content),
        [callback = std::move(callback)](const HttpClientResult& result, std::string&) {
            if (result.error || result.status != statusOk)
                return callback(ObjectStoreError::Unavailable);
            callback(std::nullopt);
        });
}

void HttpObjectStore::send(
    std::string method, const ContentHash& hash, std::string content, HttpCallSet::Callback callback)
{
    HttpClientRequest request;
    request.server = m_server;
    request.method = std::move(method);
    request.target = "/objects/" + hash.value();
    request.body = std::move(content);
    request.progressTimeout = callTimeout;
    m_calls.send(std::move(request), std::move(callback));
}

} // namespace lacewing
