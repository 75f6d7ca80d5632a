#include "base/file_watch.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace lacewing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FileWatchTest)

// Guards against missed changes if no signal announces them, and against reports of changes that did not
// occur.
BOOST_AUTO_TEST_CASE(NoticesAChangedFile)
{
    const std::string path
        = (std::filesystem::temp_directory_path() / ("file-watch-" + std::to_string(getpid()))).string();
    const auto write = [&path](const char* content) { std::ofstream(path) << content; };
    write("a: 1");
    VirtualScheduler scheduler;
    int changes = 0;
    FileWatch watch(scheduler, path, [&changes] { ++changes; });
    watch.start();
    scheduler.advance(3s);
    BOOST_TEST(changes == 0);
    write("a: 2");
    scheduler.advance(1s);
    BOOST_TEST(changes == 1);
    write("a: 3");
    watch.acknowledge();
    scheduler.advance(2s);
    BOOST_TEST(changes == 1);
    std::filesystem::remove(path);
    scheduler.advance(2s);
    BOOST_TEST(changes == 1);
    write("a: 3");
    scheduler.advance(2s);
    BOOST_TEST(changes == 1);
    write("a: 4");
    scheduler.advance(2s);
    BOOST_TEST(changes == 2);
    std::filesystem::remove(path);
}

BOOST_AUTO_TEST_SUITE_END()
