#include "fakes/fault_settings.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(FaultSettingsTest)

// Guards against a refused change that is applied in part, and against a misspelt fault that a test believes
// to be set.
BOOST_AUTO_TEST_CASE(InvalidChangesChangeNothing)
{
    FaultSettings faults;
    bool down = false;
    double lost = 0;
    int actions = 0;
    faults.addFlag("table.down", down);
    faults.addProbability("table.lose_answers", lost);
    faults.addAction("crash", 1, [&](double) { ++actions; });
    for (const char* text : { R"({"table":{"down":true,"lose":1}})", R"({"table":{"down":true},"crash":2})",
             R"({"table":{"down":true,"lose_answers":1.5}})", R"({"table":{"down":1}})",
             R"({"table":{"down":true,"lose_answers":{"x":1}}})", R"({"crash":true,"table":"down"})", "[]",
             "{" }) {
        BOOST_TEST_CONTEXT(text)
        BOOST_TEST(faults.apply(json::parse(text, nullptr, false)).has_value());
    }
    BOOST_TEST(!down);
    BOOST_TEST(lost == 0);
    BOOST_TEST(actions == 0);
}

// Guards against faults that are reset by a change of another fault, and actions that run again.
BOOST_AUTO_TEST_CASE(OtherFaultsStayAsTheyAre)
{
    FaultSettings faults;
    bool down = false;
    double lost = 0;
    int actions = 0;
    faults.addFlag("table.down", down);
    faults.addProbability("table.lose_answers", lost);
    faults.addAction("crash", 1, [&](double) { ++actions; });
    BOOST_TEST(!faults.apply(json::parse(R"({"table":{"down":true},"crash":true})")));
    BOOST_TEST(!faults.apply(json::parse(R"({"table":{"lose_answers":true},"crash":false})")));
    BOOST_TEST(faults.show().dump() == R"({"table":{"down":true,"lose_answers":1.0}})");
    BOOST_TEST(actions == 1);
}

BOOST_AUTO_TEST_SUITE_END()
