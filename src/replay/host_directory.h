#pragma once

#include "base/scheduler.h"
#include "transport/http_client.h"

#include <functional>
#include <map>
#include <vector>

namespace lacewing {

/// Asks which hosts to use, as a caller does: one answer per data centre, kept for its lifetime.
class HostDirectory {
public:
    using Addresses = std::vector<SocketAddress>;

    /// @param daemons asked in this order until one answers; hosts of earlier answers are asked after them.
    HostDirectory(Scheduler& scheduler, HttpClient& client, Addresses daemons);

    /// @param callback gets the hosts, best first; empty if nobody answered. It may be called at once.
    void hosts(const std::string& dataCentre, std::function<void(const Addresses&)> callback);

private:
    struct Entry {
        Addresses hosts;
        MonotonicTime expiry;
        std::vector<std::function<void(const Addresses&)>> waiters;
        size_t asked = 0;
        std::string body;
        std::unique_ptr<HttpClientCall> call;
    };

    void ask(const std::string& dataCentre);
    void answered(const std::string& dataCentre, const HttpClientResult& result);
    bool read(Entry& entry);
    Addresses candidates() const;

    Scheduler& m_scheduler;
    HttpClient& m_client;
    Addresses m_daemons;
    std::map<std::string, Entry> m_entries;
};

} // namespace lacewing
