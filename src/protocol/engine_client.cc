#include "protocol/engine_client.h"

#include <nlohmann/json.hpp>

#include <map>

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr Duration statusDeadline = std::chrono::seconds(2);

std::optional<EngineStatus> parseStatus(const std::string& body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    EngineStatus status;
    // value() throws when a field has another type than its default.
    try {
        status.bootId = json.at("boot_id").get<std::string>();
        status.fencingNumber = FencingNumber(json.value("fencing_number", int64_t(0)));
        status.slots = json.value("slots", 0);
        for (const Json& adapter : json.value("adapters", Json::array()))
            status.adapters.push_back({ adapter.at("name").get<std::string>(), adapter.value("running", 0) });
        if (const auto load = json.find("load"); load != json.end() && load->is_object()) {
            status.running = load->value("running", 0);
            status.waiting = load->value("waiting", 0);
        }
    } catch (const Json::exception&) {
        return std::nullopt;
    }
    return status;
}

std::string errorCode(const std::string& body)
{
    const Json json = Json::parse(body, nullptr, false);
    const auto pointer = Json::json_pointer("/error/code");
    if (!json.is_object() || !json.contains(pointer) || !json[pointer].is_string())
        return "";
    return json[pointer].get<std::string>();
}

EngineOrderError orderError(const std::string& code)
{
    static const std::map<std::string, EngineOrderError> errors {
        { "stale_fencing_number", EngineOrderError::StaleFencingNumber },
        { "load_failed", EngineOrderError::LoadFailed },
        { "no_free_slot", EngineOrderError::NoFreeSlot },
        { "not_loaded", EngineOrderError::NotLoaded },
    };
    const auto found = errors.find(code);
    return found == errors.end() ? EngineOrderError::Unknown : found->second;
}

} // namespace

const char* toString(EngineOrderError error)
{
    switch (error) {
    case EngineOrderError::StaleFencingNumber:
        return "stale_fencing_number";
    case EngineOrderError::LoadFailed:
        return "load_failed";
    case EngineOrderError::NoFreeSlot:
        return "no_free_slot";
    case EngineOrderError::NotLoaded:
        return "not_loaded";
    case EngineOrderError::NotSent:
        return "not_sent";
    case EngineOrderError::Unknown:
        return "unknown";
    }
    return "invalid";
}

EngineClient::EngineClient(HttpClient& client, CallIds& callIds, SocketAddress engine)
    : m_calls(client, &callIds)
    , m_engine(std::move(engine))
{
}

void EngineClient::readStatus(StatusCallback callback)
{
    send("GET", "/admin/status", "", statusDeadline,
        [callback = std::move(callback)](const HttpClientResult& result, const std::string& body) {
            if (result.error || result.status != statusOk)
                return callback(std::nullopt);
            callback(parseStatus(body));
        });
}

void EngineClient::load(const std::string& name, const ModelId& model, const AdapterKey& adapter,
    FencingNumber number, Duration deadline, OrderCallback callback)
{
    const Json body { { "name", name }, { "model", model.value() }, { "adapter", adapter.adapter.value() },
        { "version", adapter.version.value() }, { "fencing_number", number.value() } };
    order("/admin/adapters/load", body.dump(), deadline, std::move(callback));
}

void EngineClient::unload(
    const std::string& name, FencingNumber number, Duration deadline, OrderCallback callback)
{
    const Json body { { "name", name }, { "fencing_number", number.value() } };
    order("/admin/adapters/unload", body.dump(), deadline, std::move(callback));
}

void EngineClient::order(const char* target, std::string body, Duration deadline, OrderCallback callback)
{
    send("POST", target, std::move(body), deadline,
        [callback = std::move(callback)](const HttpClientResult& result, const std::string& answer) {
            if (result.error)
                return callback(result.requestSent ? EngineOrderError::Unknown : EngineOrderError::NotSent);
            if (result.status == statusOk)
                return callback(std::nullopt);
            callback(orderError(errorCode(answer)));
        });
}

void EngineClient::send(const char* method, const char* target, std::string body, Duration deadline,
    HttpCallSet::Callback callback)
{
    HttpClientRequest request;
    request.server = m_engine;
    request.method = method;
    request.target = target;
    request.body = std::move(body);
    request.progressTimeout = deadline;
    if (!request.body.empty())
        request.headers.add("Content-Type", "application/json");
    m_calls.send(std::move(request), std::move(callback));
}

} // namespace lacewing
