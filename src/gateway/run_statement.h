#pragma once

#include "gateway/call_attributes.h"
#include "gateway/sent_request.h"

namespace lacewing::gateway {

/// What the head of a response says of whether its upstream has run the request.
enum class RunStatement {
    /// Nothing: the request may have run.
    None,
    /// The request has not run and never will, and nothing in the head speaks against that.
    NotExecuted,
    /// That the request has not run, in a head that also says that it has, or that can't be read: it may have
    /// run.
    Contradictory,
};

/// What speaks against a statement that a request has not run.
enum class StatementConflict {
    None,
    /// The statement has a value that denies it, or is made more than once with different values.
    Value,
    /// Upstreams do not reject requests with this status.
    Status,
    /// The upstream attests the response as the result of a run.
    Seal,
    /// The response is an event stream, which only a run makes.
    EventStream,
    /// The response names another upstream than the one that the request was sent to.
    OtherUpstream,
    /// The upstream that a request without a model was sent to says that it was meant for another one.
    SameUpstream,
    /// Fields came outside of the head, in an interim response or a trailer.
    FieldsOutsideHead,
    /// The response names no request although the request has an id.
    NoRequestId,
};

/// @return the conflict's name in snake_case, for logs and metrics.
const char* toString(StatementConflict conflict);

struct StatementReading {
    RunStatement statement = RunStatement::None;
    /// Set if the statement is contradictory.
    StatementConflict conflict = StatementConflict::None;
};

/// Decides whether a response proves that its request has not run.
///
/// Load pattern: an upstream in trouble writes the head of a rejection around the result of a run, or the
/// fields of two responses into one head.
///
/// @param attributes of a response that belongs to the request, or names none.
StatementReading readStatement(const ResponseAttributes& attributes, const SentRequest& request);

/// @return whether callers may take the status as a promise that the request has not run and never will.
bool impliesNotExecuted(int status);

} // namespace lacewing::gateway
