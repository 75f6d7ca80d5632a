#include "gateway/serving_configuration.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;

namespace {

Route route(const char* id, const char* host, const char* prefix)
{
    Route route;
    route.id = RouteId(id);
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServingConfigurationTest)

// Guards against requests that are matched to a route of another host or of a shorter prefix.
BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostWins)
{
    ServingConfiguration::Builder builder(Revision(1));
    builder.add(route("short", "a.example", "/x/")).add(route("long", "a.example", "/x/y/"));
    builder.add(route("other", "b.example", "/x/y/z/"));
    const auto configuration = builder.build();
    const auto find = [&configuration](const char* host, const char* path) {
        const Route* found = configuration->findRoute(host, path);
        return found ? found->id.value() : "";
    };
    BOOST_TEST(find("a.example", "/x/y/z/1") == "long");
    BOOST_TEST(find("a.example", "/x/y") == "short");
    BOOST_TEST(find("a.example", "/xy/") == "");
    BOOST_TEST(find("b.example", "/x/") == "");
    BOOST_TEST(find("c.example", "/x/") == "");
    BOOST_TEST(find("a.example", "x") == "");
}

// Guards against acceptance of a revoked key, or of a key as that of another workspace.
BOOST_AUTO_TEST_CASE(AKeyIdentifiesItsWorkspaceOnly)
{
    ServingConfiguration::Builder builder(Revision(1));
    ServingWorkspace first;
    first.id = WorkspaceId("first");
    ServingWorkspace second;
    second.id = WorkspaceId("second");
    builder.add(first, { "key-1", "key-2" }).add(second, { "key-3" });
    const auto configuration = builder.build();
    BOOST_TEST(configuration->findWorkspace("key-2")->id == WorkspaceId("first"));
    BOOST_TEST(configuration->findWorkspace("key-3")->id == WorkspaceId("second"));
    BOOST_TEST(configuration->findWorkspace("key-4") == nullptr);
    BOOST_TEST(configuration->findWorkspace("") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
