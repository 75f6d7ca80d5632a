#pragma once

#include "replay/http_fetcher.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing {

/// Counters of the stand-in upstreams, read before and after a replay.
struct UpstreamCounters {
    /// Sums over all upstreams of their unlabelled counters, by name.
    std::map<std::string, double> sums;
    /// How often each call was run, over all plain services; by "workspace/request id".
    std::map<std::string, int64_t> runs;
};

/// Reads the counters of engines and plain services over HTTP.
class UpstreamCounterReader {
public:
    UpstreamCounterReader(
        HttpFetcher& fetcher, std::vector<SocketAddress> engines, std::vector<SocketAddress> services);

    /// @return nothing if an upstream does not answer; see lastError(). Engines that do not answer are left
    /// out, since a test may have killed them.
    std::optional<UpstreamCounters> read();

    /// @param text metrics in the Prometheus text format; labelled series are left out.
    static void addMetrics(const std::string& text, std::map<std::string, double>& sums);

    const std::string& lastError() const { return m_lastError; }

private:
    HttpFetcher& m_fetcher;
    std::vector<SocketAddress> m_engines;
    std::vector<SocketAddress> m_services;
    std::string m_lastError;
};

} // namespace lacewing
