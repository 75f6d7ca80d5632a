#include "coordination/key_ring.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(KeyRingTest)

// Guards against keys that grant access to another workspace or stay valid after they were withdrawn or
// moved.
BOOST_AUTO_TEST_CASE(UpdateNamesWithdrawnKeys)
{
    const auto key = [](const char* id, const char* workspace, const char* text) {
        return KeyConfig { id, WorkspaceId(workspace), KeyRing::hashOf("secret", text) };
    };
    KeyRing ring("secret");
    BOOST_TEST(
        ring.update({ key("a", "w1", "one"), key("b", "w2", "two"), key("c", "w3", "three") }).empty());
    BOOST_REQUIRE(ring.find("one") != nullptr);
    BOOST_TEST(ring.find("one")->workspace == WorkspaceId("w1"));
    BOOST_TEST(ring.find("One") == nullptr);
    BOOST_TEST(ring.find("") == nullptr);
    BOOST_TEST(ring.find(KeyRing::hashOf("secret", "one")) == nullptr);
    BOOST_TEST(KeyRing("other").find("one") == nullptr);

    // "a" is withdrawn, "b" moves to another workspace, "c" is only renamed.
    const auto withdrawn = ring.update({ key("b", "w1", "two"), key("d", "w3", "three") });
    BOOST_TEST(withdrawn.size() == 2U);
    BOOST_TEST(ring.find("one") == nullptr);
    BOOST_TEST(!ring.grantsAccess(KeyRing::hashOf("secret", "two"), WorkspaceId("w2")));
    BOOST_TEST(ring.grantsAccess(KeyRing::hashOf("secret", "three"), WorkspaceId("w3")));
}

BOOST_AUTO_TEST_SUITE_END()
