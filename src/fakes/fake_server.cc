#include "fakes/fake_server.h"

#include "base/log.h"
#include "fakes/json_fields.h"
#include "fakes/silenceable_exchange.h"

#include <unistd.h>

#include <utility>

namespace lacewing {

namespace {

constexpr double longestRefusal = 600'000;

} // namespace

const char* const connectionFaultsHelp
    = "  silent                   flag: nothing is sent on any connection; connections that were open "
      "meanwhile\n"
      "                           stay silent for good\n"
      "  silent_open_connections  true: connections that are open now stay silent for good, new ones work\n"
      "  refuse_new_ms            milliseconds for which new connections are refused, from now\n"
      "  crash                    true: exits at once with status 1, without an answer\n"
      "/control and /metrics are answered on silent connections too.";

FakeServer::FakeServer(
    EventLoop& loop, FaultSettings& faults, std::function<std::string()> metrics, Handler handler)
    : m_loop(loop)
    , m_faults(faults)
    , m_metrics(std::move(metrics))
    , m_handler(std::move(handler))
    , m_held(loop)
{
    addFaults();
}

void FakeServer::addFaults()
{
    m_faults.addFlag("silent", m_isSilent);
    m_faults.onChange([this] { applySilence(); });
    m_faults.addAction("silent_open_connections", 1, [this](double) { silenceOpenConnections(); });
    m_faults.addAction("refuse_new_ms", longestRefusal,
        [this](double value) { refuseNewFor(Duration(static_cast<int64_t>(value * 1e6))); });
    m_faults.addAction("crash", 1, [](double) { _exit(1); });
}

bool FakeServer::listen(const SocketAddress& address, std::string& error)
{
    m_options.address = address;
    // A silent connection must stay open longer than any timeout of its client.
    m_options.readTimeout = std::chrono::minutes(10);
    return startGroup(error);
}

bool FakeServer::startGroup(std::string& error)
{
    auto group = std::make_unique<Group>();
    group->silent = std::make_shared<bool>(m_isSilent);
    Group& accepted = *group;
    group->server = HttpServer::listen(
        m_loop, m_options,
        [this, &accepted](const std::shared_ptr<HttpExchange>& exchange) { serve(accepted, exchange); },
        [](const std::string& reason) {
            LogEvent(LogLevel::Warning, "request_rejected").with("reason", reason);
        },
        error);
    if (!group->server)
        return false;
    // Later groups must get the same port.
    m_options.address = group->server->address();
    m_groups.push_back(std::move(group));
    return true;
}

void FakeServer::resumeListening()
{
    std::string error;
    if (!startGroup(error))
        LogEvent(LogLevel::Error, "listen_failed").with("address", address().text()).with("reason", error);
}

void FakeServer::applySilence()
{
    const bool wasSilent = *m_groups.back()->silent;
    if (m_isSilent == wasSilent)
        return;
    if (m_isSilent)
        *m_groups.back()->silent = true;
    else
        silenceOpenConnections();
}

void FakeServer::silenceOpenConnections()
{
    for (const auto& group : m_groups)
        *group->silent = true;
    m_groups.back()->server->stopListening();
    if (!isRefusing())
        resumeListening();
}

void FakeServer::refuseNewFor(Duration time)
{
    if (isRefusing())
        m_loop.cancel(m_refusalTimer);
    else
        m_groups.back()->server->stopListening();
    m_refusalTimer = m_loop.runAfter(time, [this] {
        m_refusalTimer = 0;
        resumeListening();
    });
}

void FakeServer::serve(Group& group, const std::shared_ptr<HttpExchange>& exchange)
{
    if (exchange->path() == "/control")
        return serveControl(*exchange);
    if (exchange->path() == "/metrics")
        return exchange->reply(200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics());
    if (*group.silent)
        return m_held.hold(exchange);
    m_handler(std::make_shared<SilenceableExchange>(exchange, group.silent, m_held));
}

void FakeServer::serveControl(HttpExchange& exchange)
{
    const HttpHeaders headers { { "Content-Type", "application/json" } };
    if (exchange.method() == "POST") {
        const auto faults = nlohmann::json::parse(exchange.body(), nullptr, false);
        if (const auto error = m_faults.apply(faults))
            return exchange.reply(400, headers, errorBody("invalid_request", *error));
        LogEvent(LogLevel::Info, "faults_changed").with("faults", toText(m_faults.show()));
    } else if (exchange.method() != "GET") {
        return exchange.reply(405, headers, errorBody("method_not_allowed", "use GET or POST"));
    }
    exchange.reply(200, headers, toText(m_faults.show()));
}

} // namespace lacewing
