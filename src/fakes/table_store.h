#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// The platform's transactional table, in memory.
class TableStore {
public:
    struct Row {
        std::string key;
        int64_t version = 0;
        std::string value;
        std::string writeId;
    };
    struct Condition {
        std::string key;
        int64_t version = 0;
    };
    struct Write {
        std::string key;
        std::optional<std::string> value;
    };

    /// @return the rows that exist, in the order of the keys.
    std::vector<Row> read(const std::vector<std::string>& keys) const;
    /// @return all rows whose key starts with the prefix, in key order.
    std::vector<Row> list(const std::string& prefix) const;

    /// Makes all writes, or none if a condition does not hold. Version 0 stands for a row that does not
    /// exist. Versions are never used twice, also not for a row that was deleted.
    ///
    /// @return false if a condition did not hold.
    bool commit(const std::string& writeId, const std::vector<Condition>& conditions,
        const std::vector<Write>& writes);

private:
    int64_t versionOf(const std::string& key) const;

    std::map<std::string, Row> m_rows;
    int64_t m_lastVersion = 0;
};

} // namespace lacewing
