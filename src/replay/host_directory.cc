#include "replay/host_directory.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lacewing {

using Json = nlohmann::json;

HostDirectory::HostDirectory(Scheduler& scheduler, HttpClient& client, Addresses daemons)
    : m_scheduler(scheduler)
    , m_client(client)
    , m_daemons(std::move(daemons))
{
}

void HostDirectory::hosts(const std::string& dataCentre, std::function<void(const Addresses&)> callback)
{
    Entry& entry = m_entries[dataCentre];
    if (!entry.hosts.empty() && m_scheduler.now() < entry.expiry)
        return callback(entry.hosts);
    entry.waiters.push_back(std::move(callback));
    if (entry.waiters.size() > 1)
        return;
    entry.asked = 0;
    ask(dataCentre);
}

HostDirectory::Addresses HostDirectory::candidates() const
{
    Addresses addresses = m_daemons;
    for (const auto& [dataCentre, entry] : m_entries) {
        for (const SocketAddress& host : entry.hosts) {
            if (std::find(addresses.begin(), addresses.end(), host) == addresses.end())
                addresses.push_back(host);
        }
    }
    return addresses;
}

void HostDirectory::ask(const std::string& dataCentre)
{
    Entry& entry = m_entries[dataCentre];
    const Addresses addresses = candidates();
    if (entry.asked >= addresses.size()) {
        entry.hosts.clear();
        for (const auto& waiter : std::exchange(entry.waiters, {}))
            waiter({});
        return;
    }
    HttpClientRequest request;
    request.server = addresses[entry.asked++];
    request.target = "/v1/hosts?dataCentre=" + dataCentre;
    entry.body.clear();
    HttpClientHandlers handlers;
    handlers.onBody = [&entry](std::string_view bytes) { entry.body += bytes; };
    handlers.onDone = [this, dataCentre](const HttpClientResult& result) { answered(dataCentre, result); };
    entry.call = m_client.send(std::move(request), std::move(handlers));
}

void HostDirectory::answered(const std::string& dataCentre, const HttpClientResult& result)
{
    Entry& entry = m_entries[dataCentre];
    if (result.error || result.status != 200 || !read(entry)) {
        // Not from within the callback of the call that is replaced.
        m_scheduler.runAfter(Duration::zero(), [this, dataCentre] { ask(dataCentre); });
        return;
    }
    for (const auto& waiter : std::exchange(entry.waiters, {}))
        waiter(entry.hosts);
}

bool HostDirectory::read(Entry& entry)
{
    const Json json = Json::parse(entry.body, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array())
        return false;
    Addresses hosts;
    for (const Json& host : json["hosts"]) {
        const auto address = SocketAddress::parse(host.value("address", ""));
        if (address)
            hosts.push_back(*address);
    }
    if (hosts.empty())
        return false;
    entry.hosts = std::move(hosts);
    entry.expiry
        = m_scheduler.now() + std::chrono::milliseconds(int64_t(json.value("lifetimeSeconds", 0.0) * 1000));
    return true;
}

} // namespace lacewing
