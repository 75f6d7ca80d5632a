#include "daemon/daemon_http.h"

#include "daemon/daemon.h"
#include "protocol/caller_answer.h"
#include "protocol/configuration_json.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;
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

/// @return the value of a query parameter, without percent-decoding; ids need none.
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

int httpStatus(SubmitResult::Status status)
{
    switch (status) {
    case SubmitResult::Status::Accepted:
        return statusOk;
    case SubmitResult::Status::Conflict:
        return statusConflict;
    case SubmitResult::Status::Invalid:
        return statusUnprocessable;
    case SubmitResult::Status::NoSession:
    case SubmitResult::Status::Unavailable:
    case SubmitResult::Status::Unconfirmed:
    case SubmitResult::Status::Unknown:
        return statusUnavailable;
    }
    return statusUnavailable;
}

Json submitAnswer(const SubmitResult& result)
{
    Json changes = Json::array();
    for (const ConfigurationChange& change : result.changes)
        changes.push_back(change.text());
    Json problems = Json::array();
    for (const ConfigurationProblem& problem : result.problems)
        problems.push_back(problem.text());
    return Json { { "status", toString(result.status) }, { "revision", result.revision.value() },
        { "changes", std::move(changes) }, { "problems", std::move(problems) }, { "reason", result.reason } };
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
        return answerHosts(*exchange);
    if (path.compare(0, operatorPrefix.size(), operatorPrefix) == 0)
        return handleOperator(exchange);
    m_daemon.m_entries.handle(exchange);
}

void DaemonHttp::answerHosts(HttpExchange& exchange)
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
        return answerStatus(*exchange);
    if (what == "configuration" && exchange->method() == "GET")
        return answerConfiguration(*exchange);
    if (what == "configuration" && exchange->method() == "POST")
        return submit(exchange);
    replyError(*exchange, statusNotFound, "not_found", "no such operator call");
}

Json DaemonHttp::hostStatus() const
{
    const ConfigurationStore& store = m_daemon.m_configurations;
    Json hosts = Json::array();
    const auto headAge = store.headAge();
    hosts.push_back({ { "host", m_daemon.m_settings.host.value() },
        { "dataCentre", m_daemon.m_settings.dataCentre.value() }, { "state", "self" },
        { "revision", store.revision().value() }, { "hash", store.hash().value() },
        { "headAgeMs", headAge ? Json(toMilliseconds(*headAge)) : Json(nullptr) },
        { "tableUp", store.tableUp() },
        { "load", static_cast<int64_t>(m_daemon.m_entries.requestCount()) } });
    for (const auto& [host, peer] : m_daemon.m_member.membership().peers()) {
        hosts.push_back({ { "host", host.value() }, { "dataCentre", peer.dataCentre.value() },
            { "state", toString(peer.state) }, { "revision", peer.revision.value() },
            { "hash", peer.configurationHash.value() }, { "headAgeMs", peer.headAgeMs },
            { "tableUp", peer.tableUp }, { "load", peer.load } });
    }
    return hosts;
}

Json DaemonHttp::upstreamStatus() const
{
    Json upstreams = Json::array();
    for (const auto& [id, config] : m_daemon.m_configurations.configuration().upstreams) {
        const auto lease = m_daemon.m_member.leases().holderOf("upstream/" + id.value());
        upstreams.push_back({ { "upstream", id.value() }, { "address", config.address },
            { "state", config.state == UpstreamState::Live ? "live" : "leaving" },
            { "owner", lease ? lease->host.value() : "" },
            { "fencingNumber", lease ? lease->fencingNumber.value() : 0 } });
    }
    return upstreams;
}

void DaemonHttp::answerStatus(HttpExchange& exchange)
{
    replyJson(exchange, statusOk,
        { { "hosts", hostStatus() }, { "upstreams", upstreamStatus() },
            { "partitions", static_cast<int64_t>(m_daemon.m_allotment.partitionCount()) },
            { "revision", m_daemon.m_configurations.revision().value() } });
}

void DaemonHttp::answerConfiguration(HttpExchange& exchange)
{
    const ConfigurationStore& store = m_daemon.m_configurations;
    replyJson(exchange, statusOk,
        { { "revision", store.revision().value() }, { "hash", store.hash().value() },
            { "configuration", ConfigurationJson::encode(store.configuration()) } });
}

void DaemonHttp::submit(const std::shared_ptr<HttpExchange>& exchange)
{
    const Json body = Json::parse(exchange->body(), nullptr, false);
    if (!body.is_object() || !body.contains("expectedRevision")
        || !body["expectedRevision"].is_number_integer() || !body.contains("configuration"))
        return replyError(*exchange, statusBadRequest, "invalid_request",
            "the body needs the integer 'expectedRevision' and the object 'configuration'");
    ConfigurationJson codec;
    const auto configuration = codec.decode(body["configuration"]);
    if (!configuration)
        return replyError(*exchange, statusBadRequest, "invalid_configuration", codec.lastError());
    SubmitRequest request;
    request.configuration = *configuration;
    request.expectedRevision = Revision(body["expectedRevision"].get<int64_t>());
    request.sessionCondition = [this]() -> std::optional<TableCondition> {
        SessionManager& session = m_daemon.m_member.session();
        const auto version = session.settledVersion();
        if (!session.isValid() || !version)
            return std::nullopt;
        return TableCondition { sessionKey(m_daemon.m_settings.host), *version };
    };
    m_daemon.m_configurations.submit(std::move(request), [exchange](const SubmitResult& result) {
        replyJson(*exchange, httpStatus(result.status), submitAnswer(result));
    });
}

} // namespace lacewing
