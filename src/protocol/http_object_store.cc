#include "protocol/http_object_store.h"

#include "protocol/content_hash.h"

namespace lacewing {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(3);
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

} // namespace

struct HttpObjectStore::Call {
    std::unique_ptr<HttpClientCall> call;
    std::string body;
};

HttpObjectStore::HttpObjectStore(HttpClient& client, SocketAddress server)
    : m_client(client)
    , m_server(std::move(server))
{
}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::fetch(ContentHash hash, FetchCallback callback)
{
    send("GET", hash, "",
        [hash, callback = std::move(callback)](const HttpClientResult& result, std::string& body) {
            if (result.error || (result.status != statusOk && result.status != statusNotFound))
                return callback(std::nullopt, ObjectStoreError::Unavailable);
            if (result.status == statusNotFound)
                return callback(std::nullopt, ObjectStoreError::NotFound);
            if (contentHashOf(body) != hash)
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

void HttpObjectStore::send(std::string method, const ContentHash& hash, std::string content,
    std::function<void(const HttpClientResult& result, std::string& body)> callback)
{
    const uint64_t id = m_nextCall++;
    HttpClientRequest request;
    request.server = m_server;
    request.method = std::move(method);
    request.target = "/objects/" + hash.value();
    request.body = std::move(content);
    request.progressTimeout = callTimeout;
    Call& call = *m_calls.emplace(id, std::make_unique<Call>()).first->second;
    HttpClientHandlers handlers;
    handlers.onBody = [&call](std::string_view bytes) { call.body += bytes; };
    handlers.onDone = [this, id, callback = std::move(callback)](const HttpClientResult& result) {
        const auto node = m_calls.extract(id);
        callback(result, node.mapped()->body);
    };
    call.call = m_client.send(std::move(request), std::move(handlers));
}

} // namespace lacewing
