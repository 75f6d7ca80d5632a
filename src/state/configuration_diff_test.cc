#include "state/configuration_diff.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(ConfigurationDiffTest)

// Guards against changes that are missing from the output of a dry run or a conflict.
BOOST_AUTO_TEST_CASE(EachKindOfChangeIsListed)
{
    Configuration before;
    const WorkspaceId workspace("w");
    before.workspaces[workspace] = { workspace, Tokens(100), Tokens(500) };
    before.keys = { { "old", workspace, "" }, { "kept", workspace, "aa" } };
    before.adapters[AdapterId("a")]
        = { AdapterId("a"), workspace, ModelId("m"), { AdapterVersion("v1") }, AdapterVersion("v1") };
    UpstreamConfig engine;
    engine.id = UpstreamId("e");
    before.upstreams[engine.id] = engine;
    RouteConfig route;
    route.id = RouteId("r");
    route.path = "/r/";

    Configuration after = before;
    after.workspaces[workspace].rate = Tokens(200);
    after.keys = { { "kept", workspace, "bb" }, { "new", workspace, "" } };
    after.adapters[AdapterId("a")].versions = { AdapterVersion("v2") };
    after.adapters[AdapterId("a")].defaultVersion = AdapterVersion("v2");
    after.upstreams[engine.id].state = UpstreamState::Draining;
    after.routes = { route };
    after.loadLimits.loadsPerSecond = 3.5;

    std::vector<std::string> texts;
    for (const ConfigurationChange& change : diffConfigurations(before, after))
        texts.push_back(change.text());
    const std::vector<std::string> expected = {
        "workspace w: rate 100 tokens/s -> 200 tokens/s",
        "key kept: hash aa -> bb",
        "key old removed (workspace w)",
        "key new added (workspace w)",
        "adapter a: versions drops v1",
        "adapter a: versions adds v2",
        "adapter a: defaultVersion v1 -> v2",
        "upstream e: state live -> leaving",
        "route r added (/r/)",
        "loadLimits: loadsPerSecond 0 loads/s -> 3.5 loads/s",
    };
    BOOST_TEST(texts == expected, boost::test_tools::per_element());
    BOOST_TEST(diffConfigurations(after, after).empty());
}

BOOST_AUTO_TEST_SUITE_END()
