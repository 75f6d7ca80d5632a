#include "experiment/experiment_report.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>

namespace lacewing::experiment {

namespace {

constexpr int plotWidth = 480;
constexpr int plotHeight = 160;
constexpr const char* colours[] = { "#1f77b4", "#d62728", "#7f7f7f", "#2ca02c", "#9467bd" };

// printf checks the arguments of its callers through this attribute.
__attribute__((format(printf, 1, 2))) std::string format(const char* pattern, ...)
{
    char text[256];
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(text, sizeof text, pattern, arguments);
    va_end(arguments);
    return text;
}

void add(Share& sum, const Share& other)
{
    sum.owed += other.owed;
    sum.earned += other.earned;
    sum.requests += other.requests;
    sum.served += other.served;
}

std::string refusalText(const FleetResult& result)
{
    std::string text;
    for (const auto& [reason, count] : result.refusals)
        text += (text.empty() ? "" : ", ") + reason + ' ' + std::to_string(count);
    return text.empty() ? "none" : text;
}

std::string row(const std::string& arm, const FleetResult& result, double bound)
{
    return format("| %s | %.3f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %.0f | %d | %.2f | "
                  "%.2f | ",
               arm.c_str(), result.all.worth(), result.all.worth() / bound, result.worstSeconds(),
               result.worst("class/"), result.worst("size/"), result.worst("data-centre/"),
               result.worst("workspace/"), result.worst("rank/"), result.waitMilliseconds(0.5),
               result.waitMilliseconds(0.99), result.fetches, result.busiestByMean, result.worstLimitRatio)
        + refusalText(result) + " |\n";
}

std::string plot(const LoadResults& load)
{
    std::string svg = format("<h2>%s, %d engines</h2>\n<svg width=\"%d\" height=\"%d\" ", load.load.c_str(),
        load.engines, plotWidth + 160, plotHeight + 20);
    svg += "style=\"border:1px solid #ccc\">\n";
    for (size_t arm = 0; arm < load.arms.size(); ++arm) {
        const auto& [name, result] = load.arms[arm];
        const char* colour = colours[arm % std::size(colours)];
        std::string points;
        const size_t count = std::max<size_t>(result.seconds.size(), 2);
        for (size_t second = 0; second < result.seconds.size(); ++second)
            points += format("%.1f,%.1f ",
                static_cast<double>(second) * plotWidth / static_cast<double>(count - 1),
                10 + (1 - result.seconds[second].worth()) * plotHeight);
        svg += format("<polyline fill=\"none\" stroke=\"%s\" points=\"", colour) + points + "\"/>\n";
        svg += format("<text x=\"%d\" y=\"%zu\" fill=\"%s\" font-size=\"12\">%s %.3f</text>\n",
            plotWidth + 10, 20 + arm * 16, colour, name.c_str(), result.all.worth());
    }
    svg += format("<text x=\"%d\" y=\"%zu\" font-size=\"12\">bound %.3f</text>\n</svg>\n", plotWidth + 10,
        20 + load.arms.size() * 16, load.bound);
    return svg;
}

void add(ClassOutcome& sum, const ClassOutcome& other)
{
    sum.requests += other.requests;
    sum.onTime += other.onTime;
    sum.late += other.late;
    sum.refused += other.refused;
    sum.returned += other.returned;
    sum.refusedAgain += other.refusedAgain;
    sum.failed += other.failed;
    sum.waitedInVain += other.waitedInVain;
}

std::string outcomeRow(const std::string& name, const ClassOutcome& outcome)
{
    const double all = std::max(outcome.requests, 1);
    return format("| %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f |\n", name.c_str(),
        outcome.requests, outcome.onTime / all, outcome.late / all, outcome.refused / all,
        outcome.refusedAgain / all, outcome.failed / all, outcome.returned / all,
        static_cast<double>(toMilliseconds(outcome.waitedInVain)) / std::max(outcome.refused, 1));
}

} // namespace

std::string outcomeReport(const FleetResult& result)
{
    std::string text = "| group | requests | on time | late | refused | refused again | failed | came back | "
                       "wait before the "
                       "refusal, ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto& [name, outcome] : result.classes)
        text += outcomeRow(name, outcome);
    for (const auto& [name, outcome] : result.workspaces)
        text += outcomeRow("workspaces: " + name, outcome);
    return text;
}

void addResult(FleetResult& sum, const FleetResult& other)
{
    for (const auto& [name, outcome] : other.classes)
        add(sum.classes[name], outcome);
    for (const auto& [name, outcome] : other.workspaces)
        add(sum.workspaces[name], outcome);
    add(sum.all, other.all);
    for (const auto& [name, share] : other.groups)
        add(sum.groups[name], share);
    sum.seconds.resize(std::max(sum.seconds.size(), other.seconds.size()));
    for (size_t second = 0; second < other.seconds.size(); ++second)
        add(sum.seconds[second], other.seconds[second]);
    sum.waits.insert(sum.waits.end(), other.waits.begin(), other.waits.end());
    for (const auto& [reason, count] : other.refusals)
        sum.refusals[reason] += count;
    sum.fetches += other.fetches;
    sum.promptTokens += other.promptTokens;
    sum.tokensReadAgain += other.tokensReadAgain;
    sum.digestBytes += other.digestBytes;
    sum.busiestByMean = std::max(sum.busiestByMean, other.busiestByMean);
    sum.worstLimitRatio = std::max(sum.worstLimitRatio, other.worstLimitRatio);
}

std::string markdownReport(const std::vector<LoadResults>& loads)
{
    std::string text;
    for (const LoadResults& load : loads) {
        text += format("\n### %s, %d engines (bound %.3f)\n\n", load.load.c_str(), load.engines, load.bound);
        text += "| arm | worth | of bound | worst seconds | worst class | worst size | worst data centre | "
                "worst "
                "workspace | worst rank | p50 ms | p99 ms | fetches | busiest/mean | of limit | refusals |\n";
        text += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
                "|\n";
        for (const auto& [arm, result] : load.arms)
            text += row(arm, result, load.bound);
    }
    return text;
}

std::string promptReport(const LoadResults& load)
{
    std::string text = format("\n### %s, %d engines, shared prompts\n\n", load.load.c_str(), load.engines);
    text
        += "| arm | worth | p50 ms | p90 ms | tokens read again, share of all | digest bytes to each peer |\n"
           "| --- | --- | --- | --- | --- | --- |\n";
    for (const auto& [arm, result] : load.arms) {
        const auto all = static_cast<double>(std::max(Tokens(1), result.promptTokens).value());
        text += format("| %s | %.3f | %.1f | %.1f | %.4f | %zu |\n", arm.c_str(), result.all.worth(),
            result.waitMilliseconds(0.5), result.waitMilliseconds(0.9),
            static_cast<double>(result.tokensReadAgain.value()) / all, result.digestBytes);
    }
    return text;
}

std::string htmlReport(const std::vector<LoadResults>& loads)
{
    std::string text
        = "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>Placement under load</title>"
          "</head><body>\n<h1>Share of the owed worth by second of arrival</h1>\n";
    for (const LoadResults& load : loads)
        text += plot(load);
    return text + "</body></html>\n";
}

} // namespace lacewing::experiment
