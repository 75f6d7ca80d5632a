#pragma once

#include <cstdint>
#include <string>

namespace lacewing {

/// The answer of a stand-in engine: a pure function of the adapter, its version and the prompt. Token 0 names
/// the adapter and version ("adapter@version "), so that a test can see on what a request ran. All other
/// tokens are four bytes long: three letters and a space.
class AnswerText {
public:
    /// @param identity "adapter@version", or the name of the base model.
    /// @param maximumTokens at least 1.
    AnswerText(const std::string& identity, const std::string& prompt, int64_t maximumTokens);

    std::string token(int64_t index) const;
    /// @return the number of tokens, from 1 to the maximum.
    int64_t length() const { return m_length; }
    /// @return "length" if the answer was cut off at the maximum, else "stop".
    const char* finishReason() const { return m_isCutOff ? "length" : "stop"; }

private:
    std::string m_identity;
    uint64_t m_hash;
    int64_t m_length;
    bool m_isCutOff;
};

} // namespace lacewing
