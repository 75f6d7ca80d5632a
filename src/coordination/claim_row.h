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

/// Value of a claim's row in the table.
struct ClaimRow {
    enum class State {
        /// The call is claimed and may be running.
        Running,
        /// The call completed and its answer is stored.
        Answered,
        /// The call ended without an answer that could be stored.
        Unknown,
    };

    State state = State::Running;
    HostId host;
    Incarnation incarnation;
    /// Hash of the request.
    std::string fingerprint;
    /// Set only in state Answered.
    std::optional<StoredAnswer> answer;
};

/// @return the row serialized as JSON. The answer's body may contain arbitrary bytes; it is Base64-encoded.
std::string encodeClaimRow(const ClaimRow& row);

/// @return the row, or std::nullopt if the text is not a valid claim row.
std::optional<ClaimRow> decodeClaimRow(const std::string& text);

} // namespace lacewing
