#include "fuzz/fuzz_runner.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

using namespace lacewing::fuzz;

namespace {

/// Fails on every input that contains an exclamation mark.
class ExclamationMarkTarget : public FuzzTarget {
public:
    std::string name() const override { return "picky"; }
    std::optional<std::string> run(std::string_view input) override
    {
        ++runs;
        if (input.find('!') != std::string_view::npos)
            return "exclamation mark";
        return std::nullopt;
    }
    int runs = 0;
};

struct Fixture {
    Fixture()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "lacewing-fuzz-XXXXXX").string();
        folder = mkdtemp(pattern.data());
        std::filesystem::create_directories(folder + "/picky");
    }
    ~Fixture() { std::filesystem::remove_all(folder); }
    void add(const char* name, const char* input) { std::ofstream(folder + "/picky/" + name) << input; }

    std::string folder;
    ExclamationMarkTarget target;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FuzzRunnerTest, Fixture)

// Guards against failures whose input is not saved.
BOOST_AUTO_TEST_CASE(SavesFailingInput)
{
    add("1", "fine");
    add("2", "bad!");
    BOOST_TEST(!FuzzRunner({ folder, folder, 1, 10 }).runTarget(target));
    std::ifstream file(folder + "/fuzz-picky.bin");
    std::string kept;
    file >> kept;
    BOOST_TEST(kept == "bad!");
}

// Guards against a run that passes without testing any input.
BOOST_AUTO_TEST_CASE(FailsWithoutCorpus)
{
    BOOST_TEST(!FuzzRunner({ folder + "/none", folder, 1, 10 }).runTarget(target));
    add("1", "fine");
    FuzzRunner({ folder, folder, 1, 10 }).runTarget(target);
    BOOST_TEST(target.runs >= 1);
}

BOOST_AUTO_TEST_SUITE_END()
