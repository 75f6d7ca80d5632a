#pragma once

#include "transport/http_client.h"

#include <event2/http.h>

#include <optional>
#include <string>

namespace lacewing {

/// @return nothing for a method that evhttp can't send.
std::optional<evhttp_cmd_type> evhttpCommand(const std::string& method);

/// Sets the header fields and the body of a request. Framing fields are set from the body only.
void fillRequest(evhttp_request& message, const HttpClientRequest& request);

/// @return whether the answer has fields, malformed ones included.
bool hasFields(evhttp_request& answer);

/// @return the answer's fields, or nothing if one of them is malformed.
std::optional<HttpHeaders> fieldsOfAnswer(evhttp_request& request);

HttpClientError toClientError(evhttp_request_error error);

} // namespace lacewing
