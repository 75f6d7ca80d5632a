#include "transport/http_answer_head_check.h"

#include "transport/http_field_rules.h"

namespace lacewing {

namespace {

/// What a status line begins with; a space or the line's end follows. 0 stands for any digit.
constexpr std::string_view statusLinePattern = "HTTP/1.0 000";

} // namespace

HttpAnswerHeadCheck::Result HttpAnswerHeadCheck::check(std::string_view bytes)
{
    for (m_acceptedBytes = 0; m_acceptedBytes < bytes.size() && !m_isDone; ++m_acceptedBytes) {
        if (!acceptByte(bytes[m_acceptedBytes]))
            return Result::Failed;
    }
    return m_isDone ? Result::Done : Result::NeedMore;
}

// A line may end without a carriage return; RFC 9112 section 2.2 allows to take it.
bool HttpAnswerHeadCheck::acceptByte(char byte)
{
    if (byte != '\n') {
        const bool isReturn = byte == '\r';
        if (m_isAfterReturn || (!isReturn && isHttpControl(byte)))
            return false;
        m_isAfterReturn = isReturn;
        if (isReturn)
            return !m_isFirstLine || m_lineBytes >= statusLinePattern.size();
        if (m_isFirstLine && !acceptStatusByte(byte))
            return false;
        ++m_lineBytes;
        return true;
    }
    if (m_isFirstLine && m_lineBytes < statusLinePattern.size())
        return false;
    m_isDone = m_lineBytes == 0;
    m_isFirstLine = false;
    m_isAfterReturn = false;
    m_lineBytes = 0;
    return true;
}

bool HttpAnswerHeadCheck::acceptStatusByte(char byte)
{
    if (m_lineBytes > statusLinePattern.size())
        return true;
    if (m_lineBytes == statusLinePattern.size())
        return byte == ' ';
    const char expected = statusLinePattern[m_lineBytes];
    return expected == '0' ? byte >= '0' && byte <= '9' : byte == expected;
}

} // namespace lacewing
