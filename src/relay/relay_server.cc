#include "relay/relay_server.h"

#include "relay/relay_fields.h"
#include "relay/relayed_exchange.h"
#include "transport/event_loop.h"

namespace lacewing::relay {

namespace {

/// The host that has taken a request has checked its size; relays add their own fields.
constexpr size_t maximumHeaderBytes = 128 * 1024;
constexpr size_t maximumBodyBytes = 64 * 1024 * 1024;
/// Part of the memory for messages that bodies of requests may take, so that answers to them find room.
constexpr double requestBodyShare = 0.6;

} // namespace

RelayServer::RelayServer(EventLoop& loop, HttpClient& client, MemoryAccount& memory, Handlers handlers)
    : m_loop(loop)
    , m_client(client)
    , m_memory(memory)
    , m_handlers(std::move(handlers))
{
}

RelayServer::~RelayServer() = default;

bool RelayServer::listen(const SocketAddress& address, std::string& error)
{
    HttpServerOptions options;
    options.address = address;
    options.maximumHeaderBytes = maximumHeaderBytes;
    options.maximumBodyBytes = maximumBodyBytes;
    options.memory = &m_memory;
    options.bodyShare = requestBodyShare;
    m_server = HttpServer::listen(
        m_loop, options, [this](std::shared_ptr<HttpExchange> exchange) { accept(std::move(exchange)); },
        [](const std::string&) {}, error);
    return m_server != nullptr;
}

void RelayServer::beginDrain()
{
    if (m_server)
        m_server->beginDrain();
}

void RelayServer::accept(std::shared_ptr<HttpExchange> exchange)
{
    const HttpHeaders& headers = exchange->headers();
    const bool isAuthorized = m_handlers.isAuthorized(headers.find(tokenField).value_or(""));
    const auto target = isAuthorized
        ? m_handlers.findTarget(UpstreamId(headers.find(upstreamField).value_or("")))
        : std::optional<RelayTarget>();
    const auto finished = [this](RelayedExchange* ended, const char* outcome) {
        const auto node = m_exchanges.extract(ended);
        m_handlers.onEnded(outcome);
        // Destroyed in the next round of the loop, since one of its functions is still running.
        m_loop.runAfter(Duration::zero(), [kept = node.mapped()] {});
    };
    const auto relayed
        = std::make_shared<RelayedExchange>(m_client, m_handlers, std::move(exchange), finished);
    m_exchanges.emplace(relayed.get(), relayed);
    if (target)
        relayed->start(*target);
    else
        relayed->refuse(isAuthorized ? statusUnavailable : statusForbidden);
}

} // namespace lacewing::relay
