#pragma once

#include <cstdint>
#include <vector>

namespace lacewing {

/// Records the minimum headroom of a bucket since each earlier operation, in bounded memory.
///
/// A refund may add to a bucket only what the bucket would hold if the refunded amount had never been
/// charged. Refill that a fuller bucket would have discarded must not be credited. That amount is the
/// smallest headroom (capacity less level less outstanding) since the charge.
class HeadroomHistory {
public:
    /// Number of an operation on the bucket.
    using Mark = uint64_t;

    /// Records the headroom just before an operation that increases it.
    ///
    /// @return the mark of that operation.
    Mark recordHeadroom(int64_t headroom);

    /// @return the smallest recorded headroom of the operations after the mark, at most the given current
    /// one.
    int64_t minimumSince(Mark mark, int64_t current) const;

    /// Records that an amount counts as present in the bucket at all times after the mark.
    void lower(Mark mark, int64_t amount);

private:
    struct Entry {
        Mark mark = 0;
        int64_t headroom = 0;
    };

    void keepSuffixMinima();
    void mergeClosest();

    Mark m_lastMark = 0;
    /// Suffix minima: both fields increase strictly.
    std::vector<Entry> m_entries;
};

} // namespace lacewing
