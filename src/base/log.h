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

    /// Appends a key=value pair. Values with spaces, quotes, equals signs or control characters are quoted
    /// and escaped.
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

/// Writes log events to standard output, one per line and prefixed with the time in UTC. To avoid blocking,
/// lines are dropped if the reader does not keep up or the rate limit is exceeded; the number of dropped
/// lines is logged before the next line.
///
/// @param program name of the program; glog keeps the pointer for the lifetime of the process.
/// @param linesPerSecond maximum number of lines written per second.
void initializeServiceLogging(const char* program, int linesPerSecond);

/// Writes log events to standard error. Must be called once at program start.
///
/// @param program name of the program; glog keeps the pointer for the lifetime of the process.
void initializeLogging(const char* program);

} // namespace lacewing
