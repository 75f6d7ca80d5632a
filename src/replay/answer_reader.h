#pragma once

#include "replay/expected_answer.h"
#include "replay/request_result.h"
#include "transport/http_client.h"

#include <nlohmann/json_fwd.hpp>

namespace lacewing {

/// Reads the answer to one request and checks it against the expected one.
class AnswerReader {
public:
    /// @param request must outlive the reader.
    /// @param result where to put what is found.
    AnswerReader(const PreparedRequest& request, RequestResult& result);

    void receiveHeaders(int status, const HttpHeaders& headers);
    /// @param now since the start of the replay.
    void receive(std::string_view bytes, Duration now);
    /// Sets the ending.
    ///
    /// @param error of the connection, if any.
    /// @param cancelled true if the caller left on purpose.
    void finish(std::optional<HttpClientError> error, bool cancelled, Duration now);

    /// @return true once the caller has the tokens after which the trace lets it leave.
    bool shouldCancel() const;

private:
    void receiveEvent(std::string_view event, Duration now);
    void addText(std::string_view text, Duration now);
    void finishStream();
    void finishWhole();
    void finishService();
    void checkCompletion(const nlohmann::json& answer);
    void fail(const std::string& body);
    void wrong(std::string fault);
    int64_t receivedTokens() const;

    const PreparedRequest& m_request;
    RequestResult& m_result;
    int m_status = 0;
    std::string m_outcome;
    bool m_isEventStream = false;
    /// Bytes of an unfinished event, or the whole body.
    std::string m_buffer;
    std::string m_text;
    std::string m_lastEvent;
    bool m_isDone = false;
    Duration m_lastTokenAt {};
};

} // namespace lacewing
