#include "base/log.h"
#include "daemon/daemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "Path of the daemon's settings file (YAML). Required.");

namespace {

constexpr int exitUsage = 2;
constexpr int exitStart = 3;

} // namespace

int main(int argc, char** argv)
{
    using namespace lacewing;
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("lacewinglbd " LACEWING_VERSION "\n"); };
    absl::SetFlagsUsageConfig(config);
    absl::SetProgramUsageMessage(
        "Daemon of lacewinglb: entry for callers and owner of upstreams.\n"
        "Usage: lacewinglbd --settings=FILE\n"
        "SIGTERM stops it gracefully.\n"
        "Exit codes: 0 stopped gracefully, 2 invalid settings, 3 an address can't be bound.");
    absl::ParseCommandLine(argc, argv);
    initializeLogging(argv[0]);
    SettingsReader reader;
    const auto settings = reader.read(absl::GetFlag(FLAGS_settings));
    if (!settings) {
        std::cerr << reader.lastError() << '\n';
        return exitUsage;
    }
    EventLoop loop;
    Daemon daemon(loop, *settings);
    std::string error;
    if (!daemon.start(error)) {
        std::cerr << error << '\n';
        return exitStart;
    }
    std::cout << "ready address=" << daemon.callerAddress().text()
              << " peer_address=" << daemon.peerAddress().text() << std::endl;
    const auto stop = [&] { daemon.stop([&loop] { loop.stop(); }); };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    loop.run();
    return 0;
}
