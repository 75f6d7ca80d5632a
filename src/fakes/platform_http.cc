#include "fakes/platform_http.h"

#include "fakes/named_exchange.h"

#include <utility>

namespace lacewing {

using nlohmann::json;

namespace {

constexpr double longestSlowness = 600'000;

json rowsJson(const std::vector<TableStore::Row>& rows)
{
    json list = json::array();
    for (const TableStore::Row& row : rows)
        list.push_back({ { "key", row.key }, { "version", row.version }, { "value", row.value },
            { "write_id", row.writeId } });
    return { { "rows", list } };
}

/// Half of the slowness passes before a call takes effect and half after it, so that a caller that gives up
/// may do so before or after the effect.
Duration halfOf(double milliseconds)
{
    return Duration(static_cast<int64_t>(milliseconds * 0.5e6));
}

std::string textAfter(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0 ? text.substr(prefix.size()) : std::string();
}

} // namespace

PlatformHttp::PlatformHttp(Scheduler& scheduler, const PlatformOptions& options, FaultSettings& faults)
    : m_scheduler(scheduler)
    , m_random(options.seed)
    , m_hosts(scheduler, options.hostListLag)
    , m_weightStore(scheduler, options.weights)
    , m_held(scheduler)
{
    for (Service* service : { &m_table, &m_objects, &m_weights, &m_hostList })
        addFaults(faults, *service);
    faults.addProbability("weights.fail", m_loadFailures);
}

void PlatformHttp::addFaults(FaultSettings& faults, Service& service)
{
    faults.addFlag(service.name + ".down", service.down);
    faults.addFlag(service.name + ".silent", service.silent);
    faults.addNumber(service.name + ".slow_ms", service.slowMilliseconds, 0, longestSlowness);
    if (&service != &m_hostList)
        faults.addProbability(service.name + ".lose_answers", service.loseAnswers);
}

void PlatformHttp::handle(const std::shared_ptr<HttpExchange>& unnamed)
{
    const auto exchange = std::make_shared<NamedExchange>(unnamed);
    const std::string& path = exchange->path();
    const std::string& method = exchange->method();
    if (method == "POST" && path.compare(0, 7, "/table/") == 0)
        return serveTable(exchange);
    if ((method == "PUT" || method == "GET") && path.size() > 9 && path.compare(0, 9, "/objects/") == 0)
        return serveObject(exchange);
    if (method == "POST" && path == "/weights/load")
        return serveWeights(exchange);
    if (method == "GET" && path == "/hosts")
        return serve(m_hostList, false, exchange, [this](const Reply& reply) {
            reply({ 200, toText(m_hosts.show()) });
        });
    exchange->reply(404, { { "Content-Type", "application/json" } },
        errorBody("not_found", "no such call: " + method + " " + path));
}

void PlatformHttp::serve(
    Service& service, bool isWrite, const std::shared_ptr<HttpExchange>& exchange, Action action)
{
    if (service.silent)
        return m_held.hold(exchange);
    if (service.down) {
        ++m_metrics.counter("unavailable", { { "service", service.name } });
        return exchange->reply(503, { { "Content-Type", "application/json" } },
            errorBody("unavailable", "the service is down; nothing was written"));
    }
    count(service, isWrite);
    const auto run = [this, &service, isWrite, exchange, action = std::move(action)] {
        action([this, &service, isWrite, exchange](const Answer& answer) {
            if (service.slowMilliseconds == 0)
                return finish(service, isWrite, exchange, answer);
            m_scheduler.runAfter(halfOf(service.slowMilliseconds),
                [this, &service, isWrite, exchange, answer] { finish(service, isWrite, exchange, answer); });
        });
    };
    if (service.slowMilliseconds == 0)
        return run();
    m_scheduler.runAfter(halfOf(service.slowMilliseconds), run);
}

void PlatformHttp::finish(
    Service& service, bool isWrite, const std::shared_ptr<HttpExchange>& exchange, const Answer& answer)
{
    if (isWrite && m_random.chance(service.loseAnswers)) {
        ++m_metrics.counter("lost_answers", { { "service", service.name } });
        return exchange->abort();
    }
    exchange->reply(answer.status, { { "Content-Type", answer.type } }, answer.body);
}

void PlatformHttp::count(Service& service, bool isWrite)
{
    const MonotonicTime now = m_scheduler.now();
    service.calls.count(now);
    (isWrite ? service.writes : service.reads).count(now);
    ++m_metrics.counter(isWrite ? "writes" : "reads", { { "service", service.name } });
}

void PlatformHttp::serveTable(const std::shared_ptr<HttpExchange>& exchange)
{
    const std::string call = textAfter(exchange->path(), "/table/");
    if (call != "read" && call != "list" && call != "commit")
        return exchange->reply(404, { { "Content-Type", "application/json" } },
            errorBody("not_found", "no such call on the table"));
    const bool isWrite = call == "commit";
    serve(m_table, isWrite, exchange, [this, call, isWrite, exchange](const Reply& reply) {
        if (isWrite)
            return reply(commit(exchange->body()));
        reply(call == "read" ? read(exchange->body()) : list(exchange->body()));
    });
}

PlatformHttp::Answer PlatformHttp::read(const std::string& body)
{
    JsonFields fields(body);
    std::vector<std::string> keys;
    for (const json& key : fields.requiredArray("keys")) {
        if (!key.is_string())
            return { 400, errorBody("invalid_request", "keys must be strings") };
        keys.push_back(key.get<std::string>());
    }
    if (fields.lastError())
        return { 400, errorBody("invalid_request", *fields.lastError()) };
    return { 200, toText(rowsJson(m_tableStore.read(keys))) };
}

PlatformHttp::Answer PlatformHttp::list(const std::string& body)
{
    JsonFields fields(body);
    const std::string prefix = fields.requiredText("prefix");
    if (fields.lastError())
        return { 400, errorBody("invalid_request", *fields.lastError()) };
    return { 200, toText(rowsJson(m_tableStore.list(prefix))) };
}

PlatformHttp::Answer PlatformHttp::commit(const std::string& body)
{
    JsonFields fields(body);
    std::optional<std::string> error;
    std::vector<TableStore::Condition> conditions;
    std::vector<TableStore::Write> writes;
    const std::string writeId = fields.requiredText("write_id");
    for (const json& element : fields.array("conditions")) {
        JsonFields condition(element);
        conditions.push_back(
            { condition.requiredText("key"), condition.integer("version", 0, 0, INT64_MAX) });
        if (!condition.has("version"))
            error = "a condition needs a version";
        if (condition.lastError())
            error = condition.lastError();
    }
    for (const json& element : fields.array("writes")) {
        JsonFields write(element);
        const bool isDeletion = write.has("value") && element["value"].is_null();
        TableStore::Write parsed { write.requiredText("key"), std::nullopt };
        if (!isDeletion)
            parsed.value = write.requiredText("value");
        if (write.lastError())
            error = write.lastError();
        writes.push_back(std::move(parsed));
    }
    if (fields.lastError())
        error = fields.lastError();
    if (error)
        return { 400, errorBody("invalid_request", *error) };
    if (!m_tableStore.commit(writeId, conditions, writes)) {
        ++m_metrics.counter("conflicts");
        return { 409, errorBody("conflict", "a condition does not hold; nothing was written") };
    }
    m_metrics.counter("rows_written") += static_cast<int64_t>(writes.size());
    m_hosts.observe(m_tableStore);
    return {};
}

void PlatformHttp::serveObject(const std::shared_ptr<HttpExchange>& exchange)
{
    serve(m_objects, exchange->method() == "PUT", exchange, [this, exchange](const Reply& reply) {
        reply(object(*exchange, textAfter(exchange->path(), "/objects/")));
    });
}

PlatformHttp::Answer PlatformHttp::object(const HttpExchange& exchange, const std::string& hash)
{
    if (exchange.method() == "PUT") {
        m_objectBytes[hash] = exchange.body();
        return {};
    }
    const auto found = m_objectBytes.find(hash);
    if (found == m_objectBytes.end())
        return { 404, errorBody("not_found", "no object has this hash") };
    return { 200, found->second, "application/octet-stream" };
}

void PlatformHttp::serveWeights(const std::shared_ptr<HttpExchange>& exchange)
{
    JsonFields fields(exchange->body());
    fields.requiredText("adapter");
    fields.requiredText("version");
    if (fields.lastError())
        return exchange->reply(400, { { "Content-Type", "application/json" } },
            errorBody("invalid_request", *fields.lastError()));
    serve(m_weights, true, exchange, [this](const Reply& reply) { load(reply); });
}

void PlatformHttp::load(const Reply& reply)
{
    const bool fails = m_random.chance(m_loadFailures);
    const bool started = m_weightStore.load([this, reply, fails] {
        ++m_metrics.counter(fails ? "load_failures" : "loads");
        if (fails)
            return reply({ 503, errorBody("load_failed", "the weights could not be read") });
        reply({});
    });
    if (started)
        return;
    ++m_metrics.counter("loads_rate_limited");
    reply({ 429, errorBody("rate_limited", "too many loads a second") });
}

std::string PlatformHttp::metricsText()
{
    for (const Service* service : { &m_table, &m_objects, &m_weights, &m_hostList }) {
        const MetricLabels labels { { "service", service->name } };
        m_metrics.gauge("peak_calls_in_one_second", labels) = static_cast<double>(service->calls.peak());
        m_metrics.gauge("peak_reads_in_one_second", labels) = static_cast<double>(service->reads.peak());
        m_metrics.gauge("peak_writes_in_one_second", labels) = static_cast<double>(service->writes.peak());
    }
    m_metrics.gauge("peak_loads_in_flight") = static_cast<double>(m_weightStore.peakLoadsInFlight());
    return m_metrics.text();
}

} // namespace lacewing
