#include "coordination/lease_assignment.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lacewing;

namespace {

std::vector<LeaseHost> hosts(size_t count)
{
    std::vector<LeaseHost> result;
    for (size_t i = 0; i < count; ++i)
        result.push_back({ HostId("h" + std::to_string(i)), DataCentreId("dc" + std::to_string(i % 3)) });
    return result;
}

std::vector<LeaseName> names()
{
    std::vector<LeaseName> result;
    for (size_t i = 0; i < 64; ++i)
        result.push_back({ "allotment/" + std::to_string(i), DataCentreId() });
    for (size_t i = 0; i < 12; ++i)
        result.push_back({ "upstream/u" + std::to_string(i), DataCentreId("dc" + std::to_string(i % 3)) });
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeaseAssignmentTest)

// Guards against a host that is assigned far more leases than the mean, and against upstreams assigned to
// another data centre although a host in their own has capacity left.
BOOST_AUTO_TEST_CASE(LoadsAreBoundedAndDataCentresKept)
{
    const auto preferred = BoundedLoadAssignment().assign(names(), hosts(6));
    std::map<HostId, size_t> partitions;
    for (size_t i = 0; i < 64; ++i)
        ++partitions[preferred.at("allotment/" + std::to_string(i))];
    for (const auto& [host, count] : partitions)
        BOOST_TEST(count <= 14u);
    for (const LeaseName& name : names()) {
        if (name.dataCentre.empty())
            continue;
        const auto all = hosts(6);
        const auto holder = std::find_if(all.begin(), all.end(),
            [&](const LeaseHost& host) { return host.host == preferred.at(name.name); });
        BOOST_TEST(holder->dataCentre == name.dataCentre);
    }
}

// Guards against an assignment that moves most leases when a single host leaves.
BOOST_AUTO_TEST_CASE(LeavingHostMovesLittleElse)
{
    const auto before = BoundedLoadAssignment().assign(names(), hosts(7));
    const auto after = BoundedLoadAssignment().assign(names(), hosts(6));
    size_t moved = 0;
    size_t lost = 0;
    for (const auto& [name, host] : before) {
        lost += host == HostId("h6") ? 1 : 0;
        moved += host != after.at(name) ? 1 : 0;
    }
    BOOST_TEST(moved <= lost + 12);
}

BOOST_AUTO_TEST_SUITE_END()
