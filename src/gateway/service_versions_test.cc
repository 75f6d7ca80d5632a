#include "gateway/service_versions.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("chat");
const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");
const SoftwareVersion v3("v3");
constexpr Duration longestStream = 30s;

ServiceVersions versions(SoftwareVersion base, std::set<SoftwareVersion> others, int64_t revision = 1)
{
    return { service, std::move(base), false, std::move(others), VersionsRevision(revision) };
}

std::optional<ServiceVersions> plan(const ServiceVersions& known, const VersionsInUse& inUse)
{
    return planVersions(service, &known, inUse, longestStream);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceVersionsTest)

BOOST_AUTO_TEST_CASE(TheFirstBaseIsTheVersionOfMostUpstreams)
{
    const auto planned = planVersions(service, nullptr, { { { v1, 2 }, { v2, 3 } }, {}, {} }, longestStream);
    BOOST_REQUIRE(planned);
    BOOST_TEST(planned->base == v2);
    BOOST_TEST((planned->others == std::set<SoftwareVersion> { v1 }));
    BOOST_TEST(!planVersions(service, nullptr, {}, longestStream));
}

BOOST_AUTO_TEST_CASE(AnotherVersionIsAddedAndTheBaseStays)
{
    BOOST_TEST(!plan(versions(v1, {}), { { { v1, 5 } }, {}, {} }));
    const auto planned = plan(versions(v1, {}), { { { v1, 1 }, { v2, 5 } }, {}, {} });
    BOOST_REQUIRE(planned);
    BOOST_TEST(planned->base == v1);
    BOOST_TEST((planned->others == std::set<SoftwareVersion> { v2 }));
    BOOST_TEST(planned->revision.value() == 2);
}

// Guards against a stream without a record that counts as begun by the next base version.
BOOST_AUTO_TEST_CASE(TheBaseMovesOnlyOnceNoStreamOfItCanBeTakenUp)
{
    BOOST_TEST(!plan(versions(v1, { v2 }), { { { v2, 5 } }, { { v1, 30s } }, {} }));
    BOOST_TEST(!plan(versions(v1, { v2 }), { { { v2, 5 } }, {}, {} }));
    // Back after a rollback.
    BOOST_TEST(!plan(versions(v1, { v2 }), { { { v1, 1 }, { v2, 5 } }, { { v1, 31s } }, {} }));
    const auto retired = plan(versions(v1, { v2 }), { { { v2, 5 } }, { { v1, 31s } }, {} });
    BOOST_REQUIRE(retired);
    BOOST_TEST(retired->base == v1);
    BOOST_TEST(retired->isBaseRetired);
    BOOST_TEST(!retired->beginsUnrecorded(v1));
    BOOST_TEST(!plan(*retired, { { { v2, 5 } }, { { v1, 61s } }, 30s }));
    const auto planned = plan(*retired, { { { v2, 5 } }, { { v1, 62s } }, 31s });
    BOOST_REQUIRE(planned);
    BOOST_TEST(planned->base == v2);
    BOOST_TEST(!planned->isBaseRetired);
    BOOST_TEST(planned->others.empty());
}

// Guards against a host that was frozen and replaces the base, because it hasn't seen its version for long.
BOOST_AUTO_TEST_CASE(ABaseThatIsBackIsRetiredNoMore)
{
    const auto retired = plan(versions(v1, { v2 }), { { { v2, 5 } }, { { v1, 900s } }, {} });
    BOOST_REQUIRE(retired);
    BOOST_TEST(retired->base == v1);
    const auto back = plan(*retired, { { { v1, 1 }, { v2, 5 } }, {}, 31s });
    BOOST_REQUIRE(back);
    BOOST_TEST(back->base == v1);
    BOOST_TEST(back->beginsUnrecorded(v1));
}

BOOST_AUTO_TEST_CASE(TwoReleasesInOneStreamKeepAllVersions)
{
    const auto planned = plan(versions(v1, { v2 }), { { { v3, 5 } }, { { v1, 9s }, { v2, 4s } }, {} });
    BOOST_REQUIRE(planned);
    BOOST_TEST(planned->base == v1);
    BOOST_TEST((planned->others == std::set<SoftwareVersion> { v2, v3 }));
    const auto retired = plan(*planned, { { { v3, 5 } }, { { v1, 31s }, { v2, 26s } }, {} });
    BOOST_REQUIRE(retired);
    const auto later = plan(*retired, { { { v3, 5 } }, { { v1, 62s }, { v2, 57s } }, 31s });
    BOOST_REQUIRE(later);
    BOOST_TEST(later->base == v3);
    BOOST_TEST(later->others.empty());
}

// Guards against a base that moves while no upstream is known, as right after a start.
BOOST_AUTO_TEST_CASE(NothingChangesWithoutUpstreams)
{
    BOOST_TEST(!plan(versions(v1, { v2 }), { {}, { { v1, 1000s }, { v2, 1000s } }, 1000s }));
}

BOOST_AUTO_TEST_SUITE_END()
