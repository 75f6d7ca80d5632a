#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace lacewing {

/// Finds in the logs of several hosts what explains the outcome of one request.
///
/// The logs are those of lacewinglb-gateway: one line of key=value pairs for each event. What stands before
/// the first pair, for example what a log collector adds, is ignored.
class LogStory {
public:
    /// Why a line belongs to the story.
    enum class Part {
        /// What the host believed before: its configuration, the store, the upstream.
        Context,
        /// An owner's decision about the request, or an order for its adapter.
        Owner,
        /// Names the request.
        Request,
    };

    struct Line {
        std::string time;
        std::string host;
        Part part = Part::Request;
        std::string text;
    };

    /// Reads a log.
    ///
    /// @param name of the host, if the log does not tell it.
    void addLog(const std::string& name, std::istream& log);

    /// @param request id of the request.
    /// @return the lines that matter, in order of time; empty if no line names the request.
    std::vector<Line> tell(const std::string& request) const;

private:
    struct Event {
        std::string text;
        std::map<std::string, std::string> fields;

        /// @return an empty text if the event has no such field.
        std::string field(const std::string& key) const;
    };

    struct Log {
        std::string host;
        std::vector<Event> events;
    };

    static std::map<std::string, std::string> parse(const std::string& text);
    static Line lineOf(const Log& log, const Event& event, Part part);
    static void addContext(const Log& log, size_t first, std::vector<Line>& lines);
    void addOwners(const std::string& host, const Event& event, std::vector<Line>& lines) const;

    std::vector<Log> m_logs;
};

/// @return the part's name, for the output.
const char* toString(LogStory::Part part);

} // namespace lacewing
