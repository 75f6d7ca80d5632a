#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace lacewing {

/// Severity of a log line.
enum class LogLevel { Info, Warning, Error };

/// Builds one log line of key=value pairs and writes it to glog when destroyed.
///
///     LogEvent(LogLevel::Info, "lease_acquired").with("upstream", id).with("fencing_number", number);
class LogEvent {
public:
    /// @param event name of the event in snake_case, the value of the first pair.
    LogEvent(LogLevel level, std::string_view event);
    ~LogEvent();
    LogEvent(const LogEvent&) = delete;
    LogEvent& operator=(const LogEvent&) = delete;

    /// Adds a pair. Values with spaces, quotes or control characters are quoted and escaped.
    template <typename T> LogEvent& with(std::string_view key, const T& value)
    {
        std::ostringstream text;
        text << value;
        append(key, text.str());
        return *this;
    }

private:
    void append(std::string_view key, const std::string& value);

    LogLevel m_level;
    std::string m_line;
};

/// Sends all log lines to standard output, one a line that begins with its time in UTC. A line for which the
/// reader has no room, or that exceeds the rate, is dropped rather than waited for; the next line that is
/// written tells how many were.
///
/// @param program name of the program, kept by glog for the life of the process.
/// @param linesPerSecond most lines that are written in a second.
void initializeServiceLogging(const char* program, int linesPerSecond);

/// Sends all log lines to standard error. Call once at program start.
///
/// @param program name of the program, kept by glog for the life of the process.
void initializeLogging(const char* program);

} // namespace lacewing
