#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <optional>
#include <string>

namespace lacewing {

/// State of a session as stored in its row.
enum class SessionState {
    Live,
    /// The daemon is shutting down gracefully and still holds its leases.
    Leaving,
    /// Terminal: an ended incarnation never becomes live again.
    Ended,
};

/// Prefix of all session row keys.
constexpr const char* sessionPrefix = "session/";

/// Value of the row `session/<host>`.
struct SessionRow {
    HostId host;
    Incarnation incarnation;
    SessionState state = SessionState::Live;
    /// Empty if the session has no guardian.
    HostId guardian;
    Incarnation guardianIncarnation;
    /// Listening address for peers: IP address and port.
    std::string address;
    /// Listening address for callers: IP address and port.
    std::string callerAddress;
    DataCentreId dataCentre;
    RegionId region;
    /// Any daemon may end the session after its row has been unchanged for this long.
    Duration ttl {};

    friend bool operator==(const SessionRow& a, const SessionRow& b);
    friend bool operator!=(const SessionRow& a, const SessionRow& b) { return !(a == b); }
};

/// @return the key of a host's session row.
std::string sessionKey(const HostId& host);

/// @return the row serialized as JSON.
std::string encode(const SessionRow& row);

/// @return the row, or std::nullopt if the text is not a valid session row.
std::optional<SessionRow> decodeSessionRow(const std::string& text);

} // namespace lacewing
