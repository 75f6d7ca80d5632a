#include "replay/caller_trace_generator.h"

#include "protocol/configuration_yaml.h"
#include "replay/expected_answer.h"
#include "replay/trace_file.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace lacewing;

namespace {

Configuration exampleConfiguration()
{
    std::ifstream file(LACEWING_EXAMPLES "/base.yaml");
    std::ostringstream text;
    text << file.rdbuf();
    ConfigurationYaml yaml;
    const auto configuration = yaml.parse({ "base.yaml", text.str() }, {});
    BOOST_REQUIRE(configuration);
    return *configuration;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerTraceGeneratorTest)

// Guards against traces that differ from run to run or do not fit their configuration.
BOOST_AUTO_TEST_CASE(EveryKindIsReproducibleAndFits)
{
    const Configuration configuration = exampleConfiguration();
    const std::map<std::string, std::string> keys { { "city-desk", "a" }, { "city-kiosk", "b" },
        { "night-desk", "c" }, { "brief-writer", "d" } };
    RequestPreparer preparer(configuration, keys);
    for (const std::string& kind : CallerTraceGenerator::kinds()) {
        const CallerTraceOptions options { kind, 7, 10, 20 };
        const auto trace = CallerTraceGenerator(configuration, options).generate();
        BOOST_REQUIRE(trace);
        BOOST_TEST(TraceFile::format(*CallerTraceGenerator(configuration, options).generate())
            == TraceFile::format(*trace));
        TraceFile file;
        BOOST_REQUIRE(file.parse(TraceFile::format(*trace)));
        for (const CallerRequest& request : *trace)
            BOOST_CHECK_MESSAGE(preparer.prepare(request), preparer.lastError());
    }
}

// Guards against bookings that are never repeated, or repeated through the same host.
BOOST_AUTO_TEST_CASE(BookingsAreRepeatedThroughAnotherHost)
{
    const Configuration configuration = exampleConfiguration();
    const auto trace = CallerTraceGenerator(configuration, { "bookings", 3, 10, 20 }).generate();
    BOOST_REQUIRE(trace);
    std::set<std::string> ids;
    int repeats = 0;
    for (const CallerRequest& request : *trace) {
        if (request.requestId.empty() || ids.insert(request.requestId).second)
            continue;
        ++repeats;
        BOOST_TEST(request.hostRank == 1);
    }
    BOOST_TEST(repeats > 20);
}

BOOST_AUTO_TEST_SUITE_END()
