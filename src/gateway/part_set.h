#pragma once

#include "gateway/run_request.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// A set of prompt parts, by their hashes.
class PartSet {
public:
    PartSet() = default;
    /// @param hashes in any order; repeats are dropped.
    explicit PartSet(std::vector<uint64_t> hashes);
    PartSet(std::initializer_list<uint64_t> hashes);
    static PartSet of(const std::vector<PromptPart>& prompt);

    bool empty() const { return m_hashes.empty(); }
    size_t size() const { return m_hashes.size(); }
    /// @return the hashes in ascending order.
    const std::vector<uint64_t>& hashes() const { return m_hashes; }
    bool includes(uint64_t hash) const;
    bool includes(const PartSet& other) const;
    bool intersects(const PartSet& other) const;
    PartSet intersection(const PartSet& other) const;
    /// @return the parts that are not in the other set.
    PartSet difference(const PartSet& other) const;

    /// Adds the parts of another set.
    void add(const PartSet& other);
    /// Removes the parts of another set.
    void remove(const PartSet& other) { *this = difference(other); }
    /// Keeps only the first parts, in ascending order of their hashes.
    void truncate(size_t size);

    /// @return the hashes in hexadecimal.
    std::string text(char separator) const;

    friend bool operator==(const PartSet& a, const PartSet& b) { return a.m_hashes == b.m_hashes; }
    friend bool operator!=(const PartSet& a, const PartSet& b) { return !(a == b); }
    friend bool operator<(const PartSet& a, const PartSet& b) { return a.m_hashes < b.m_hashes; }

private:
    std::vector<uint64_t> m_hashes;
};

} // namespace lacewing::gateway
