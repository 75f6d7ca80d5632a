#pragma once

#include "state/configuration.h"
#include "state/configuration_diff.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

inline constexpr const char* operatorStatusPath = "/operator/v1/status";
inline constexpr const char* operatorConfigurationPath = "/operator/v1/configuration";

/// One daemon as another one sees it.
struct OperatorHostStatus {
    HostId host;
    DataCentreId dataCentre;
    std::string address;
    /// "self", "alive", "paused", "unreachable" or "stopped".
    std::string link;
    /// "starting", "live" or "leaving".
    std::string state;
    Incarnation incarnation;
    Revision revision;
    /// Nothing if no head is known.
    std::optional<int64_t> headAgeMs;
    bool tableUp = false;
    /// Requests in progress.
    int64_t load = 0;
};

/// One upstream as the asked daemon sees it.
struct OperatorUpstreamStatus {
    UpstreamId upstream;
    /// "live", "leaving" or "ejected".
    std::string state;
    /// Empty while nobody holds its lease.
    HostId owner;
    FencingNumber fencingNumber;
    int64_t running = 0;
    int64_t queued = 0;
};

/// Answer of GET /operator/v1/status.
struct OperatorStatus {
    HostId host;
    std::string version;
    Revision revision;
    ContentHash hash;
    std::optional<int64_t> headAgeMs;
    bool tableUp = false;
    bool keyedRoutesOpen = false;
    bool sessionValid = false;
    /// All known daemons with the asked one.
    std::vector<OperatorHostStatus> hosts;
    std::vector<OperatorUpstreamStatus> upstreams;
};

/// Answer of GET /operator/v1/configuration.
struct OperatorConfiguration {
    /// Its revision is that of the answer.
    Configuration configuration;
    ContentHash hash;
};

/// Body of POST /operator/v1/configuration.
struct OperatorSubmitRequest {
    Revision expectedRevision;
    Configuration configuration;
};

/// Answer of POST /operator/v1/configuration.
struct OperatorSubmitAnswer {
    /// "accepted", "conflict", "invalid", "no_session", "unavailable", "unconfirmed" or "unknown".
    std::string code;
    /// The accepted revision, or the one that came first.
    Revision revision;
    std::string message;
    /// What others have changed since the expected revision.
    std::vector<ConfigurationChange> changes;
    /// Rules that the configuration breaks.
    std::vector<std::string> problems;

    /// @return 200 if accepted, 409 for a conflict, 422 if invalid, otherwise 503.
    int httpStatus() const;
};

/// JSON forms of the operator interface.
class OperatorApi {
public:
    static std::string encode(const OperatorStatus& status);
    static std::string encode(const OperatorConfiguration& answer);
    static std::string encode(const OperatorSubmitRequest& request);
    static std::string encode(const OperatorSubmitAnswer& answer);
    /// @return the JSON array that answers and the command line show for a list of changes.
    static std::string encode(const std::vector<ConfigurationChange>& changes);

    /// All return nothing if the text is not of the form; see lastError().
    std::optional<OperatorStatus> decodeStatus(const std::string& text);
    std::optional<OperatorConfiguration> decodeConfiguration(const std::string& text);
    std::optional<OperatorSubmitRequest> decodeSubmitRequest(const std::string& text);
    std::optional<OperatorSubmitAnswer> decodeSubmitAnswer(const std::string& text);

    const std::string& lastError() const { return m_lastError; }

private:
    std::string m_lastError;
};

} // namespace lacewing
