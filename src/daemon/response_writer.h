#pragma once

#include "daemon/admitted_request.h"
#include "protocol/caller_answer.h"
#include "state/refusal_answer.h"
#include "transport/http_server.h"

#include <memory>
#include <string>

namespace lacewing {

/// What completes a successful response.
struct ResponseEnd {
    int status = 200;
    std::string contentType;
    std::string finishReason;
    AnswerUsage usage;
};

/// Writes one response to a caller.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    /// Appends bytes to the response body.
    virtual void write(std::string_view bytes) = 0;
    /// Completes the response successfully.
    virtual void finish(const ResponseEnd& end) = 0;
    /// Ends the response with an error: an error response, or an error event if streaming has started.
    virtual void fail(const RefusalAnswer& refusal) = 0;
    /// @return true once part of the response has been sent to the caller.
    virtual bool hasStarted() const = 0;
    /// @return the body so far of a buffered response; empty for a streamed one.
    virtual const std::string& body() const = 0;

    /// @return a writer for the request's kind of response: streamed or buffered completion, or service
    /// response.
    static std::unique_ptr<ResponseWriter> create(
        std::shared_ptr<HttpExchange> exchange, const AdmittedRequest& request, const std::string& id);
};

/// Sends an error response.
void sendErrorResponse(HttpExchange& exchange, const RefusalAnswer& refusal);

} // namespace lacewing
