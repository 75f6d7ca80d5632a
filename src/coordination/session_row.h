#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <optional>
#include <string>

namespace lacewing {

/// State of a session as written in its row.
enum class SessionState {
    Live,
    /// The daemon stops gracefully; what it holds is still its own.
    Leaving,
    /// Final for the incarnation.
    Ended,
};

/// Prefix of the keys of all session rows.
constexpr const char* sessionPrefix = "session/";

/// Value of the row `session/<host>`.
struct SessionRow {
    HostId host;
    Incarnation incarnation;
    SessionState state = SessionState::Live;
    /// Empty if the session has no guardian.
    HostId guardian;
    Incarnation guardianIncarnation;
    /// Where the daemon listens for peers: IP number and port.
    std::string address;
    /// Where the daemon listens for callers: IP number and port.
    std::string callerAddress;
    DataCentreId dataCentre;
    RegionId region;
    /// Anyone may end the session when its row was unchanged for this long.
    Duration ttl {};

    friend bool operator==(const SessionRow& a, const SessionRow& b);
    friend bool operator!=(const SessionRow& a, const SessionRow& b) { return !(a == b); }
};

/// @return the key of a host's session row.
std::string sessionKey(const HostId& host);

/// @return the row as JSON.
std::string encode(const SessionRow& row);

/// @return nothing if the text is not a session row.
std::optional<SessionRow> decodeSessionRow(const std::string& text);

} // namespace lacewing
