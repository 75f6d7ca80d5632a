// Compares placement policies on virtual time; see docs/experiments/queueing.md.
#include "experiment/experiment_report.h"
#include "experiment/fleet_simulation.h"
#include "experiment/limit_simulation.h"
#include "experiment/quarantine_simulation.h"
#include "experiment/worth_bound.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, engines, std::vector<std::string>({ "3", "12", "90" }),
    "numbers of engines, separated by commas");
ABSL_FLAG(std::string, load, "", "play only this load; empty: all");
ABSL_FLAG(std::string, arm, "", "play only this policy; empty: all");
ABSL_FLAG(int, seeds, 2, "number of seeds, whose figures are put together");
ABSL_FLAG(double, demand, 1, "factor by which callers send more than usual");
ABSL_FLAG(int, hosts, 0, "number of hosts; 0: as many as engines");
ABSL_FLAG(std::vector<std::string>, limit_hosts, {},
    "instead, play upstreams that state limits before so many hosts, separated by commas");
ABSL_FLAG(std::vector<std::string>, quarantine_hosts, {},
    "instead, play prompts that crash engines before so many hosts, separated by commas");
ABSL_FLAG(int, adapters, 0, "number of adapters; 0: 250 for each engine, between 750 and 10,000");
ABSL_FLAG(int, shared_prompts, 0,
    "variants of the second part that prompts share; above 0, compare the setting promptAffinity instead");
ABSL_FLAG(std::string, overload_policy, "arrival", "arrival or priority");
ABSL_FLAG(std::string, html, "", "file to write plots to; empty: none");

namespace lacewing::experiment {
namespace {

enum ExitCode { Success = 0, BadArguments = 1, OutputFailed = 2 };

LoadResults playLoad(const FleetShape& shape, LoadPattern pattern, const std::vector<Arm>& arms)
{
    LoadResults results { toString(pattern), shape.engines, 0, {} };
    for (const Arm& arm : arms)
        results.arms.emplace_back(arm.name, FleetResult());
    const int seeds = absl::GetFlag(FLAGS_seeds);
    for (int seed = 1; seed <= seeds; ++seed) {
        const auto number = static_cast<uint64_t>(seed);
        const std::vector<Arrival> arrivals = generateArrivals(shape, pattern, number);
        results.bound += offlineWorthBound(shape, arrivals, enginesUp(shape, pattern)) / seeds;
        for (size_t arm = 0; arm < arms.size(); ++arm)
            addResult(
                results.arms[arm].second, FleetSimulation(shape, pattern, arms[arm], number).run(arrivals));
    }
    return results;
}

std::vector<Arm> chosenArms()
{
    std::vector<Arm> arms;
    for (const Arm& arm : absl::GetFlag(FLAGS_shared_prompts) > 0 ? promptArms() : allArms()) {
        if (absl::GetFlag(FLAGS_arm).empty() || absl::GetFlag(FLAGS_arm) == arm.name)
            arms.push_back(arm);
    }
    return arms;
}

/// @return nothing unless the text is a number above 0.
std::optional<size_t> positiveNumber(const std::string& text)
{
    const int number = std::atoi(text.c_str());
    return number < 1 ? std::nullopt : std::make_optional(static_cast<size_t>(number));
}

/// @return the numbers of a flag; nothing if one of them is not a number above 0, which is printed.
std::optional<std::vector<size_t>> positiveNumbers(const char* flag, const std::vector<std::string>& texts)
{
    std::vector<size_t> numbers;
    for (const std::string& text : texts) {
        const auto number = positiveNumber(text);
        if (!number) {
            std::cerr << flag << ": \"" << text << "\" is not a number above 0\n";
            return std::nullopt;
        }
        numbers.push_back(*number);
    }
    return numbers;
}

int playLimits()
{
    const auto sizes = positiveNumbers("--limit_hosts", absl::GetFlag(FLAGS_limit_hosts));
    if (!sizes)
        return BadArguments;
    std::cout << "| hosts | seed | requests by allowed requests, worst window | served | refused |\n"
              << "| --- | --- | --- | --- | --- |\n";
    for (const size_t hosts : *sizes) {
        for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
            LimitSimulation fleet({ hosts, 4, 60 }, static_cast<uint64_t>(seed));
            fleet.playTroubles();
            std::cout << "| " << hosts << " | " << seed << " | " << fleet.worstRatio() << " | "
                      << fleet.served() << " | " << fleet.refused() << " |\n"
                      << std::flush;
        }
    }
    return Success;
}

int playQuarantines()
{
    const auto sizes = positiveNumbers("--quarantine_hosts", absl::GetFlag(FLAGS_quarantine_hosts));
    if (!sizes)
        return BadArguments;
    constexpr uint64_t firstPart = 66;
    constexpr uint64_t secondPart = 77;
    std::cout << "| hosts | seed | engines that ended on each part | prompts after the fifth crash | sound "
                 "share | wrong quarantines |\n"
              << "| --- | --- | --- | --- | --- | --- |\n";
    for (const size_t hosts : *sizes) {
        for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
            QuarantineSimulation fleet(
                QuarantineSimulation::Shape::ofHosts(hosts), static_cast<uint64_t>(seed));
            fleet.playTroubles();
            const auto& first = fleet.result(firstPart);
            const auto& second = fleet.result(secondPart);
            std::cout << "| " << hosts << " | " << seed << " | " << first.crashes.size() << ", "
                      << second.crashes.size() << " | " << first.sentAfterCrashes() << ", "
                      << second.sentAfterCrashes() << " | " << fleet.takeSoundShare() << " | "
                      << fleet.wrongQuarantines() << " |\n"
                      << std::flush;
        }
    }
    return Success;
}

int run()
{
    if (!absl::GetFlag(FLAGS_limit_hosts).empty())
        return playLimits();
    if (!absl::GetFlag(FLAGS_quarantine_hosts).empty())
        return playQuarantines();
    const std::string load = absl::GetFlag(FLAGS_load);
    const auto pattern = loadPatternNamed(load);
    const std::vector<Arm> arms = chosenArms();
    if ((!load.empty() && !pattern) || arms.empty() || absl::GetFlag(FLAGS_seeds) < 1) {
        std::cerr << "unknown --load or --arm, or --seeds below 1\n";
        return BadArguments;
    }
    const std::string policy = absl::GetFlag(FLAGS_overload_policy);
    if (policy != "arrival" && policy != "priority") {
        std::cerr << "--overload_policy: \"" << policy << "\" is neither arrival nor priority\n";
        return BadArguments;
    }
    std::vector<LoadResults> results;
    for (const std::string& text : absl::GetFlag(FLAGS_engines)) {
        const auto number = positiveNumber(text);
        if (!number) {
            std::cerr << "--engines: \"" << text << "\" is not a number above 0\n";
            return BadArguments;
        }
        const bool isContention = pattern == LoadPattern::Contention;
        FleetShape shape = isContention ? FleetShape::contended(static_cast<int>(*number))
                                        : FleetShape::ofEngines(static_cast<int>(*number));
        if (policy == "priority")
            shape.overloadPolicy = gateway::OverloadPolicy::Priority;
        if (absl::GetFlag(FLAGS_hosts) > 0)
            shape.setHosts(absl::GetFlag(FLAGS_hosts));
        shape.requestsPerSecond *= absl::GetFlag(FLAGS_demand);
        shape.secondVariants = absl::GetFlag(FLAGS_shared_prompts);
        if (absl::GetFlag(FLAGS_adapters) > 0)
            shape.adapters = absl::GetFlag(FLAGS_adapters);
        for (const LoadPattern each : pattern ? std::vector<LoadPattern> { *pattern } : allLoadPatterns()) {
            results.push_back(playLoad(shape, each, arms));
            std::cout << (shape.secondVariants > 0 ? promptReport(results.back())
                                                   : markdownReport({ results.back() }))
                      << std::flush;
            if (isContention)
                std::cout << outcomeReport(results.back().arms.front().second) << std::flush;
        }
    }
    const std::string html = absl::GetFlag(FLAGS_html);
    if (html.empty())
        return Success;
    std::ofstream file(html);
    file << htmlReport(results);
    if (file.flush())
        return Success;
    std::cerr << "--html: cannot write \"" << html << "\"\n";
    return OutputFailed;
}

} // namespace
} // namespace lacewing::experiment

int main(int argc, char** argv)
{
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("lacewinglb-experiment " LACEWING_VERSION "\n"); };
    absl::SetFlagsUsageConfig(config);
    absl::SetProgramUsageMessage(
        "Compares placement policies under loads and faults on virtual time and prints tables.");
    absl::ParseCommandLine(argc, argv);
    return lacewing::experiment::run();
}
