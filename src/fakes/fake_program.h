#pragma once

#include "base/log.h"
#include "fakes/fake_server.h"
#include "transport/event_loop.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/time/time.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <string>
#include <string_view>

namespace lacewing {

/// @return the value of a flag such as --report-lag=500ms.
inline Duration durationOf(const absl::Flag<absl::Duration>& flag)
{
    return absl::ToChronoNanoseconds(absl::GetFlag(flag));
}

/// Abseil's flags have underscores in their names; this lets --report-lag stand for --report_lag.
inline void acceptDashes(int argc, char** argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--")
            return;
        if (argument.compare(0, 2, "--") != 0)
            continue;
        const size_t end = std::min(argument.find('='), argument.size());
        std::replace(argv[i] + 2, argv[i] + end, '-', '_');
    }
}

/// Parses the flags of a stand-in. --help shows all flags that are defined below src/fakes.
inline void startFakeProgram(int argc, char** argv, const std::string& name, const std::string& description)
{
    absl::SetProgramUsageMessage(description);
    absl::FlagsUsageConfig usage;
    usage.contains_help_flags
        = [](absl::string_view file) { return file.find("src/fakes/") != absl::string_view::npos; };
    usage.contains_helpshort_flags = usage.contains_help_flags;
    usage.version_string = [name] { return name + " " LACEWING_VERSION "\n"; };
    absl::SetFlagsUsageConfig(usage);
    acceptDashes(argc, argv);
    absl::ParseCommandLine(argc, argv);
    initializeLogging(argv[0]);
}

/// Listens, announces the address on standard output and serves until SIGTERM or SIGINT.
///
/// @param listen IP:PORT from the command line.
/// @return the exit status.
inline int runFakeProgram(EventLoop& loop, FakeServer& server, const std::string& listen)
{
    const auto address = SocketAddress::parse(listen);
    std::string error = "not an IP number with a port";
    if (!address || !server.listen(*address, error)) {
        LogEvent(LogLevel::Error, "listen_failed").with("address", listen).with("reason", error);
        return 1;
    }
    for (const int signal : { SIGTERM, SIGINT })
        loop.onSignal(signal, [&loop] { loop.stop(); });
    std::cout << "ready address=" << server.address().text() << std::endl;
    loop.run();
    LogEvent(LogLevel::Info, "stopped").with("address", server.address().text());
    return 0;
}

} // namespace lacewing
