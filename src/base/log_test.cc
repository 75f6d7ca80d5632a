#include "base/log.h"

#include <boost/test/unit_test.hpp>
#include <glog/logging.h>

using namespace lacewing;

namespace {

/// Keeps the text of the last line.
class LastLine : public google::LogSink {
public:
    LastLine() { google::AddLogSink(this); }
    ~LastLine() override { google::RemoveLogSink(this); }
    LastLine(const LastLine&) = delete;
    LastLine& operator=(const LastLine&) = delete;

    void send(google::LogSeverity, const char*, const char*, int, const google::LogMessageTime&,
        const char* message, size_t length) override
    {
        m_text.assign(message, length);
    }
    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LogTest)

// Guards against a value that adds a pair to its line, and against lines that depend on the signedness of
// char.
BOOST_AUTO_TEST_CASE(ValuesAreQuotedWhereNeeded)
{
    const std::pair<std::string, std::string> cases[]
        = { { "a", "a" }, { "", "\"\"" }, { "a b", "\"a b\"" }, { "a=b", "\"a=b\"" }, { "a\nb", "\"a b\"" },
              { "a\"b", "\"a\\\"b\"" }, { "a\x7f", "\"a\x7f\"" }, { "\xc3\xa4", "\xc3\xa4" } };
    const LastLine line;
    for (const auto& [value, written] : cases) {
        LogEvent(LogLevel::Info, "test").with("key", value);
        BOOST_TEST(line.text() == "event=test key=" + written);
    }
}

BOOST_AUTO_TEST_SUITE_END()
