#pragma once

#include "base/strong_number.h"

#include <cstdint>
#include <ostream>
#include <tuple>

namespace lacewing {

/// Counts how often the row store has come back from a copy; 0 for a store that doesn't state it.
using StoreEra = StrongNumber<struct StoreEraTag>;

/// Version of a row: the number that the store has given to its write, and the era in which the row was read.
///
/// A store that comes back from a copy gives out numbers again, so a number alone names no state of a row.
/// Versions are ordered by era and then by number. Within an era a higher version is a later write. A row of
/// a later era may still be older than what is known, since the copy may lack it; only its content tells.
class RowVersion {
public:
    /// The version of a row that does not exist.
    constexpr RowVersion() = default;
    /// A version of a store that does not state its era.
    constexpr explicit RowVersion(int64_t number)
        : m_number(number)
    {
    }
    constexpr RowVersion(StoreEra era, int64_t number)
        : m_era(era)
        , m_number(number)
    {
    }

    constexpr StoreEra era() const { return m_era; }
    /// @return the store's number, which is 0 if the row does not exist.
    constexpr int64_t number() const { return m_number; }
    /// @return whether the row exists.
    constexpr bool exists() const { return m_number != 0; }

    friend bool operator==(RowVersion a, RowVersion b) { return a.rank() == b.rank(); }
    friend bool operator!=(RowVersion a, RowVersion b) { return a.rank() != b.rank(); }
    friend bool operator<(RowVersion a, RowVersion b) { return a.rank() < b.rank(); }
    friend bool operator>(RowVersion a, RowVersion b) { return b < a; }
    friend bool operator<=(RowVersion a, RowVersion b) { return !(b < a); }
    friend bool operator>=(RowVersion a, RowVersion b) { return !(a < b); }
    /// Prints ERA.NUMBER, or the number if the store does not state its era.
    friend std::ostream& operator<<(std::ostream& out, RowVersion version)
    {
        if (version.m_era != StoreEra())
            out << version.m_era << '.';
        return out << version.m_number;
    }

private:
    std::tuple<StoreEra, int64_t> rank() const { return { m_era, m_number }; }

    StoreEra m_era;
    int64_t m_number = 0;
};

} // namespace lacewing
