#include "replay/upstream_counters.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <sstream>

namespace lacewing {

double UpstreamCounters::growthSince(const UpstreamCounters& before, const std::string& name) const
{
    const auto valueIn = [&](const UpstreamCounters& counters, const SocketAddress& upstream) {
        const auto found = counters.upstreams.find(upstream);
        if (found == counters.upstreams.end() || found->second.count(name) == 0)
            return 0.0;
        return found->second.at(name);
    };
    double growth = 0;
    for (const auto& [upstream, counters] : upstreams)
        growth += valueIn(*this, upstream) - valueIn(before, upstream);
    return growth;
}

UpstreamCounterReader::UpstreamCounterReader(
    HttpFetcher& fetcher, std::vector<SocketAddress> engines, std::vector<SocketAddress> services)
    : m_fetcher(fetcher)
    , m_engines(std::move(engines))
    , m_services(std::move(services))
{
}

std::map<std::string, double> UpstreamCounterReader::parseMetrics(const std::string& text)
{
    std::map<std::string, double> counters;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const size_t space = line.find(' ');
        if (line.empty() || line[0] == '#' || space == std::string::npos
            || line.find('{') != std::string::npos)
            continue;
        counters[line.substr(0, space)] = std::strtod(line.c_str() + space, nullptr);
    }
    return counters;
}

std::optional<UpstreamCounters> UpstreamCounterReader::read()
{
    UpstreamCounters counters;
    for (const SocketAddress& engine : m_engines) {
        if (const auto text = m_fetcher.fetch(engine, "/metrics"))
            counters.upstreams[engine] = parseMetrics(*text);
    }
    for (const SocketAddress& service : m_services) {
        const auto metrics = m_fetcher.fetch(service, "/metrics");
        const auto text = m_fetcher.fetch(service, "/runs");
        const auto json = text ? nlohmann::json::parse(*text, nullptr, false) : nlohmann::json();
        if (!metrics || !json.is_object() || !json.contains("runs")) {
            m_lastError = "the service " + service.text() + " does not show its runs";
            return std::nullopt;
        }
        counters.upstreams[service] = parseMetrics(*metrics);
        for (const auto& [key, count] : json["runs"].items())
            counters.runs[key] += count.get<int64_t>();
    }
    return counters;
}

} // namespace lacewing
