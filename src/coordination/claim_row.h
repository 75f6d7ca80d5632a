#pragma once

#include "base/ids.h"

#include <optional>
#include <string>

namespace lacewing {

/// The answer of a non-idempotent call, stored for repeats of the request.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Content of a claim's row in the table.
struct ClaimRow {
    enum class State {
        /// Claimed; the call may be running.
        Running,
        /// Ended with an answer.
        Answered,
        /// Ended without an answer that could be kept.
        Unknown,
    };

    State state = State::Running;
    HostId host;
    Incarnation incarnation;
    /// Hash of the request.
    std::string fingerprint;
    /// Set if Answered.
    std::optional<StoredAnswer> answer;
};

/// @return the row as JSON. Bodies may hold any bytes.
std::string encodeClaimRow(const ClaimRow& row);

/// @return the row, or std::nullopt if the text is not a claim row.
std::optional<ClaimRow> decodeClaimRow(const std::string& text);

} // namespace lacewing
