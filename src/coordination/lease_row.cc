#include "coordination/lease_row.h"

#include <nlohmann/json.hpp>

namespace lacewing {

std::string leaseKey(const std::string& name)
{
    return leasePrefix + name;
}

std::string encode(const LeaseRow& row)
{
    return nlohmann::json {
        { "host", row.host.value() },
        { "incarnation", row.incarnation.value() },
        { "fencingNumber", row.fencingNumber.value() },
    }
        .dump();
}

std::optional<LeaseRow> decodeLeaseRow(const std::string& text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        LeaseRow row;
        row.host = HostId(json.at("host").get<std::string>());
        row.incarnation = Incarnation(json.at("incarnation").get<int64_t>());
        row.fencingNumber = FencingNumber(json.at("fencingNumber").get<int64_t>());
        return row;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace lacewing
