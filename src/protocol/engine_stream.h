#pragma once

#include "base/ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// One token of an engine's answer.
struct EngineToken {
    int64_t index = 0;
    std::string text;
};

/// The last event of an engine's answer.
struct EngineFinish {
    Tokens promptTokens;
    Tokens generatedTokens;
    std::string reason;
};

/// Parses an engine's server-sent event stream piece by piece. Text that is no event makes the stream
/// malformed, because an engine that fails writes an error message, or the head of another response, into its
/// answer.
class EngineStreamParser {
public:
    /// Parses the next bytes.
    ///
    /// @return the tokens that they complete, or nothing if the stream is malformed; lastError() then says
    /// why.
    std::optional<std::vector<EngineToken>> feed(std::string_view bytes);

    /// @return the finish event once it has arrived. Without it the answer is not whole.
    const std::optional<EngineFinish>& finish() const { return m_finish; }
    const std::string& lastError() const { return m_lastError; }

private:
    bool parseLine(std::string_view line, std::vector<EngineToken>& tokens);
    bool parseEvent(std::string_view data, std::vector<EngineToken>& tokens);

    std::string m_buffer;
    /// Index that the next token must have; empty before the first token.
    std::optional<int64_t> m_nextIndex;
    std::optional<EngineFinish> m_finish;
    std::string m_lastError;
};

} // namespace lacewing
