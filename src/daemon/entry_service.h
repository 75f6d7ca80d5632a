#pragma once

#include "coordination/key_ring.h"
#include "daemon/entry_request.h"
#include "daemon/request_validator.h"

#include <map>
#include <memory>

namespace lacewing {

/// Entry role of a daemon: accepts callers' requests and keeps track of them until they end.
class EntryService {
public:
    /// Access to the current configuration. Both functions must stay callable for the lifetime of the
    /// service.
    struct ConfigurationSource {
        std::function<const Configuration&()> configuration;
        /// Returns whether requests with keys may be admitted and continue. False while the configuration
        /// can't be confirmed as current, since it could have withdrawn a key.
        std::function<bool()> keyedRoutesOpen;
    };

    /// @param host this daemon's host, a part of the request ids.
    /// @param keys must outlive the service.
    EntryService(EntryContext context, HostId host, const KeyRing& keys, ConfigurationSource source);
    ~EntryService();

    /// Handles a caller's request.
    void handle(std::shared_ptr<HttpExchange> exchange);

    void received(const HostId& owner, const RunChunk& chunk);
    void received(const HostId& owner, const RunEnd& end);
    void ownerLost(const HostId& owner);

    /// Ends the requests whose key was withdrawn.
    void stopRequestsWithWithdrawnKeys();
    /// Ends all requests with a key if the configuration has become stale.
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
    /// Maps the open streams to their requests.
    std::map<StreamId, uint64_t> m_streams;
    /// Finished requests, destroyed in the next iteration of the event loop because one of their methods may
    /// still be running.
    std::vector<std::unique_ptr<EntryRequest>> m_finished;
    TimerId m_cleanupTimer = 0;
};

} // namespace lacewing
