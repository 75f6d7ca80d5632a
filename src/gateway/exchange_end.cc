#include "gateway/exchange_end.h"

namespace lacewing::gateway {

namespace {

constexpr int firstServerError = 500;

ExchangeEnd endOfWholeResponse(const UpstreamResponse& response, std::optional<StreamEnd> started)
{
    if (response.reading().statement == RunStatement::NotExecuted)
        return ExchangeEnd::NotExecuted;
    if (response.isStream() && (started || !response.isUnverified())) {
        // A last chunk would tell the caller that the stream is whole.
        const bool isMarkFalse
            = started == StreamEnd::LastChunk && streamEnd(response) == StreamEnd::ConnectionClose;
        return isMarkFalse ? ExchangeEnd::Broken : ExchangeEnd::Streamed;
    }
    if (response.isUnverified())
        return ExchangeEnd::Unverified;
    const int status = response.attributes()->status;
    if (impliesNotExecuted(status))
        return ExchangeEnd::AmbiguousRejection;
    return status >= firstServerError ? ExchangeEnd::Failed : ExchangeEnd::Answered;
}

} // namespace

const char* toString(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::NotSent:
        return "not_sent";
    case ExchangeEnd::NotExecuted:
        return "not_executed";
    case ExchangeEnd::AmbiguousRejection:
        return "ambiguous_rejection";
    case ExchangeEnd::Broken:
        return "broken";
    case ExchangeEnd::Failed:
        return "failed";
    case ExchangeEnd::Unverified:
        return "unverified";
    case ExchangeEnd::Answered:
        return "answered";
    case ExchangeEnd::Streamed:
        return "streamed";
    case ExchangeEnd::Silent:
        return "silent";
    }
    return "unknown";
}

bool mayHaveRun(ExchangeEnd end)
{
    return end != ExchangeEnd::NotSent && end != ExchangeEnd::NotExecuted;
}

ExchangeEnd endOfExchange(
    const UpstreamResponse& response, const HttpClientResult& result, std::optional<StreamEnd> started)
{
    if (!result.requestSent && !response.attributes())
        return ExchangeEnd::NotSent;
    if (result.error || !response.matchesRequest() || response.isCutOff())
        return ExchangeEnd::Broken;
    return endOfWholeResponse(response, started);
}

StreamEnd streamEnd(const UpstreamResponse& response)
{
    return response.framing() == BodyFraming::ConnectionClose ? StreamEnd::ConnectionClose
                                                              : StreamEnd::LastChunk;
}

} // namespace lacewing::gateway
