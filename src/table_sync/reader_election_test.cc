#include "table_sync/reader_election.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace lacewing;
using namespace lacewing::table_sync;

namespace {

/// @return the number of readers in a fleet whose hosts are all in touch.
size_t readersOf(size_t hostCount)
{
    std::set<HostId> hosts;
    for (size_t index = 0; index < hostCount; ++index)
        hosts.insert(HostId("host-" + std::to_string(index)));
    size_t readers = 0;
    for (const HostId& self : hosts) {
        std::set<HostId> peers = hosts;
        peers.erase(self);
        readers += isReader(self, peers) ? 1 : 0;
    }
    return readers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReaderElectionTest)

// Guards against a fleet without readers, and against calls to the store that grow with the fleet.
BOOST_AUTO_TEST_CASE(HostsInTouchWithEachOtherChooseFewReaders)
{
    BOOST_TEST(readersOf(1) == 1u);
    BOOST_TEST(readersOf(12) == 12u);
    BOOST_TEST(readersOf(13) == 6u);
    BOOST_TEST(readersOf(72) == 6u);
    BOOST_TEST(readersOf(195) == 16u);
}

// Guards against a host that is cut off from its peers and reads nothing.
BOOST_AUTO_TEST_CASE(AHostWithoutPeersIsAReader)
{
    BOOST_TEST(isReader(HostId("host-1"), {}));
}

BOOST_AUTO_TEST_SUITE_END()
