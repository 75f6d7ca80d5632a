#pragma once

#include "replay/http_fetcher.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing {

/// Counters of the stand-in upstreams, read before and after a replay.
struct UpstreamCounters {
    /// Unlabelled counters by name, of each upstream that answered.
    std::map<SocketAddress, std::map<std::string, double>> upstreams;
    /// @return by how much a counter has grown since an earlier reading, over the upstreams that answered
    /// now.
    double growthSince(const UpstreamCounters& before, const std::string& name) const;

    /// How often each call was run, over all plain services; by "workspace/request id".
    std::map<std::string, int64_t> runs;
};

/// Reads the counters of engines and plain services over HTTP.
class UpstreamCounterReader {
public:
    UpstreamCounterReader(
        HttpFetcher& fetcher, std::vector<SocketAddress> engines, std::vector<SocketAddress> services);

    /// @return nothing if a plain service does not answer; see lastError(). Engines that do not answer are
    /// left out, since a test may have killed them.
    std::optional<UpstreamCounters> read();

    /// @param text metrics in the Prometheus text format; labelled series are left out.
    static std::map<std::string, double> parseMetrics(const std::string& text);

    const std::string& lastError() const { return m_lastError; }

private:
    HttpFetcher& m_fetcher;
    std::vector<SocketAddress> m_engines;
    std::vector<SocketAddress> m_services;
    std::string m_lastError;
};

} // namespace lacewing
