#include "fakes/weight_store_loader.h"

#include "fakes/json_fields.h"

namespace lacewing {

namespace {

// A load takes 0.25 s, and several seconds if very many are in flight.
constexpr Duration loadTimeout = std::chrono::seconds(30);

std::optional<std::string> errorOf(const HttpClientResult& result)
{
    if (result.error)
        return std::string("weight store: ") + toString(*result.error);
    if (result.status != 200)
        return "weight store: status " + std::to_string(result.status);
    return std::nullopt;
}

} // namespace

WeightStoreLoader::WeightStoreLoader(EventLoop& loop, SocketAddress weights)
    : m_loop(loop)
    , m_weights(std::move(weights))
    , m_client(HttpClient::create(loop))
{
}

void WeightStoreLoader::load(const std::string& adapter, const std::string& version, Callback done)
{
    HttpClientRequest request;
    request.server = m_weights;
    request.method = "POST";
    request.target = "/weights/load";
    request.headers.add("Content-Type", "application/json");
    request.body = toText({ { "adapter", adapter }, { "version", version } });
    request.progressTimeout = loadTimeout;
    const uint64_t call = m_nextCall++;
    HttpClientHandlers handlers;
    handlers.onDone = [this, call, done = std::move(done)](const HttpClientResult& result) {
        // The call must not be destroyed within its own callback.
        m_loop.runAfter(Duration(0), [this, call] { m_calls.erase(call); });
        done(errorOf(result));
    };
    m_calls[call] = m_client->send(std::move(request), std::move(handlers));
}

} // namespace lacewing
