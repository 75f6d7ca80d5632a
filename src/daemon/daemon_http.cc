#include "daemon/daemon_http.h"

#include "daemon/daemon.h"
#include "protocol/caller_answer.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr std::string_view operatorPrefix = "/operator/v1/";
const HttpHeaders jsonHeaders { { "Content-Type", "application/json" } };

void replyJson(HttpExchange& exchange, int status, const Json& json)
{
    exchange.reply(status, jsonHeaders, json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void replyError(HttpExchange& exchange, int status, std::string_view code, std::string_view message)
{
    exchange.reply(status, jsonHeaders, formatError(code, message, Outcome::RefusedNotRun));
}

/// @return the value of a query parameter, or "". It isn't percent-decoded, because ids need no escapes.
std::string queryValue(const std::string& query, const std::string& name)
{
    size_t start = 0;
    while (start < query.size()) {
        const size_t end = std::min(query.find('&', start), query.size());
        const std::string part = query.substr(start, end - start);
        if (part.compare(0, name.size() + 1, name + "=") == 0)
            return part.substr(name.size() + 1);
        start = end + 1;
    }
    return "";
}

OperatorSubmitAnswer submitResponseOf(const SubmitResult& result)
{
    OperatorSubmitAnswer answer;
    answer.code = toString(result.status);
    answer.revision = result.revision;
    answer.message = result.reason;
    answer.changes = result.changes;
    for (const ConfigurationProblem& problem : result.problems)
        answer.problems.push_back(problem.text());
    return answer;
}

const char* stateName(const UpstreamView& view)
{
    if (view.state == UpstreamState::Draining)
        return "leaving";
    return view.weight > 0 ? "live" : "ejected";
}

} // namespace

void DaemonHttp::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const std::string& path = exchange->path();
    if (path == "/healthz")
        return exchange->reply(statusOk, { { "Content-Type", "text/plain" } }, "ok\n");
    if (path == "/readyz") {
        const bool isReady = m_daemon.isReady();
        return exchange->reply(isReady ? statusOk : statusUnavailable, { { "Content-Type", "text/plain" } },
            isReady ? "ready\n" : "not ready\n");
    }
    if (path == "/metrics") {
        m_daemon.updateGauges();
        return exchange->reply(
            statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_daemon.m_metrics.text());
    }
    if (path == "/v1/hosts")
        return sendHosts(*exchange);
    if (path.compare(0, operatorPrefix.size(), operatorPrefix) == 0)
        return handleOperator(exchange);
    m_daemon.m_entries.handle(exchange);
}

void DaemonHttp::sendHosts(HttpExchange& exchange)
{
    const std::string asked = queryValue(exchange.query(), "dataCentre");
    const DataCentreId dataCentre = asked.empty() ? m_daemon.m_settings.dataCentre : DataCentreId(asked);
    Json hosts = Json::array();
    for (const RankedHost& host : m_daemon.m_ranking.rank(dataCentre)) {
        hosts.push_back({ { "host", host.host.value() }, { "address", host.address },
            { "dataCentre", host.dataCentre.value() }, { "weight", host.weight } });
    }
    replyJson(exchange, statusOk,
        { { "hosts", std::move(hosts) },
            { "lifetimeSeconds", m_daemon.m_settings.hostsLifetime.count() / 1000.0 } });
}

bool DaemonHttp::isOperator(const HttpExchange& exchange) const
{
    const std::string expected = "Bearer " + m_daemon.m_settings.operatorSecret;
    const std::string presented = exchange.headers().find("Authorization").value_or("");
    return presented.size() == expected.size()
        && CRYPTO_memcmp(presented.data(), expected.data(), expected.size()) == 0;
}

void DaemonHttp::handleOperator(const std::shared_ptr<HttpExchange>& exchange)
{
    if (!isOperator(*exchange)) {
        ++m_daemon.m_metrics.counter("lacewing_operator_rejections_total");
        return replyError(
            *exchange, statusUnauthorized, "unauthorized", "present the operator secret as bearer token");
    }
    const std::string what = exchange->path().substr(operatorPrefix.size());
    if (what == "status" && exchange->method() == "GET")
        return sendStatus(*exchange);
    if (what == "configuration" && exchange->method() == "GET")
        return sendConfiguration(*exchange);
    if (what == "configuration" && exchange->method() == "POST")
        return submit(exchange);
    replyError(*exchange, statusNotFound, "not_found", "no such operator call");
}

std::vector<OperatorHostStatus> DaemonHttp::hostStatus() const
{
    const LocalStatus status = m_daemon.m_member.status();
    OperatorHostStatus self;
    self.host = m_daemon.m_settings.host;
    self.dataCentre = m_daemon.m_settings.dataCentre;
    self.address = m_daemon.peerAddress().text();
    self.link = "self";
    self.state = toString(status.state);
    self.incarnation = m_daemon.m_member.session().incarnation();
    self.revision = status.revision;
    self.headAgeMs = headAgeMs();
    self.tableUp = m_daemon.m_configurations.tableUp();
    self.load = status.load;
    std::vector<OperatorHostStatus> hosts { self };
    for (const auto& [host, peer] : m_daemon.m_member.membership().peers()) {
        OperatorHostStatus other { host, peer.dataCentre, peer.address, toString(peer.state),
            toString(peer.daemonState), peer.incarnation, peer.revision, std::nullopt, peer.tableUp,
            peer.load };
        if (peer.state == PeerState::Alive)
            other.headAgeMs = peer.headAgeMs;
        hosts.push_back(std::move(other));
    }
    return hosts;
}

std::vector<OperatorUpstreamStatus> DaemonHttp::upstreamStatus() const
{
    std::vector<OperatorUpstreamStatus> upstreams;
    for (const UpstreamView& view : m_daemon.m_router.views()) {
        OperatorUpstreamStatus status;
        status.upstream = view.upstream;
        status.state = stateName(view);
        status.owner = view.owner;
        status.fencingNumber = m_daemon.m_router.fencingNumber(view.upstream);
        status.running = view.running;
        status.queued = view.queued;
        upstreams.push_back(std::move(status));
    }
    return upstreams;
}

std::optional<int64_t> DaemonHttp::headAgeMs() const
{
    const auto age = m_daemon.m_configurations.headAge();
    return age ? std::optional(toMilliseconds(*age)) : std::nullopt;
}

void DaemonHttp::sendStatus(HttpExchange& exchange)
{
    const ConfigurationStore& store = m_daemon.m_configurations;
    OperatorStatus status;
    status.host = m_daemon.m_settings.host;
    status.version = LACEWING_VERSION;
    status.revision = store.revision();
    status.hash = store.hash();
    status.headAgeMs = headAgeMs();
    status.tableUp = store.tableUp();
    status.keyedRoutesOpen = store.keyedRoutesOpen();
    status.sessionValid = m_daemon.m_member.session().isValid();
    status.hosts = hostStatus();
    status.upstreams = upstreamStatus();
    exchange.reply(statusOk, jsonHeaders, OperatorApi::encode(status));
}

void DaemonHttp::sendConfiguration(HttpExchange& exchange)
{
    const ConfigurationStore& store = m_daemon.m_configurations;
    OperatorConfiguration answer { store.configuration(), store.hash() };
    answer.configuration.revision = store.revision();
    exchange.reply(statusOk, jsonHeaders, OperatorApi::encode(answer));
}

void DaemonHttp::submit(const std::shared_ptr<HttpExchange>& exchange)
{
    OperatorApi codec;
    const auto submitted = codec.decodeSubmitRequest(exchange->body());
    if (!submitted)
        return replyError(*exchange, statusBadRequest, "invalid_request", codec.lastError());
    SubmitRequest request;
    request.configuration = submitted->configuration;
    request.expectedRevision = submitted->expectedRevision;
    request.sessionCondition = [this]() -> std::optional<TableCondition> {
        SessionManager& session = m_daemon.m_member.session();
        const auto version = session.confirmedVersion();
        if (!session.isValid() || !version)
            return std::nullopt;
        return TableCondition { sessionKey(m_daemon.m_settings.host), *version };
    };
    m_daemon.m_configurations.submit(std::move(request), [exchange](const SubmitResult& result) {
        const OperatorSubmitAnswer answer = submitResponseOf(result);
        exchange->reply(answer.httpStatus(), jsonHeaders, OperatorApi::encode(answer));
    });
}

} // namespace lacewing
