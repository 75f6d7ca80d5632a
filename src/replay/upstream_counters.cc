#include "replay/upstream_counters.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <sstream>

namespace lacewing {

UpstreamCounterReader::UpstreamCounterReader(
    HttpFetcher& fetcher, std::vector<SocketAddress> engines, std::vector<SocketAddress> services)
    : m_fetcher(fetcher)
    , m_engines(std::move(engines))
    , m_services(std::move(services))
{
}

void UpstreamCounterReader::addMetrics(const std::string& text, std::map<std::string, double>& sums)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const size_t space = line.find(' ');
        if (line.empty() || line[0] == '#' || space == std::string::npos
            || line.find('{') != std::string::npos)
            continue;
        sums[line.substr(0, space)] += std::strtod(line.c_str() + space, nullptr);
    }
}

std::optional<UpstreamCounters> UpstreamCounterReader::read()
{
    UpstreamCounters counters;
    for (const SocketAddress& engine : m_engines) {
        if (const auto text = m_fetcher.fetch(engine, "/metrics"))
            addMetrics(*text, counters.sums);
    }
    for (const SocketAddress& service : m_services) {
        const auto metrics = m_fetcher.fetch(service, "/metrics");
        const auto text = m_fetcher.fetch(service, "/runs");
        const auto json = text ? nlohmann::json::parse(*text, nullptr, false) : nlohmann::json();
        if (!metrics || !json.is_object() || !json.contains("runs")) {
            m_lastError = "the service " + service.text() + " does not show its runs";
            return std::nullopt;
        }
        addMetrics(*metrics, counters.sums);
        for (const auto& [key, count] : json["runs"].items())
            counters.runs[key] += count.get<int64_t>();
    }
    return counters;
}

} // namespace lacewing
