#include "base/log.h"
#include "daemon/flow_window.h"
#include "daemon/upstream_run.h"
#include "protocol/call_ids.h"
#include "protocol/completion_request.h"
#include "state/refusal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace lacewing {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr Duration retryDelay = std::chrono::seconds(1);
constexpr size_t maximumErrorBodyBytes = 4096;

int priorityOf(RequestClass requestClass)
{
    return requestClass == RequestClass::Interactive ? 0 : 1;
}

/// An error response that promises that the request was not run.
struct StatedRefusal {
    int status;
    std::string_view code;
};

constexpr StatedRefusal statedRefusals[] = { { 400, refusal::invalidRequest },
    { 404, "adapter_not_resident" }, { 429, refusal::queueFull }, { 503, "not_ready" } };

bool isStatedRefusal(int status, std::string_view code)
{
    return std::any_of(std::begin(statedRefusals), std::end(statedRefusals),
        [&](const StatedRefusal& stated) { return stated.status == status && stated.code == code; });
}

/// Selects the engine's API path by the kind of prompt in the body.
const char* enginePath(const RunRequest& request)
{
    return request.path == "/v1/chat/completions" ? "/v1/chat/completions" : "/v1/completions";
}

class EngineRun : public UpstreamRun {
public:
    EngineRun(HttpClient& client, const UpstreamTarget& target, const RunRequest& request, Listener listener)
        : m_client(client)
        , m_target(target)
        , m_request(request)
        , m_listener(std::move(listener))
        , m_nextToken(request.resumeFrom)
    {
    }

    void start() override
    {
        HttpClientRequest request;
        request.server = m_target.address;
        request.method = "POST";
        request.target = enginePath(m_request);
        request.headers.add("Content-Type", "application/json");
        request.headers.add(callIdField, m_target.callId);
        request.body = buildEngineBody(m_request.body, m_target.residentName, m_request.requestId.value(),
            priorityOf(m_request.requestClass), m_request.resumeFrom, m_request.workspace)
                           .value_or("{}");
        request.progressTimeout = m_target.progressTimeout;
        HttpClientHandlers handlers;
        handlers.onHeaders
            = [this](int status, const HttpHeaders& headers) { receiveHeaders(status, headers); };
        handlers.onBody = [this](std::string_view bytes) { receive(bytes); };
        handlers.onDone = [this](const HttpClientResult& result) { finish(result); };
        m_call = m_client.send(std::move(request), std::move(handlers));
    }

    void addWindow(int64_t bytes) override { m_window.add(bytes, m_call.get()); }

private:
    void receiveHeaders(int status, const HttpHeaders& headers)
    {
        m_status = status;
        if (isAnswerToCall(headers, m_target.callId, *m_call))
            return;
        logForeignAnswer(m_target, status);
        abandonAnswer();
    }

    void receive(std::string_view bytes)
    {
        if (m_isUnusable)
            return;
        if (m_status != statusOk) {
            m_errorBody += bytes.substr(
                0, maximumErrorBodyBytes - std::min(maximumErrorBodyBytes, m_errorBody.size()));
            return;
        }
        const auto tokens = m_parser.feed(bytes);
        if (!tokens || !relay(*tokens))
            abandonAnswer();
    }

    /// Closes the connection, whose further bytes can't be told from those of other answers.
    void abandonAnswer()
    {
        m_isUnusable = true;
        m_call->cancel();
    }

    /// Forwards tokens to the listener, skipping those that the caller already has.
    ///
    /// @return false if a token is missing.
    bool relay(const std::vector<EngineToken>& tokens)
    {
        RunChunk chunk;
        chunk.stream = m_request.stream;
        chunk.firstToken = m_nextToken;
        for (const EngineToken& token : tokens) {
            // An engine that ignores resume_from restarts at token 0.
            if (token.index < m_nextToken)
                continue;
            if (token.index > m_nextToken)
                return false;
            chunk.bytes += token.text;
            ++chunk.tokens;
            ++m_nextToken;
        }
        if (chunk.tokens == 0)
            return true;
        m_window.consume(chunk.bytes.size(), *m_call);
        m_listener.onChunk(chunk);
        return true;
    }

    void finish(const HttpClientResult& result)
    {
        const std::string code = errorCode();
        RunEnd end;
        if (isWhole())
            end = answered(*m_parser.finish());
        else if (!result.requestSent)
            end = refusedRun(m_request.stream, refusal::upstreamUnreachable, statusUnavailable, retryDelay);
        else if (!result.error && isStatedRefusal(m_status, code))
            end = refusedRun(m_request.stream, code, statusUnavailable, retryDelay);
        else
            end = lost();
        const auto onEnd = m_listener.onEnd;
        onEnd(end);
    }

    bool isWhole() const
    {
        const auto& finish = m_parser.finish();
        return m_status == statusOk && !m_isUnusable && finish
            && finish->generatedTokens.value() == m_nextToken;
    }

    RunEnd answered(const EngineFinish& finish) const
    {
        RunEnd end;
        end.stream = m_request.stream;
        end.outcome = Outcome::Answered;
        end.status = statusOk;
        end.finishReason = finish.reason;
        end.promptTokens = finish.promptTokens.value();
        end.generatedTokens = finish.generatedTokens.value();
        return end;
    }

    /// @return the code in the body of an error response, or "".
    std::string errorCode() const
    {
        const auto json = nlohmann::json::parse(m_errorBody, nullptr, false);
        const nlohmann::json::json_pointer pointer("/error/code");
        if (!json.is_object() || !json.contains(pointer) || !json[pointer].is_string())
            return "";
        return json[pointer].get<std::string>();
    }

    RunEnd lost() const
    {
        RunEnd end;
        end.stream = m_request.stream;
        end.outcome = Outcome::Unknown;
        end.code = refusal::upstreamLost;
        end.status = statusBadGateway;
        end.retryAfterMs = toMilliseconds(retryDelay);
        end.generatedTokens = m_nextToken;
        return end;
    }

    HttpClient& m_client;
    UpstreamTarget m_target;
    RunRequest m_request;
    Listener m_listener;
    int64_t m_nextToken;
    FlowWindow m_window;
    int m_status = 0;
    /// Whether the answer is malformed, or the answer to another call.
    bool m_isUnusable = false;
    std::string m_errorBody;
    EngineStreamParser m_parser;
    // Declared last, so that it is destroyed before the members that its callbacks use.
    std::unique_ptr<HttpClientCall> m_call;
};

} // namespace

std::unique_ptr<UpstreamRun> makeEngineRun(HttpClient& client, const UpstreamTarget& target,
    const RunRequest& request, UpstreamRun::Listener listener)
{
    return std::make_unique<EngineRun>(client, target, request, std::move(listener));
}

void logForeignAnswer(const UpstreamTarget& target, int status)
{
    LogEvent(LogLevel::Warning, "foreign_answer").with("upstream", target.upstream).with("status", status);
}

RunEnd refusedRun(StreamId stream, std::string_view code, int status, Duration retryAfter)
{
    RunEnd end;
    end.stream = stream;
    end.outcome = Outcome::RefusedNotRun;
    end.code = code;
    end.status = status;
    end.retryAfterMs = toMilliseconds(retryAfter);
    return end;
}

} // namespace lacewing
