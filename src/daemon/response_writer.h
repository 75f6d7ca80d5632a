#pragma once

#include "daemon/admitted_request.h"
#include "protocol/caller_answer.h"
#include "state/refusal_answer.h"
#include "transport/http_server.h"

#include <memory>
#include <string>

namespace lacewing {

/// The end of a whole answer.
struct ResponseEnd {
    int status = 200;
    std::string contentType;
    std::string finishReason;
    AnswerUsage usage;
};

/// Writes one answer to a caller.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    /// Adds a piece of the answer.
    virtual void write(std::string_view bytes) = 0;
    /// Ends a whole answer.
    virtual void finish(const ResponseEnd& end) = 0;
    /// Ends an answer that can't be completed: an error answer, or an error event if the answer has begun.
    virtual void fail(const RefusalAnswer& refusal) = 0;
    /// @return true once the caller has received part of the answer.
    virtual bool hasStarted() const = 0;
    /// @return the body so far of an answer that is sent as a whole.
    virtual const std::string& body() const = 0;

    /// @return the writer that fits the request.
    static std::unique_ptr<ResponseWriter> create(
        std::shared_ptr<HttpExchange> exchange, const AdmittedRequest& request, const std::string& id);
};

/// Sends an error answer.
void sendErrorResponse(HttpExchange& exchange, const RefusalAnswer& refusal);

} // namespace lacewing
