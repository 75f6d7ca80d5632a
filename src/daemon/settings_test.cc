#include "daemon/settings.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace lacewing;

namespace {

/// A file that is deleted when it goes out of scope.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& content)
    {
        char name[] = "/tmp/lacewing-settings-XXXXXX";
        close(mkstemp(name));
        m_path = name;
        std::ofstream(m_path) << content;
    }
    ~TemporaryFile() { std::remove(m_path.c_str()); }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

std::string settingsWith(const std::string& secretPath, const std::string& extra)
{
    return "host: h1\nregion: r\ndataCentre: dc\ncallerAddress: 127.0.0.1:80\npeerAddress: 127.0.0.1:81\n"
           "platformAddress: 127.0.0.1:82\npeerSecretFile: "
        + secretPath + "\noperatorSecretFile: " + secretPath + "\nkeySecretFile: " + secretPath + "\n"
        + extra;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

// Guards against secrets that differ between hosts only in a trailing newline.
BOOST_AUTO_TEST_CASE(SecretsAreReadWithoutWhiteSpace)
{
    const TemporaryFile secret(" s3cret \n");
    const TemporaryFile file(
        settingsWith(secret.path(), "seeds:\n  h2: 127.0.0.1:91\nhostsLifetime: 250ms\n"));
    SettingsReader reader;
    const auto settings = reader.read(file.path());
    BOOST_REQUIRE_MESSAGE(settings, reader.lastError());
    BOOST_TEST(settings->peerSecret == "s3cret");
    BOOST_TEST(settings->hostsLifetime.count() == 250);
    BOOST_TEST(settings->seeds.at(0).peerAddress.port == 91);
}

// Guards against starting with a misspelt or missing setting.
BOOST_AUTO_TEST_CASE(ErrorsNameTheLine)
{
    const TemporaryFile secret("x");
    SettingsReader reader;
    for (const char* extra : { "hostLifetime: 5s\n", "hostsLifetime: 5\n", "host: h2\n", "seeds: [a]\n" }) {
        const TemporaryFile file(settingsWith(secret.path(), extra));
        BOOST_TEST(!reader.read(file.path()));
        BOOST_TEST(reader.lastError().find("line 10: ") != std::string::npos, reader.lastError());
    }
    const TemporaryFile incomplete("host: h1\n");
    BOOST_TEST(!reader.read(incomplete.path()));
    BOOST_TEST(reader.lastError().find("missing setting") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
