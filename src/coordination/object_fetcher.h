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

/// Completes a configuration in the cache, from peers and the object store in turn.
class ObjectFetcher {
public:
    /// All references must outlive the fetcher.
    ///
    /// @param onComplete called when all objects of the target are in the cache.
    ObjectFetcher(Scheduler& scheduler, ObjectStore& store, PeerMessenger& messenger, ObjectCache& cache,
        std::function<void()> onComplete);

    /// Starts to fetch a configuration instead of the one before. Does nothing for the present target.
    void setTarget(const ContentHash& root);
    /// Stops fetching.
    void clearTarget();
    /// Adds a peer that has the target.
    void addSource(const HostId& peer);

    /// Takes an answer of a peer; an unexpected one is ignored.
    void onConfigData(const HostId& peer, const ConfigData& data);

private:
    struct Attempt {
        int count = 0;
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
