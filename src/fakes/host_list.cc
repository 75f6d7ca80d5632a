#include "fakes/host_list.h"

#include <string>

namespace lacewing {

using nlohmann::json;

namespace {

constexpr const char* sessionPrefix = "session/";

std::string textField(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

void HostList::observe(const TableStore& table)
{
    json hosts = json::array();
    for (const TableStore::Row& row : table.list(sessionPrefix)) {
        const json session = json::parse(row.value, nullptr, false);
        if (!session.is_object())
            continue;
        const std::string state = textField(session, "state");
        if (state == "ended")
            continue;
        hosts.push_back({ { "id", row.key.substr(std::string(sessionPrefix).size()) },
            { "address", textField(session, "address") },
            { "state", state == "leaving" ? "leaving" : "live" } });
    }
    m_lagged.record(m_scheduler.now(), std::move(hosts));
}

json HostList::show()
{
    json hosts = m_lagged.seen(m_scheduler.now());
    return { { "hosts", hosts.is_array() ? hosts : json::array() } };
}

} // namespace lacewing
