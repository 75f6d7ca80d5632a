#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "coordination/object_cache.h"
#include "state/object_store.h"
#include "state/peer_messages.h"

#include <functional>
#include <map>
#include <vector>

namespace lacewing {

/// Fetches the missing objects of a configuration into the cache, alternating between peers and the object
/// store.
class ObjectFetcher {
public:
    /// All references must outlive the fetcher.
    ///
    /// @param onComplete called once all objects of the target are in the cache.
    ObjectFetcher(Scheduler& scheduler, ObjectStore& store, PeerMessenger& messenger, ObjectCache& cache,
        std::function<void()> onComplete);

    /// Starts fetching a configuration and abandons the previous one. Has no effect for the current target.
    void setTarget(const ContentHash& root);
    /// Stops fetching.
    void clearTarget();
    /// Adds a peer that holds the target.
    void addSource(const HostId& peer);

    /// Processes the response of a peer; an unexpected one is ignored.
    void onConfigData(const HostId& peer, const ConfigData& data);

private:
    struct Attempt {
        int count = 0;
        /// Identifies the current attempt, so that outdated responses and timeouts are ignored.
        uint64_t number = 0;
    };

    void advance();
    void request(const ContentHash& hash);
    void requestFromPeer(const HostId& peer, const ContentHash& hash, uint64_t number);
    void requestFromStore(const ContentHash& hash, uint64_t number);
    void scheduleRetry(const ContentHash& hash, uint64_t number);
    void addObject(const ContentHash& hash, const std::string& content);
    bool isPending(const ContentHash& hash, uint64_t number) const;

    Scheduler& m_scheduler;
    ObjectStore& m_store;
    PeerMessenger& m_messenger;
    ObjectCache& m_cache;
    std::function<void()> m_onComplete;
    std::optional<ContentHash> m_target;
    std::vector<HostId> m_sources;
    std::map<ContentHash, Attempt> m_pending;
    uint64_t m_lastNumber = 0;
    Lifetime m_lifetime;
};

} // namespace lacewing
