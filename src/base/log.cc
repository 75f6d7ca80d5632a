#include "base/log.h"

#include <glog/logging.h>

namespace lacewing {

namespace {

bool needsQuotes(const std::string& value)
{
    if (value.empty())
        return true;
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == 0x7f)
            return true;
    }
    return false;
}

std::string quoted(const std::string& value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return text + "\"";
}

} // namespace

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : m_level(level)
    , m_line("event=" + std::string(event))
{
}

LogEvent::~LogEvent()
{
    switch (m_level) {
    case LogLevel::Info:
        LOG(INFO) << m_line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << m_line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << m_line;
        break;
    }
}

void LogEvent::append(std::string_view key, const std::string& value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    m_line += needsQuotes(value) ? quoted(value) : value;
}

void initializeLogging(const char* program)
{
    FLAGS_logtostderr = true;
    // Each line starts with its event; time and place of the call are of no use to its readers.
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program);
}

} // namespace lacewing
