#include "replay/trace_file.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

namespace {

const std::string head = "{\"format\":\"lacewing-trace\",\"version\":1}\n";

} // namespace

BOOST_AUTO_TEST_SUITE(TraceFileTest)

// Guards against fields that are lost or mixed up on the way through a file.
BOOST_AUTO_TEST_CASE(KeepsAllFields)
{
    CallerRequest request { 12, "desk", "completions", "harbour@v1", 40, 7, 64, true, "id-1", "dc-2", 1, 5 };
    const std::string text = TraceFile::format({ request });
    TraceFile file;
    const auto parsed = file.parse(text);
    BOOST_REQUIRE(parsed);
    BOOST_TEST(TraceFile::format(*parsed) == text);
    BOOST_TEST(parsed->at(0).cancelAfterTokens == 5);
}

// Guards against a trace that silently means something else than its author thinks.
BOOST_AUTO_TEST_CASE(RefusesWhatItDoesNotKnow)
{
    TraceFile file;
    BOOST_TEST(!file.parse("{\"at_ms\":1,\"route\":\"seats\"}\n"));
    for (const char* line :
        { "{\"route\":\"seats\",\"at\":1}", "{\"at_ms\":1}", "{\"route\":\"seats\",\"at_ms\":-1}",
            "{\"route\":\"c\",\"model\":\"a\"}", "{\"route\":\"c\",\"cancel_after_tokens\":1}", "[]" }) {
        BOOST_TEST(!file.parse(head + line + "\n"), line);
        BOOST_TEST(file.lastError().rfind("line 2: ", 0) == 0u);
    }
}

BOOST_AUTO_TEST_SUITE_END()
