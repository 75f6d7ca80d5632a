#pragma once

#include "base/ids.h"

#include <optional>
#include <string>

namespace lacewing {

/// Prefix of the keys of all lease rows.
constexpr const char* leasePrefix = "lease/";

/// Value of the row `lease/<name>`.
struct LeaseRow {
    /// Empty if the lease was released.
    HostId host;
    /// Incarnation of the holder's session.
    Incarnation incarnation;
    /// Grows by 1 each time the lease is taken.
    FencingNumber fencingNumber;

    bool isReleased() const { return host.empty(); }
};

/// @return the key of a lease's row.
std::string leaseKey(const std::string& name);

/// @return the row as JSON.
std::string encode(const LeaseRow& row);

/// @return nothing if the text is not a lease row.
std::optional<LeaseRow> decodeLeaseRow(const std::string& text);

} // namespace lacewing
