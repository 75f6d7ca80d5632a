#include "ctl/commands.h"
#include "transport/event_loop.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/match.h>
#include <absl/time/time.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

ABSL_FLAG(std::string, server, "127.0.0.1:7070", "operator address of a daemon, IP number and port");
ABSL_FLAG(std::string, secret_file, "", "file that holds the bearer secret of the operator interface");
ABSL_FLAG(std::string, key_secret_file, "", "file that holds the secret under which keys are hashed");
ABSL_FLAG(std::string, base, "", "base file of the configuration, YAML");
ABSL_FLAG(std::vector<std::string>, overlay, {}, "overlays of sites, YAML, separated by commas");
ABSL_FLAG(int64_t, expected_revision, -1,
    "revision that the files were made from; -1 takes the one that is in force at the daemon");
ABSL_FLAG(bool, dry_run, false, "show the changes and change nothing");
ABSL_FLAG(std::string, output, "table", "form of the output: table or json");
ABSL_FLAG(absl::Duration, wait, absl::Seconds(15),
    "how long to wait until all hosts have a submitted revision, with unit");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(60),
    "longest time without any progress of one call to the daemon, with unit");

namespace lacewing {

namespace {

/// Sets flags and separates them from the command's words. Used instead of absl::ParseCommandLine(), which
/// ends the program with status 1 for wrong usage and knows flags only with underscores.
class ArgumentParser {
public:
    /// @return false if a flag is unknown or has a wrong value; see error().
    bool parse(const std::vector<std::string>& arguments)
    {
        for (size_t i = 0; i < arguments.size(); ++i) {
            if (!absl::StartsWith(arguments[i], "--")) {
                m_words.push_back(arguments[i]);
                continue;
            }
            const size_t equals = arguments[i].find('=');
            std::string name = arguments[i].substr(2, equals == std::string::npos ? equals : equals - 2);
            std::replace(name.begin(), name.end(), '-', '_');
            absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
            if (flag == nullptr)
                return fail(arguments[i] + ": no such flag");
            std::string value = "true";
            if (equals != std::string::npos)
                value = arguments[i].substr(equals + 1);
            else if (!flag->IsOfType<bool>() && ++i < arguments.size())
                value = arguments[i];
            std::string error;
            if (!flag->ParseFrom(value, &error))
                return fail(error);
        }
        return true;
    }
    const std::vector<std::string>& words() const { return m_words; }
    const std::string& error() const { return m_error; }

private:
    bool fail(const std::string& error)
    {
        m_error = error;
        return false;
    }

    std::vector<std::string> m_words;
    std::string m_error;
};

bool contains(const std::vector<std::string>& arguments, const std::string& wanted)
{
    return std::find(arguments.begin(), arguments.end(), wanted) != arguments.end();
}

void printHelp()
{
    std::cout << Commands::help() << "\nFlags:\n";
    std::vector<absl::CommandLineFlag*> flags;
    for (const auto& [name, flag] : absl::GetAllFlags()) {
        if (absl::EndsWith(flag->Filename(), "lacewinglbctl_main.cc"))
            flags.push_back(flag);
    }
    std::sort(flags.begin(), flags.end(), [](auto* a, auto* b) { return a->Name() < b->Name(); });
    for (const absl::CommandLineFlag* flag : flags) {
        std::string name(flag->Name());
        std::replace(name.begin(), name.end(), '_', '-');
        std::cout << "  --" << name << " (default \"" << flag->DefaultValue() << "\")\n      " << flag->Help()
                  << '\n';
    }
    std::cout << "  --help, --version\n";
}

std::optional<std::string> readSecret(const std::string& name)
{
    std::ifstream file(name);
    std::string secret;
    if (!std::getline(file, secret) || secret.empty())
        return std::nullopt;
    return secret;
}

/// Connects when a command first needs the daemon.
class Connector {
public:
    OperatorClient* connect(std::ostream& err)
    {
        const std::optional<SocketAddress> server = SocketAddress::parse(absl::GetFlag(FLAGS_server));
        if (!server) {
            err << "--server: \"" << absl::GetFlag(FLAGS_server) << "\" is not an IP number with a port\n";
            return nullptr;
        }
        const std::optional<std::string> secret = readSecret(absl::GetFlag(FLAGS_secret_file));
        if (!secret) {
            err << "--secret-file: \"" << absl::GetFlag(FLAGS_secret_file)
                << "\" cannot be read or is empty\n";
            return nullptr;
        }
        m_loop = std::make_unique<EventLoop>();
        const Duration timeout = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_timeout));
        m_client = std::make_unique<OperatorClient>(*m_loop, *server, *secret, timeout);
        return m_client.get();
    }

private:
    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<OperatorClient> m_client;
};

CommandOptions optionsFromFlags()
{
    CommandOptions options;
    options.baseFile = absl::GetFlag(FLAGS_base);
    options.overlayFiles = absl::GetFlag(FLAGS_overlay);
    options.keySecretFile = absl::GetFlag(FLAGS_key_secret_file);
    if (absl::GetFlag(FLAGS_expected_revision) >= 0)
        options.expectedRevision = Revision(absl::GetFlag(FLAGS_expected_revision));
    options.dryRun = absl::GetFlag(FLAGS_dry_run);
    options.json = absl::GetFlag(FLAGS_output) == "json";
    options.wait = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_wait));
    return options;
}

int run(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (contains(arguments, "--help")) {
        printHelp();
        return static_cast<int>(ExitCode::Success);
    }
    if (contains(arguments, "--version")) {
        std::cout << "lacewinglbctl " << LACEWING_VERSION << '\n';
        return static_cast<int>(ExitCode::Success);
    }
    ArgumentParser parser;
    if (!parser.parse(arguments)) {
        std::cerr << parser.error() << "; see lacewinglbctl --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "table" && output != "json") {
        std::cerr << "--output: \"" << output << "\" is neither table nor json\n";
        return static_cast<int>(ExitCode::Usage);
    }
    Connector connector;
    Commands commands(optionsFromFlags(), { std::cin, std::cout, std::cerr },
        [&](std::ostream& err) { return connector.connect(err); });
    return static_cast<int>(commands.run(parser.words()));
}

} // namespace

} // namespace lacewing

int main(int argc, char** argv)
{
    return lacewing::run(argc, argv);
}
