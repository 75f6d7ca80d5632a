#include "ctl/text_table.h"

#include <algorithm>

namespace lacewing {

void TextTable::print(std::ostream& out) const
{
    std::vector<size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows) {
        for (size_t i = 0; i < widths.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : m_rows) {
        for (size_t i = 0; i + 1 < widths.size(); ++i)
            out << row[i] << std::string(widths[i] - row[i].size() + 2, ' ');
        out << row.back() << '\n';
    }
}

} // namespace lacewing
