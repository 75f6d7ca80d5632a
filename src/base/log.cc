#include "base/log.h"

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <utility>

namespace lacewing {

namespace {

bool needsQuotes(const std::string& value)
{
    if (value.empty())
        return true;
    for (const char c : value) {
        // Bytes of other characters than ASCII's are below ' ' where char is signed.
        if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == 0x7f)
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

/// @return the time in UTC as a "time=" pair followed by a space.
std::string timeStamp(const google::LogMessageTime& time)
{
    const time_t seconds = time.timestamp();
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char date[32];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
    char text[64];
    std::snprintf(text, sizeof text, "time=%s.%03dZ ", date, static_cast<int>(time.usec() / 1000));
    return text;
}

/// Writes log lines to standard output without blocking. Drops lines if the reader is too slow or the rate
/// limit is exceeded.
class StandardOutputSink : public google::LogSink {
public:
    explicit StandardOutputSink(int linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    void send(google::LogSeverity, const char*, const char*, int, const google::LogMessageTime& time,
        const char* message, size_t length) override
    {
        if (time.timestamp() != m_second) {
            m_second = time.timestamp();
            m_linesInSecond = 0;
        }
        if (m_linesInSecond >= m_linesPerSecond || !isWritable()) {
            ++m_dropped;
            return;
        }
        ++m_linesInSecond;
        const std::string stamp = timeStamp(time);
        std::string text;
        if (m_dropped > 0)
            text = stamp + "event=log_lines_dropped count=" + std::to_string(std::exchange(m_dropped, 0))
                + '\n';
        text += stamp;
        text.append(message, length);
        text += '\n';
        if (::write(STDOUT_FILENO, text.data(), text.size()) < 0)
            ++m_dropped;
    }

private:
    // A pipe that polls as writable accepts a log line without blocking.
    static bool isWritable()
    {
        pollfd output { STDOUT_FILENO, POLLOUT, 0 };
        return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
    }

    int m_linesPerSecond;
    int m_linesInSecond = 0;
    int64_t m_dropped = 0;
    time_t m_second = 0;
};

/// Null in programs that log to standard error. Never destroyed before the process exits.
StandardOutputSink* standardOutputSink = nullptr;

void writeToSink(LogLevel level, const std::string& line)
{
    if (level == LogLevel::Info)
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(standardOutputSink, INFO) << line;
    else if (level == LogLevel::Warning)
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(standardOutputSink, WARNING) << line << " level=warning";
    else
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(standardOutputSink, ERROR) << line << " level=error";
}

} // namespace

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : m_level(level)
    , m_line("event=" + std::string(event))
{
}

LogEvent::~LogEvent()
{
    if (standardOutputSink) {
        writeToSink(m_level, m_line);
        return;
    }
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

void initializeServiceLogging(const char* program, int linesPerSecond)
{
    static StandardOutputSink sink(linesPerSecond);
    standardOutputSink = &sink;
    google::InitGoogleLogging(program);
}

void initializeLogging(const char* program)
{
    FLAGS_logtostderr = true;
    // Lines start with their event; readers do not need the time and source location of glog's prefix.
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program);
}

} // namespace lacewing
