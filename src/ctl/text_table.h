#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace lacewing {

/// Prints rows in aligned columns.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> header) { m_rows.push_back(std::move(header)); }

    /// @param row as many cells as the header.
    void add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace lacewing
