#include "protocol/http_table_service.h"

#include <nlohmann/json.hpp>

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr Duration callTimeout = std::chrono::seconds(2);
constexpr int statusOk = 200;
constexpr int statusConflict = 409;

std::optional<std::vector<TableRow>> parseRows(const std::string& body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("rows") || !json["rows"].is_array())
        return std::nullopt;
    std::vector<TableRow> rows;
    for (const Json& row : json["rows"]) {
        if (!row.is_object())
            return std::nullopt;
        const auto key = row.find("key");
        const auto version = row.find("version");
        const auto value = row.find("value");
        const auto writeId = row.find("write_id");
        if (key == row.end() || !key->is_string() || version == row.end() || !version->is_number_integer()
            || value == row.end() || !value->is_string() || writeId == row.end() || !writeId->is_string())
            return std::nullopt;
        rows.push_back({ key->get<std::string>(), RowVersion(version->get<int64_t>()),
            value->get<std::string>(), writeId->get<std::string>() });
    }
    return rows;
}

/// A call that failed before its bytes were sent has had no effect; afterwards nobody can tell.
TableError errorOf(const HttpClientResult& result)
{
    return result.requestSent ? TableError::Unknown : TableError::Unavailable;
}

} // namespace

HttpTableService::HttpTableService(
    HttpClient& client, CallIds& callIds, SocketAddress server, MetricsRegistry& metrics)
    : m_calls(client, &callIds)
    , m_server(std::move(server))
    , m_metrics(metrics)
{
}

void HttpTableService::read(std::vector<std::string> keys, RowsCallback callback)
{
    readRows("read", Json { { "keys", std::move(keys) } }.dump(), std::move(callback));
}

void HttpTableService::list(std::string prefix, RowsCallback callback)
{
    readRows("list", Json { { "prefix", std::move(prefix) } }.dump(), std::move(callback));
}

void HttpTableService::commit(TableTransaction transaction, CommitCallback callback)
{
    Json conditions = Json::array();
    for (const TableCondition& condition : transaction.conditions)
        conditions.push_back({ { "key", condition.key }, { "version", condition.expectedVersion.number() } });
    Json writes = Json::array();
    for (const TableWrite& write : transaction.writes) {
        Json item { { "key", write.key } };
        item["value"] = write.value ? Json(*write.value) : Json(nullptr);
        writes.push_back(std::move(item));
    }
    const Json body { { "write_id", transaction.writeId }, { "conditions", std::move(conditions) },
        { "writes", std::move(writes) } };
    post("commit", body.dump(),
        [callback = std::move(callback)](int status, const std::string&, std::optional<TableError> error) {
            if (error)
                return callback(error);
            if (status == statusOk)
                return callback(std::nullopt);
            callback(status == statusConflict ? TableError::Conflict : TableError::Unavailable);
        });
}

void HttpTableService::readRows(const char* operation, std::string body, RowsCallback callback)
{
    post(operation, std::move(body),
        [callback = std::move(callback)](
            int status, const std::string& answer, std::optional<TableError> error) {
            if (error)
                return callback({}, error);
            if (status != statusOk)
                return callback({}, TableError::Unavailable);
            const auto rows = parseRows(answer);
            if (!rows)
                return callback({}, TableError::Unknown);
            callback(*rows, std::nullopt);
        });
}

void HttpTableService::post(const char* operation, std::string body, AnswerCallback callback)
{
    HttpClientRequest request;
    request.server = m_server;
    request.method = "POST";
    request.target = std::string("/table/") + operation;
    request.headers.add("Content-Type", "application/json");
    request.body = std::move(body);
    request.progressTimeout = callTimeout;
    m_calls.send(std::move(request),
        [this, operation, callback = std::move(callback)](
            const HttpClientResult& result, std::string& answer) {
            std::optional<TableError> error;
            if (result.error)
                error = errorOf(result);
            record(operation, result, error);
            callback(result.status, answer, error);
        });
}

void HttpTableService::record(
    const char* operation, const HttpClientResult& result, std::optional<TableError> error)
{
    const bool isAnswered = !error && (result.status == statusOk || result.status == statusConflict);
    const char* answer = error ? toString(*error) : (isAnswered ? "answered" : "unavailable");
    ++m_metrics.counter("lacewing_table_calls_total", { { "operation", operation }, { "result", answer } });
}

} // namespace lacewing
