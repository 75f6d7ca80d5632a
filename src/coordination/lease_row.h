#pragma once

#include "base/ids.h"

#include <optional>
#include <string>

namespace lacewing {

/// Prefix of all lease row keys.
constexpr const char* leasePrefix = "lease/";

/// Value of the row `lease/<name>`.
struct LeaseRow {
    /// The holder; empty after a release.
    HostId host;
    /// Incarnation of the holder's session.
    Incarnation incarnation;
    /// Incremented each time the lease is taken.
    FencingNumber fencingNumber;

    bool isReleased() const { return host.empty(); }
};

/// @return the key of a lease's row.
std::string leaseKey(const std::string& name);

/// @return the row serialized as JSON.
std::string encode(const LeaseRow& row);

/// @return the row, or std::nullopt if the text is not a valid lease row.
std::optional<LeaseRow> decodeLeaseRow(const std::string& text);

} // namespace lacewing
