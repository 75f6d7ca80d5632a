#include "fakes/engine_http.h"

#include "fakes/json_fields.h"
#include "fakes/named_exchange.h"

#include <utility>

namespace lacewing {

using nlohmann::json;

namespace {

constexpr int64_t defaultMaximumTokens = 256;
constexpr int64_t largestMaximumTokens = 131'072;

const HttpHeaders& jsonHeaders()
{
    static const HttpHeaders headers { { "Content-Type", "application/json" } };
    return headers;
}

std::string event(const json& data)
{
    return "data: " + toText(data) + "\n\n";
}

json usageOf(const GenerationEnd& end)
{
    return { { "prompt_tokens", end.promptTokens }, { "completion_tokens", end.completionTokens } };
}

/// @return the text of a chat message's content: a string, or an array of parts with a text.
std::string contentOf(JsonFields& message, const json& element, std::optional<std::string>& error)
{
    if (!message.has("content") || !element["content"].is_array())
        return message.requiredText("content");
    std::string text;
    for (const json& part : element["content"]) {
        JsonFields fields(part);
        text += fields.requiredText("text");
        if (fields.lastError())
            error = fields.lastError();
    }
    return text;
}

/// Sets the prompt to the messages, and the count of prompt tokens to that of their contents.
std::optional<std::string> readMessages(JsonFields& fields, GenerationRequest& request)
{
    std::optional<std::string> error;
    size_t contentBytes = 0;
    for (const json& element : fields.requiredArray("messages")) {
        JsonFields message(element);
        const std::string role = message.requiredText("role");
        const std::string content = contentOf(message, element, error);
        if (message.lastError())
            error = message.lastError();
        if (error)
            return error;
        request.prompt += role + ": " + content + "\n";
        contentBytes += content.size();
    }
    request.prompt += "assistant: ";
    request.promptTokens = static_cast<int64_t>((contentBytes + 3) / 4);
    return std::nullopt;
}

/// Closes the connection after the bytes so far have been sent; abort() alone discards them.
void abortWhenSent(const std::shared_ptr<HttpExchange>& exchange)
{
    if (exchange->bufferedBytes() == 0)
        return exchange->abort();
    exchange->onDrained([exchange] { exchange->abort(); });
}

} // namespace

/// The answer to one completion on its way.
struct EngineHttp::Answer {
    std::shared_ptr<HttpExchange> exchange;
    bool isStream = false;
    bool hasStarted = false;
    int64_t sentTokens = 0;
    uint64_t number = 0;
    std::string text;
};

EngineHttp::EngineHttp(Scheduler& scheduler, const EngineOptions& options, AdapterLoader& loader,
    const std::vector<std::string>& forbiddenTexts, FaultSettings& faults)
    : m_options(options)
    , m_slots(scheduler, m_options, m_faults, loader, m_metrics)
    , m_batch(scheduler, m_options, m_faults, m_metrics)
    , m_forbidden(forbiddenTexts)
{
    faults.addNumber("slow_factor", m_faults.slowFactor, 0.001, 1e6);
    faults.addProbability("load_failures", m_faults.loadFailures);
    faults.addFlag("not_ready", m_faults.notReady);
    faults.addNumber("drop_after_tokens", m_faults.dropAfterTokens, 0, 1e9);
    m_slots.onLoaded([this] { m_batch.addLoadStall(); });
    m_metrics.counter("forbidden_text_seen") = 0;
    m_metrics.counter("loads") = 0;
}

void EngineHttp::handle(const std::shared_ptr<HttpExchange>& unnamed)
{
    const auto exchange = std::make_shared<NamedExchange>(unnamed);
    m_metrics.counter("forbidden_text_seen") += m_forbidden.countIn(*exchange);
    const std::string call = exchange->method() + " " + exchange->path();
    if (call == "POST /v1/completions")
        return complete(exchange, false);
    if (call == "POST /v1/chat/completions")
        return complete(exchange, true);
    if (call == "POST /admin/adapters/load")
        return load(exchange);
    if (call == "POST /admin/adapters/unload")
        return unload(exchange);
    if (call == "GET /admin/status")
        return showStatus(*exchange);
    if (call == "GET /admin/cache-events")
        return showCacheEvents(*exchange);
    refuse(*exchange, { 404, "not_found", "no such call: " + call });
}

void EngineHttp::refuse(HttpExchange& exchange, const EngineError& error)
{
    ++m_metrics.counter("refusals", { { "code", error.code } });
    exchange.reply(error.status, jsonHeaders(), errorBody(error.code, error.message));
}

std::optional<GenerationRequest> EngineHttp::parse(const HttpExchange& exchange, bool isChat, bool& stream)
{
    JsonFields fields(exchange.body());
    GenerationRequest request;
    request.name = fields.requiredText("model");
    std::optional<std::string> error;
    if (isChat) {
        error = readMessages(fields, request);
    } else {
        request.prompt = fields.requiredText("prompt");
        request.promptTokens = static_cast<int64_t>((request.prompt.size() + 3) / 4);
    }
    request.maximumTokens = fields.integer("max_tokens", defaultMaximumTokens, 1, largestMaximumTokens);
    request.resumeFrom = fields.integer("resume_from", 0, 0, largestMaximumTokens);
    request.isInteractive = fields.integer("priority", 0, 0, 1) == 0;
    request.workspace = fields.text("workspace", exchange.headers().find("Lacewing-Workspace").value_or(""));
    stream = fields.flag("stream", false);
    if (fields.lastError())
        error = fields.lastError();
    if (error) {
        m_lastError = { 400, "invalid_request", *error };
        return std::nullopt;
    }
    request.usesAdapter = request.name != m_options.baseModel;
    const auto identity = request.usesAdapter ? m_slots.identityOf(request.name) : m_options.baseModel;
    if (!identity) {
        m_lastError = { 404, "adapter_not_resident", "no adapter is loaded under this name" };
        return std::nullopt;
    }
    request.identity = *identity;
    return request;
}

void EngineHttp::complete(const std::shared_ptr<HttpExchange>& exchange, bool isChat)
{
    if (m_faults.notReady)
        return refuse(*exchange, { 503, "not_ready", "the engine is not ready" });
    const auto answer = std::make_shared<Answer>();
    answer->exchange = exchange;
    const auto request = parse(*exchange, isChat, answer->isStream);
    if (!request)
        return refuse(*exchange, m_lastError);
    const auto number = m_batch.submit(*request,
        { [this, answer](int64_t index, const std::string& text) { sendToken(*answer, index, text); },
            [this, answer](const GenerationEnd& end) { sendEnd(*answer, end); } });
    if (!number)
        return refuse(*exchange, m_batch.lastError());
    answer->number = *number;
    exchange->onClientLeft([this, number = *number] { m_batch.cancel(number); });
}

void EngineHttp::sendToken(Answer& answer, int64_t index, const std::string& text)
{
    if (!answer.isStream) {
        answer.text += text;
        return;
    }
    if (!std::exchange(answer.hasStarted, true))
        answer.exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
    answer.exchange->sendChunk(event({ { "token_index", index }, { "text", text } }));
    ++answer.sentTokens;
    if (m_faults.dropAfterTokens < 1 || static_cast<double>(answer.sentTokens) < m_faults.dropAfterTokens)
        return;
    ++m_metrics.counter("streams_dropped");
    m_batch.cancel(answer.number);
    abortWhenSent(answer.exchange);
}

void EngineHttp::sendEnd(Answer& answer, const GenerationEnd& end)
{
    HttpExchange& exchange = *answer.exchange;
    if (end.error && answer.hasStarted)
        return abortWhenSent(answer.exchange);
    if (end.error)
        return refuse(exchange, *end.error);
    if (!answer.isStream)
        return exchange.reply(200, jsonHeaders(),
            toText({ { "text", answer.text }, { "usage", usageOf(end) },
                { "finish_reason", end.finishReason } }));
    if (!answer.hasStarted)
        exchange.startStream(200, { { "Content-Type", "text/event-stream" } });
    exchange.sendChunk(event({ { "usage", usageOf(end) }, { "finish_reason", end.finishReason } }));
    exchange.sendChunk("data: [DONE]\n\n");
    exchange.endStream();
}

void EngineHttp::load(const std::shared_ptr<HttpExchange>& exchange)
{
    JsonFields fields(exchange->body());
    LoadOrder order;
    order.name = fields.requiredText("name");
    order.model = fields.requiredText("model");
    order.adapter = fields.requiredText("adapter");
    order.version = fields.requiredText("version");
    order.fencingNumber = fields.integer("fencing_number", 0, 0, INT64_MAX);
    if (fields.lastError())
        return refuse(*exchange, { 400, "invalid_request", *fields.lastError() });
    m_slots.load(order, [this, exchange](const std::optional<EngineError>& error) {
        if (error)
            return refuse(*exchange, *error);
        exchange->reply(200, jsonHeaders(), "{}");
    });
}

void EngineHttp::unload(const std::shared_ptr<HttpExchange>& exchange)
{
    JsonFields fields(exchange->body());
    const std::string name = fields.requiredText("name");
    const int64_t fencingNumber = fields.integer("fencing_number", 0, 0, INT64_MAX);
    if (fields.lastError())
        return refuse(*exchange, { 400, "invalid_request", *fields.lastError() });
    if (const auto error = m_slots.unload(name, fencingNumber))
        return refuse(*exchange, *error);
    m_batch.evict(name);
    exchange->reply(200, jsonHeaders(), "{}");
}

void EngineHttp::showStatus(HttpExchange& exchange)
{
    json adapters = json::array();
    for (const std::string& name : m_slots.residentNames())
        adapters.push_back({ { "name", name }, { "running", m_batch.requestsOn(name) } });
    const EngineLoad load = m_batch.reportedLoad();
    exchange.reply(200, jsonHeaders(),
        toText({ { "boot_id", m_options.bootId }, { "fencing_number", m_slots.fencingNumber() },
            { "base_model", m_options.baseModel }, { "slots", m_options.slots }, { "adapters", adapters },
            { "load",
                { { "running", load.running }, { "waiting", load.waiting },
                    { "batch_tokens", load.batchTokens } } } }));
}

void EngineHttp::showCacheEvents(HttpExchange& exchange)
{
    constexpr const char* parameter = "after=";
    const std::string& query = exchange.query();
    int64_t after = 0;
    if (!query.empty()) {
        const json number
            = query.compare(0, 6, parameter) == 0 ? json::parse(query.substr(6), nullptr, false) : json();
        if (!number.is_number_unsigned() || number.get<uint64_t>() > static_cast<uint64_t>(INT64_MAX))
            return refuse(exchange, { 400, "invalid_request", "the query must be after=<number>" });
        after = number.get<int64_t>();
    }
    json shown = m_batch.cacheEvents().show(after);
    shown["boot_id"] = m_options.bootId;
    exchange.reply(200, jsonHeaders(), toText(shown));
}

std::string EngineHttp::metricsText()
{
    const auto steps = static_cast<double>(std::max<int64_t>(1, m_metrics.counter("steps")));
    m_metrics.gauge("mean_batch_size")
        = static_cast<double>(m_metrics.counter("batch_sequences_total")) / steps;
    m_metrics.gauge("mean_distinct_adapters")
        = static_cast<double>(m_metrics.counter("batch_adapters_total")) / steps;
    return m_metrics.text();
}

} // namespace lacewing
