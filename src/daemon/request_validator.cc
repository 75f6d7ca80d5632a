#include "daemon/request_validator.h"

#include "state/refusal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lacewing {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;
constexpr size_t maximumRequestIdLength = 128;
constexpr std::string_view bearerPrefix = "Bearer ";

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

/// Matches a route's path as a prefix of whole path segments: "/seats" matches "/seats/7" but not "/seatsX".
bool matches(const RouteConfig& route, std::string_view path)
{
    if (!startsWith(path, route.path))
        return false;
    return path.size() == route.path.size() || (!route.path.empty() && route.path.back() == '/')
        || path[route.path.size()] == '/';
}

const RouteConfig* findRoute(const Configuration& configuration, std::string_view path)
{
    const RouteConfig* best = nullptr;
    for (const RouteConfig& route : configuration.routes) {
        if (!matches(route, path))
            continue;
        if (!best || route.path.size() > best->path.size())
            best = &route;
    }
    return best;
}

/// Decodes one level of percent-encoding.
std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const auto digits = text.substr(i + 1, 2);
        const bool isEscape = text[i] == '%' && digits.size() == 2
            && std::from_chars(digits.data(), digits.data() + 2, value, 16).ptr == digits.data() + 2;
        decoded += isEscape ? static_cast<char>(value) : text[i];
        i += isEscape ? 2 : 0;
    }
    return decoded;
}

/// @return whether the text contains the key, unencoded or percent-encoded at any depth.
bool containsKey(std::string text, const std::string& key)
{
    while (text.find(key) == std::string::npos) {
        std::string decoded = percentDecoded(text);
        if (decoded == text)
            return false;
        text = std::move(decoded);
    }
    return true;
}

/// @return whether the body contains the key, also percent-encoded or in JSON string escapes.
bool bodyContainsKey(const std::string& body, const std::string& key)
{
    if (containsKey(body, key))
        return true;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return !json.is_discarded() && json.dump().find(key) != std::string::npos;
}

bool isValidRequestId(std::string_view id)
{
    return id.size() <= maximumRequestIdLength
        && std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

} // namespace

RequestValidator::RequestValidator(KeyResolver keys)
    : m_keys(std::move(keys))
{
}

std::optional<AdmittedRequest> RequestValidator::validate(
    const HttpExchange& exchange, const Configuration& configuration)
{
    AdmittedRequest request;
    const RouteConfig* route = findRoute(configuration, exchange.path());
    if (!route) {
        refuse(statusNotFound, refusal::unknownRoute, "no route for this path");
        return std::nullopt;
    }
    request.route = *route;
    std::string key;
    if (!resolveKey(exchange, *route, key, request))
        return std::nullopt;
    if (const auto id = exchange.headers().find("Idempotency-Key")) {
        if (!isValidRequestId(*id)) {
            refuse(statusBadRequest, refusal::invalidRequest,
                "Idempotency-Key must have at most 128 printable ASCII characters without spaces");
            return std::nullopt;
        }
        request.requestId = RequestId(*id);
    }
    if (!route->repeatable && request.requestId.empty()) {
        refuse(statusBadRequest, refusal::missingIdempotencyKey,
            "calls of this route run at most once and need an Idempotency-Key header");
        return std::nullopt;
    }
    const bool admitted = route->service.empty() ? validateCompletion(exchange, configuration, request)
                                                 : validateServiceCall(exchange, key, request);
    if (!admitted)
        return std::nullopt;
    const std::string& body = request.completion ? request.completion->engineBody : request.service->body;
    if (!key.empty() && bodyContainsKey(body, key)) {
        refuse(statusBadRequest, refusal::keyInRequest,
            "the body contains the key; send it in Authorization only");
        return std::nullopt;
    }
    return request;
}

bool RequestValidator::resolveKey(
    const HttpExchange& exchange, const RouteConfig& route, std::string& key, AdmittedRequest& request)
{
    const auto authorization = exchange.headers().find("Authorization");
    if (exchange.headers().count("Authorization") > 1)
        return refuse(statusBadRequest, refusal::invalidRequest, "more than one Authorization header");
    if (!authorization) {
        return route.open
            || refuse(
                statusUnauthorized, refusal::missingKey, "present a key as Authorization: Bearer <key>");
    }
    if (!startsWith(*authorization, bearerPrefix) || authorization->size() == bearerPrefix.size())
        return refuse(
            statusUnauthorized, refusal::missingKey, "present a key as Authorization: Bearer <key>");
    key = authorization->substr(bearerPrefix.size());
    const auto resolved = m_keys(key);
    if (!resolved)
        return refuse(statusUnauthorized, refusal::unknownKey, "the key is unknown or was withdrawn");
    request.workspace = resolved->workspace;
    request.keyHash = resolved->hash;
    return true;
}

bool RequestValidator::validateCompletion(
    const HttpExchange& exchange, const Configuration& configuration, AdmittedRequest& request)
{
    if (exchange.method() != "POST")
        return refuse(statusMethodNotAllowed, refusal::invalidRequest, "use POST");
    const bool isChat = exchange.path().find("/chat/") != std::string::npos;
    CompletionRequestParser parser;
    auto parsed = parser.parse(isChat ? CompletionKind::Chat : CompletionKind::Text, exchange.body());
    if (!parsed)
        return refuse(statusBadRequest, refusal::invalidRequest, parser.lastError());
    request.completion = std::move(parsed);
    request.cost = request.completion->promptTokens + request.completion->maximumTokens;
    return resolveAdapterVersion(configuration, request);
}

bool RequestValidator::resolveAdapterVersion(const Configuration& configuration, AdmittedRequest& request)
{
    const CompletionRequest& completion = *request.completion;
    const auto found = configuration.adapters.find(completion.adapter);
    if (found == configuration.adapters.end()) {
        return refuse(statusNotFound, refusal::unknownAdapter,
            "adapter \"" + completion.adapter.value() + "\" does not exist");
    }
    const AdapterConfig& adapter = found->second;
    if (request.workspace.empty())
        request.workspace = adapter.workspace;
    if (adapter.workspace != request.workspace)
        return refuse(statusForbidden, refusal::keyOfOtherWorkspace,
            "the key belongs to another workspace than the adapter");
    const AdapterVersion version = completion.version.value_or(adapter.defaultVersion);
    if (std::find(adapter.versions.begin(), adapter.versions.end(), version) == adapter.versions.end()) {
        return refuse(statusNotFound, refusal::unknownVersion,
            "adapter \"" + adapter.id.value() + "\" has no version \"" + version.value() + "\"");
    }
    request.adapter = { adapter.id, version };
    request.baseModel = adapter.baseModel;
    return true;
}

bool RequestValidator::validateServiceCall(
    const HttpExchange& exchange, const std::string& key, AdmittedRequest& request)
{
    ServiceCall call;
    call.service = request.route.service;
    call.method = exchange.method();
    call.target = exchange.path() + (exchange.query().empty() ? "" : "?" + exchange.query());
    call.contentType = exchange.headers().find("Content-Type").value_or("application/octet-stream");
    call.body = exchange.body();
    if (!key.empty()
        && (containsKey(call.target, key) || containsKey(call.contentType, key)
            || containsKey(request.requestId.value(), key))) {
        return refuse(
            statusBadRequest, refusal::keyInRequest, "the request contains the key outside of Authorization");
    }
    request.cost = request.workspace.empty() ? Tokens(0) : request.route.cost;
    request.service = std::move(call);
    return true;
}

bool RequestValidator::refuse(int status, std::string_view code, std::string message)
{
    m_refusal = { status, std::string(code), std::move(message), Outcome::RefusedNotRun, std::nullopt };
    return false;
}

} // namespace lacewing
