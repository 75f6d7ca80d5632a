#include "fakes/host_list.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(HostListTest)

// Guards against a list that is current, which would hide faults of daemons that trust it.
BOOST_AUTO_TEST_CASE(ListShowsThePast)
{
    VirtualScheduler scheduler;
    TableStore table;
    HostList list(scheduler, 3s);
    const auto write = [&](const std::string& state) {
        table.commit("w", {},
            { { "session/a", R"({"address":"127.0.0.1:1","state":")" + state + "\"}" },
                { "session/b", "not JSON" }, { "lease/upstream/c", R"({"state":"live"})" } });
        list.observe(table);
    };
    const auto shown = [&] { return list.show().dump(); };
    write("live");
    BOOST_TEST(shown() == R"({"hosts":[]})");
    scheduler.advance(2s);
    write("leaving");
    scheduler.advance(1s);
    BOOST_TEST(shown() == R"({"hosts":[{"address":"127.0.0.1:1","id":"a","state":"live"}]})");
    write("ended");
    scheduler.advance(2s);
    BOOST_TEST(shown() == R"({"hosts":[{"address":"127.0.0.1:1","id":"a","state":"leaving"}]})");
    scheduler.advance(1s);
    BOOST_TEST(shown() == R"({"hosts":[]})");
}

BOOST_AUTO_TEST_SUITE_END()
