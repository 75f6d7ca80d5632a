#include "gateway/run_statement.h"

namespace lacewing::gateway {

namespace {

constexpr int statusRequestTimeout = 408;
constexpr int statusMisdirected = 421;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

/// @return whether upstreams reject requests with the status and mean that another upstream may take them.
bool isRejection(int status)
{
    return status == statusMisdirected || status == statusTooManyRequests || status == statusUnavailable;
}

StatementConflict conflictOf(const ResponseAttributes& attributes, const SentRequest& request)
{
    if (attributes.notExecuted == NotExecutedField::Unclear)
        return StatementConflict::Value;
    if (!isRejection(attributes.status))
        return StatementConflict::Status;
    if (attributes.isSealed)
        return StatementConflict::Seal;
    if (attributes.isEventStream)
        return StatementConflict::EventStream;
    // Upstreams repeat the id. Without it, the statement may be about anything that they have been sent.
    if (attributes.requestId.empty() && !request.id.empty())
        return StatementConflict::NoRequestId;
    if (!attributes.respondingUpstream)
        return StatementConflict::None;
    // A misdirected request is answered by whichever upstream has the address now.
    const bool isOther = *attributes.respondingUpstream != request.upstream;
    if (attributes.status != statusMisdirected)
        return isOther ? StatementConflict::OtherUpstream : StatementConflict::None;
    return isOther || request.namesModel ? StatementConflict::None : StatementConflict::SameUpstream;
}

} // namespace

const char* toString(StatementConflict conflict)
{
    switch (conflict) {
    case StatementConflict::None:
        return "none";
    case StatementConflict::Value:
        return "value";
    case StatementConflict::Status:
        return "status";
    case StatementConflict::Seal:
        return "seal";
    case StatementConflict::EventStream:
        return "event_stream";
    case StatementConflict::OtherUpstream:
        return "other_upstream";
    case StatementConflict::SameUpstream:
        return "same_upstream";
    case StatementConflict::FieldsOutsideHead:
        return "fields_outside_head";
    case StatementConflict::NoRequestId:
        return "no_request_id";
    }
    return "unknown";
}

StatementReading readStatement(const ResponseAttributes& attributes, const SentRequest& request)
{
    // An upstream that now uses the address of another one may say so by the status 421 alone.
    const bool isStated
        = attributes.notExecuted != NotExecutedField::Absent || attributes.status == statusMisdirected;
    if (!isStated)
        return {};
    const StatementConflict conflict = conflictOf(attributes, request);
    if (conflict != StatementConflict::None)
        return { RunStatement::Contradictory, conflict };
    return { RunStatement::NotExecuted, StatementConflict::None };
}

bool impliesNotExecuted(int status)
{
    return status == statusRequestTimeout || isRejection(status);
}

} // namespace lacewing::gateway
