#include "base/log.h"
#include "protocol/configuration_yaml.h"
#include "replay/caller_trace_generator.h"
#include "replay/stated_outcomes.h"
#include "replay/trace_file.h"
#include "replay/trace_player.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::vector<std::string>, daemon, {},
    "IP:PORT of daemons to ask which hosts to use, comma-separated; the first that answers is taken");
ABSL_FLAG(std::string, base, "", "base file of the configuration that is in force, YAML");
ABSL_FLAG(std::vector<std::string>, overlay, {}, "overlays of the configuration, YAML, comma-separated");
ABSL_FLAG(std::string, keys, "", "YAML file that maps ids of keys to the keys themselves");
ABSL_FLAG(std::string, trace, "", "trace to replay; see docs/trace-format.md");
ABSL_FLAG(std::string, outcomes, "", "YAML file of stated outcomes; empty: none are checked");
ABSL_FLAG(double, speed, 1, "divides the times of the trace; 2 replays it in half the time");
ABSL_FLAG(std::vector<std::string>, engines, {},
    "IP:PORT of stand-in engines whose counters belong to the report, comma-separated");
ABSL_FLAG(std::vector<std::string>, services, {},
    "IP:PORT of stand-in plain services whose runs belong to the report, comma-separated");
ABSL_FLAG(std::string, output, "table", "form of the report: table or json");
ABSL_FLAG(std::string, details, "", "file to write one JSON line per request to; empty: none");
ABSL_FLAG(std::string, kind, "steady",
    "generate: kind of trace: steady, friday, overload, bookings or mix; see docs/trace-format.md");
ABSL_FLAG(uint64_t, seed, 1, "generate: seed; the same seed gives the same trace");
ABSL_FLAG(double, seconds, 20, "generate: duration of the trace in seconds");
ABSL_FLAG(double, requests_per_second, 10, "generate: mean rate of requests a second");

namespace lacewing {

namespace {

enum ExitCode {
    Success = 0,
    // absl::ParseCommandLine() uses 1 for wrong flags.
    InvalidInput = 2,
    OutcomeBroken = 3,
    Unreachable = 4,
};

constexpr const char* usage
    = "Replays a trace of callers' requests against a fleet and checks every answer.\n"
      "Usage: lacewinglb-replay --daemon=IP:PORT --base=FILE --keys=FILE --trace=FILE [--outcomes=FILE]\n"
      "       lacewinglb-replay generate --base=FILE --kind=KIND --seed=N   (prints a trace)\n"
      "Exit codes: 0 all stated outcomes hold, 1 wrong flags, 2 a file is missing or invalid, 3 a stated\n"
      "outcome does not hold, 4 no daemon answered or an upstream did not show its counters.";

/// Raised when the input is unusable; carries the message for the user and the exit code.
struct Failure {
    std::string message;
    ExitCode code = InvalidInput;
};

std::string readFile(const std::string& name, const char* flag)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    if (name.empty() || !file)
        throw Failure { std::string("--") + flag + ": \"" + name + "\" cannot be read" };
    return text.str();
}

Configuration readConfiguration()
{
    const YamlSource base { absl::GetFlag(FLAGS_base), readFile(absl::GetFlag(FLAGS_base), "base") };
    std::vector<YamlSource> overlays;
    for (const std::string& name : absl::GetFlag(FLAGS_overlay))
        overlays.push_back({ name, readFile(name, "overlay") });
    ConfigurationYaml yaml;
    const auto configuration = yaml.parse(base, overlays);
    if (!configuration)
        throw Failure { yaml.problems().empty() ? "invalid configuration" : yaml.problems()[0].text() };
    return *configuration;
}

std::map<std::string, std::string> readKeys()
{
    const std::string name = absl::GetFlag(FLAGS_keys);
    YamlDocument document;
    const auto root = document.parse(name, readFile(name, "keys"));
    if (!root)
        throw Failure { document.problems().empty() ? name + ": not YAML" : document.problems()[0].text() };
    std::map<std::string, std::string> keys;
    for (const auto& [id, value] : root->members)
        keys[id] = value.scalar;
    return keys;
}

std::vector<SocketAddress> addresses(const std::vector<std::string>& texts, const char* flag)
{
    std::vector<SocketAddress> parsed;
    for (const std::string& text : texts) {
        const auto address = SocketAddress::parse(text);
        if (!address)
            throw Failure { std::string("--") + flag + ": \"" + text + "\" is not an IP number with a port" };
        parsed.push_back(*address);
    }
    return parsed;
}

int generate()
{
    const Configuration configuration = readConfiguration();
    const CallerTraceOptions options { absl::GetFlag(FLAGS_kind), absl::GetFlag(FLAGS_seed),
        absl::GetFlag(FLAGS_seconds), absl::GetFlag(FLAGS_requests_per_second) };
    if (!(options.seconds > 0) || !(options.requestsPerSecond > 0))
        throw Failure { "--seconds and --requests_per_second must be greater than 0" };
    CallerTraceGenerator generator(configuration, options);
    const auto requests = generator.generate();
    if (!requests)
        throw Failure { generator.lastError() };
    std::cout << TraceFile::format(*requests);
    return Success;
}

std::vector<PreparedRequest> prepareTrace(const Configuration& configuration)
{
    TraceFile file;
    const auto trace = file.parse(readFile(absl::GetFlag(FLAGS_trace), "trace"));
    if (!trace)
        throw Failure { absl::GetFlag(FLAGS_trace) + ": " + file.lastError() };
    RequestPreparer preparer(configuration, readKeys());
    std::vector<PreparedRequest> prepared;
    for (const CallerRequest& request : *trace) {
        auto ready = preparer.prepare(request);
        if (!ready)
            throw Failure { absl::GetFlag(FLAGS_trace) + ": " + preparer.lastError() };
        prepared.push_back(std::move(*ready));
    }
    return prepared;
}

void print(const ReplayReport& report, const std::vector<BrokenOutcome>& broken)
{
    if (absl::GetFlag(FLAGS_output) != "json") {
        std::cout << report.table();
        for (const BrokenOutcome& outcome : broken)
            std::cout << "does not hold: " << outcome.text() << '\n';
        std::cout << (broken.empty() ? "all stated outcomes hold\n" : "");
        return;
    }
    nlohmann::ordered_json json;
    json["measures"] = report.measures();
    json["faults"] = report.faults();
    json["broken"] = nlohmann::ordered_json::array();
    for (const BrokenOutcome& outcome : broken)
        json["broken"].push_back(outcome.text());
    std::cout << json.dump(2) << '\n';
}

const char* endingName(RequestEnding ending)
{
    switch (ending) {
    case RequestEnding::Answered:
        return "answered";
    case RequestEnding::Wrong:
        return "wrong";
    case RequestEnding::RefusedNotRun:
        return "refused_not_run";
    case RequestEnding::Unknown:
        return "unknown";
    case RequestEnding::Cancelled:
        return "cancelled";
    }
    return "invalid";
}

void writeDetails(const std::vector<PreparedRequest>& requests, const std::vector<RequestResult>& results)
{
    std::ofstream file(absl::GetFlag(FLAGS_details));
    for (size_t i = 0; i < results.size(); ++i) {
        const RequestResult& result = results[i];
        const nlohmann::ordered_json line { { "request", i }, { "route", requests[i].trace.route },
            { "model", requests[i].model }, { "call", requests[i].runKey },
            { "ending", endingName(result.ending) }, { "code", result.code }, { "fault", result.fault },
            { "sent_ms", toMilliseconds(result.sentAt) },
            { "first_token_ms", toMilliseconds(result.firstTokenAt) },
            { "ended_ms", toMilliseconds(result.endedAt) }, { "served", result.served.value() } };
        file << line.dump() << '\n';
    }
}

int replay()
{
    const Configuration configuration = readConfiguration();
    const std::vector<PreparedRequest> requests = prepareTrace(configuration);
    StatedOutcomes outcomes;
    const std::string outcomesFile = absl::GetFlag(FLAGS_outcomes);
    if (!outcomesFile.empty() && !outcomes.parse(outcomesFile, readFile(outcomesFile, "outcomes")))
        throw Failure { outcomes.lastError() };
    const auto daemons = addresses(absl::GetFlag(FLAGS_daemon), "daemon");
    const double speed = absl::GetFlag(FLAGS_speed);
    if (daemons.empty() || !(speed > 0))
        throw Failure { "--daemon is needed, and --speed must be greater than 0" };

    EventLoop loop;
    const auto client = HttpClient::create(loop);
    HttpFetcher fetcher(loop, *client);
    bool isReached = false;
    for (const SocketAddress& daemon : daemons)
        isReached = isReached || fetcher.fetch(daemon, "/v1/hosts");
    if (!isReached)
        throw Failure { "no daemon answered at --daemon", Unreachable };
    UpstreamCounterReader counters(fetcher, addresses(absl::GetFlag(FLAGS_engines), "engines"),
        addresses(absl::GetFlag(FLAGS_services), "services"));
    const auto before = counters.read();
    HostDirectory hosts(loop, *client, daemons);
    TracePlayer player(loop, *client, hosts, speed);
    const auto results = before ? player.play(requests) : std::vector<RequestResult>();
    const auto after = before ? counters.read() : std::nullopt;
    if (!after)
        throw Failure { counters.lastError(), Unreachable };
    if (!absl::GetFlag(FLAGS_details).empty())
        writeDetails(requests, results);
    const ReplayReport report(configuration, requests, results, *before, *after);
    const auto broken = outcomes.broken(report);
    print(report, broken);
    return broken.empty() ? Success : OutcomeBroken;
}

} // namespace

} // namespace lacewing

int main(int argc, char** argv)
{
    using namespace lacewing;
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("lacewinglb-replay " LACEWING_VERSION "\n"); };
    absl::SetFlagsUsageConfig(config);
    absl::SetProgramUsageMessage(usage);
    const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
    initializeLogging(argv[0]);
    try {
        if (words.size() == 1)
            return replay();
        if (words.size() == 2 && std::string(words[1]) == "generate")
            return generate();
        throw Failure { "unknown command; see --help" };
    } catch (const Failure& failure) {
        std::cerr << failure.message << '\n';
        return failure.code;
    }
}
