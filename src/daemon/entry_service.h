#pragma once

#include "coordination/key_ring.h"
#include "daemon/entry_request.h"
#include "daemon/request_validator.h"

#include <map>
#include <memory>

namespace lacewing {

/// Entry role of a daemon: takes callers' requests in and keeps them until they end.
class EntryService {
public:
    /// What changes while the daemon runs. Both must stay callable as long as the service.
    struct ConfigurationSource {
        std::function<const Configuration&()> configuration;
        /// Whether requests with keys may be admitted and go on.
        std::function<bool()> keyedRoutesOpen;
    };

    /// @param host of this daemon, part of the ids of requests.
    /// @param keys must outlive the service.
    EntryService(EntryContext context, HostId host, const KeyRing& keys, ConfigurationSource source);
    ~EntryService();

    /// Handles a caller's request.
    void handle(std::shared_ptr<HttpExchange> exchange);

    void received(const HostId& owner, const RunChunk& chunk);
    void received(const HostId& owner, const RunEnd& end);
    void ownerLost(const HostId& owner);

    /// Ends requests whose key is no longer in force.
    void stopRequestsWithWithdrawnKeys();
    /// Ends all requests that came with a key if keyed routes have closed.
    void checkConfigurationFreshness();

    size_t requestCount() const { return m_requests.size(); }

private:
    EntryRequest* find(StreamId stream);
    void finished(uint64_t id);
    StreamId newStream(uint64_t id);
    std::vector<EntryRequest*> keyedRequests();

    EntryContext m_context;
    HostId m_host;
    const KeyRing& m_keys;
    ConfigurationSource m_source;
    RequestValidator m_validator;
    uint64_t m_nextId = 1;
    int64_t m_nextStream = 1;
    std::map<uint64_t, std::unique_ptr<EntryRequest>> m_requests;
    /// Request of each stream that was given out and not ended.
    std::map<StreamId, uint64_t> m_streams;
    /// Destroyed in the next round of the loop, since they may be in the middle of a call.
    std::vector<std::unique_ptr<EntryRequest>> m_finished;
    TimerId m_cleanupTimer = 0;
};

} // namespace lacewing
