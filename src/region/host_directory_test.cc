#include "region/host_directory.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::region;

namespace {

const RegionId north("north");
const RegionId south("south");
const RegionId west("west");
const DataCentreId northA("n-a");
const DataCentreId northB("n-b");
const DataCentreId southA("s-a");
const DataCentreId westA("w-a");

const RegionMap regions({ { northA, north }, { northB, north }, { southA, south }, { westA, west } });

using Indices = std::vector<size_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(HostDirectoryTest)

// Guards against a restriction to two sets that have nothing in common being taken for none.
BOOST_AUTO_TEST_CASE(HomesThatHaveNothingInCommonPermitNothing)
{
    const HomeRegions both = HomeRegions({ north }).intersect(HomeRegions({ south }));
    BOOST_TEST(both.isRestricted());
    BOOST_TEST(!regions.permits(both, northA));
    BOOST_TEST(!regions.permits(both, southA));
    BOOST_TEST(regions.permits(HomeRegions({ north }).intersect(HomeRegions()), northB));
}

// Guards against a request with home regions at an upstream whose region is unknown.
BOOST_AUTO_TEST_CASE(AnUnknownDataCentreIsInNoRegion)
{
    BOOST_TEST(!regions.permits(HomeRegions({ north }), DataCentreId("other")));
    BOOST_TEST(regions.permits(HomeRegions(), DataCentreId("other")));
    BOOST_TEST(RegionMap().permits(HomeRegions({ north }), DataCentreId("other")));
}

// Guards against bodies that reach hosts of other regions while near ones are ready.
BOOST_AUTO_TEST_CASE(NamesNoFarHostWhileANearOneIsReady)
{
    const HostDirectory directory(regions);
    const std::vector<DataCentreId> hosts { westA, southA, northA, northB };
    BOOST_TEST(directory.select(hosts, { north }, { west, westA }) == (Indices { 0, 2, 3 }));
    BOOST_TEST(directory.select(hosts, { north }, {}) == (Indices { 2, 3 }));
    BOOST_TEST(directory.select({ westA, southA }, { north }, {}) == (Indices { 0, 1 }));
}

// Guards against callers that are sent to a distant host although one in their own data centre is ready.
BOOST_AUTO_TEST_CASE(NamesTheNearestHostsFirst)
{
    const HostDirectory directory(regions);
    const std::vector<DataCentreId> hosts { southA, northA, northB };
    BOOST_TEST(directory.select(hosts, { south }, { std::nullopt, northB }) == (Indices { 2, 1, 0 }));
    BOOST_TEST(directory.select(hosts, { south }, { north, std::nullopt }) == (Indices { 1, 2, 0 }));
    const std::vector<DataCentreId> many(HostDirectory::maximumHosts + 9, northA);
    BOOST_TEST(directory.select(many, { north }, {}).size() == HostDirectory::maximumHosts);
}

// Guards against a changed answer for host names without home regions, or where there are no regions.
BOOST_AUTO_TEST_CASE(NamesAllHostsWithoutHomes)
{
    const std::vector<DataCentreId> hosts { southA, northA };
    BOOST_TEST(HostDirectory(regions).select(hosts, {}, { north, northA }) == (Indices { 0, 1 }));
    const RegionMap none;
    BOOST_TEST(HostDirectory(none).select(hosts, { north }, { north, northA }) == (Indices { 0, 1 }));
}

BOOST_AUTO_TEST_SUITE_END()
