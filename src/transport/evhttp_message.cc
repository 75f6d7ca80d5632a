#include "transport/evhttp_message.h"

#include "transport/http_field_rules.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <memory>

namespace lacewing {

namespace {

bool impliesBody(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

/// Adds bytes to a buffer without copying them. The buffer keeps them alive until they have been taken.
void addShared(evbuffer& buffer, const std::shared_ptr<const std::string>& bytes)
{
    if (bytes->empty())
        return;
    using Kept = std::shared_ptr<const std::string>;
    auto kept = std::make_unique<Kept>(bytes);
    const auto release = [](const void*, size_t, void* kept) { delete static_cast<Kept*>(kept); };
    if (evbuffer_add_reference(&buffer, bytes->data(), bytes->size(), release, kept.get()) == 0)
        kept.release();
}

} // namespace

std::optional<evhttp_cmd_type> evhttpCommand(const std::string& method)
{
    constexpr std::pair<const char*, evhttp_cmd_type> commands[] = { { "GET", EVHTTP_REQ_GET },
        { "POST", EVHTTP_REQ_POST }, { "PUT", EVHTTP_REQ_PUT }, { "DELETE", EVHTTP_REQ_DELETE },
        { "HEAD", EVHTTP_REQ_HEAD }, { "PATCH", EVHTTP_REQ_PATCH }, { "OPTIONS", EVHTTP_REQ_OPTIONS } };
    for (const auto& [name, command] : commands) {
        if (method == name)
            return command;
    }
    return std::nullopt;
}

bool hasFields(evhttp_request& answer)
{
    return evhttp_request_get_input_headers(&answer)->tqh_first != nullptr;
}

std::optional<HttpHeaders> fieldsOfAnswer(evhttp_request& request)
{
    HttpHeaders headers;
    const evkeyvalq* fields = evhttp_request_get_input_headers(&request);
    for (const evkeyval* field = fields->tqh_first; field; field = field->next.tqe_next) {
        const std::string_view value = trimmedField(field->value);
        if (!isHttpToken(field->key) || std::any_of(value.begin(), value.end(), isHttpControl))
            return std::nullopt;
        headers.add(field->key, std::string(value));
    }
    return headers;
}

HttpClientError toClientError(evhttp_request_error error)
{
    const bool isInvalid = error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG;
    return isInvalid ? HttpClientError::InvalidAnswer : HttpClientError::ConnectionLost;
}

void fillRequest(evhttp_request& message, const HttpClientRequest& request)
{
    evkeyvalq* fields = evhttp_request_get_output_headers(&message);
    if (request.headers.count("Host") == 0)
        evhttp_add_header(fields, "Host", request.server.text().c_str());
    for (const auto& [name, value] : request.headers) {
        const bool isFraming = equalsIgnoringCase(name, "Content-Length")
            || equalsIgnoringCase(name, "Transfer-Encoding") || equalsIgnoringCase(name, "Connection");
        if (!isFraming)
            evhttp_add_header(fields, cleanField(name).c_str(), cleanField(value).c_str());
    }
    // evhttp adds it for POST and PUT only.
    const std::string& body = request.sharedBody ? *request.sharedBody : request.body;
    if (!body.empty() || impliesBody(request.method))
        evhttp_add_header(fields, "Content-Length", std::to_string(body.size()).c_str());
    evbuffer* output = evhttp_request_get_output_buffer(&message);
    if (request.sharedBody)
        addShared(*output, request.sharedBody);
    else
        evbuffer_add(output, body.data(), body.size());
}

} // namespace lacewing
