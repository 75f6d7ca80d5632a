#include "gateway/gateway_settings.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const std::string valid = "host: host-1\n"
                          "dataCentre: dc-1\n"
                          "callerAddress: 127.0.0.1:1001\n"
                          "readinessAddress: 127.0.0.1:1002\n"
                          "directoryAddress: 127.0.0.1:1003\n"
                          "peerAddress: 127.0.0.1:1004\n"
                          "metricsAddress: 127.0.0.1:1005\n"
                          "storeAddress: 127.0.0.1:1006\n";

/// A settings file that is removed at the end of the test.
class SettingsFile {
public:
    explicit SettingsFile(const std::string& text)
        : m_path("gateway-settings-test-" + std::to_string(getpid()) + ".yaml")
    {
        std::ofstream(m_path) << text;
    }
    ~SettingsFile() { std::remove(m_path.c_str()); }

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

std::string errorOf(const std::string& text)
{
    const SettingsFile file(text);
    GatewaySettingsReader reader;
    BOOST_TEST(!reader.read(file.path()).has_value());
    return reader.lastError();
}

} // namespace

BOOST_AUTO_TEST_SUITE(GatewaySettingsTest)

BOOST_AUTO_TEST_CASE(ReadsAllFields)
{
    const SettingsFile file(valid
        + "leaseMilliseconds: 2500\nretryRatio: 0.3\nfirstStart: true\nmemoryMegabytes: 160\n"
          "promptAffinity: true\n");
    GatewaySettingsReader reader;
    const auto settings = reader.read(file.path());
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->host == HostId("host-1"));
    BOOST_TEST(settings->storeAddress.port == 1006);
    BOOST_TEST((settings->leaseTime == 2500ms));
    BOOST_TEST(settings->retries.ratio == 0.3);
    BOOST_TEST(settings->isFirstStart);
    BOOST_TEST(settings->promptAffinity);
    BOOST_TEST(settings->memoryBytes == 160'000'000u);
    BOOST_TEST(settings->messageMemory() < settings->memoryBytes / 2);
}

// Guards against a policy that changes for operators who have not set it.
BOOST_AUTO_TEST_CASE(TheOverloadPolicyIsByArrivalUnlessSet)
{
    GatewaySettingsReader reader;
    const SettingsFile unset(valid);
    BOOST_TEST((reader.read(unset.path())->overloadPolicy == OverloadPolicy::Arrival));
    const SettingsFile set(valid + "overloadPolicy: priority\n");
    BOOST_TEST((reader.read(set.path())->overloadPolicy == OverloadPolicy::Priority));
    BOOST_TEST(errorOf(valid + "overloadPolicy: fair\n").find("priority or arrival") != std::string::npos);
}

// Guards against error messages that do not show the operator which line and field to correct.
BOOST_AUTO_TEST_CASE(ErrorsNameFileLineAndField)
{
    const std::string wrongAddress = errorOf(valid + "leaseMilliseconds: soon\n");
    BOOST_TEST(wrongAddress.find(".yaml:9:") != std::string::npos);
    BOOST_TEST(wrongAddress.find("leaseMilliseconds") != std::string::npos);
    BOOST_TEST(errorOf(valid + "colour: red\n").find("unknown field 'colour'") != std::string::npos);
    BOOST_TEST(errorOf("host: host-1\n").find("'callerAddress' is missing") != std::string::npos);
    BOOST_TEST(errorOf("- a list\n").find("map") != std::string::npos);
}

// Guards against a lease that expires immediately, and against durations that overflow.
BOOST_AUTO_TEST_CASE(InvalidDurationsAreRejected)
{
    for (const char* lease : { "0", "1e300", "inf", "nan", "-5" })
        BOOST_TEST(errorOf(valid + "leaseMilliseconds: " + lease + "\n").find("leaseMilliseconds")
            != std::string::npos);
    BOOST_TEST(errorOf(valid + "usageWindowSeconds: 1e18\n").find("a day") != std::string::npos);
    BOOST_TEST(errorOf(valid + "retryRatio: inf\n").find("retryRatio") != std::string::npos);
}

// Guards against a failed start because the platform leaves an optional field empty.
BOOST_AUTO_TEST_CASE(EmptyOptionalFieldsKeepTheirDefaults)
{
    const SettingsFile file(valid + "retrySlack:\n");
    GatewaySettingsReader reader;
    const auto settings = reader.read(file.path());
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(!settings->promptAffinity);
}

// Guards against home regions that have no effect because the platform writes its map as JSON.
BOOST_AUTO_TEST_CASE(ReadsRegions)
{
    const SettingsFile file(valid + "region: north\nregions: {\"z-1\":\"north\",\"z-2\":\"south\"}\n");
    GatewaySettingsReader reader;
    const auto settings = reader.read(file.path());
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->region == RegionId("north"));
    BOOST_TEST((settings->regions.find(DataCentreId("z-2")) == RegionId("south")));
    BOOST_TEST((settings->regions.find(settings->dataCentre) == RegionId("north")));
    BOOST_TEST(errorOf(valid + "regions: north\n").find("'regions'") != std::string::npos);
    BOOST_TEST(errorOf(valid + "regions: {\"z-1\":[]}\n").find("z-1") != std::string::npos);
    const SettingsFile without(valid + "region:\nregions:\n");
    BOOST_TEST(!reader.read(without.path())->regions.isEnabled());
}

BOOST_AUTO_TEST_SUITE_END()
