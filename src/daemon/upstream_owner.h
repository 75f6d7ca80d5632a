#pragma once

#include "base/metrics.h"
#include "base/scheduler.h"
#include "coordination/request_queue.h"
#include "daemon/upstream_run.h"
#include "protocol/call_ids.h"
#include "state/configuration.h"
#include "state/peer_messages.h"
#include "transport/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lacewing {

/// Dependencies of an upstream owner.
struct OwnerContext {
    Scheduler& scheduler;
    HttpClient& client;
    PeerMessenger& peers;
    MetricsRegistry& metrics;
    CallIds& callIds;
};

/// Dispatches the whole fleet's requests to one upstream while this daemon holds the upstream's lease.
/// Requests wait in a queue, run on the upstream, and their responses are sent back to the entries. A single
/// queue per upstream bounds its concurrency when many entries send requests at once.
class UpstreamOwner {
public:
    /// Returns whether the lease is valid now and for at least the margin.
    using LeaseCheck = std::function<bool(Duration margin)>;

    /// @param context whose members must outlive the owner.
    UpstreamOwner(
        OwnerContext context, UpstreamConfig config, std::unique_ptr<RequestQueue> queue, LeaseCheck mayAct);
    virtual ~UpstreamOwner();
    UpstreamOwner(const UpstreamOwner&) = delete;
    UpstreamOwner& operator=(const UpstreamOwner&) = delete;

    /// Queues a request, or rejects it at once.
    void submit(const HostId& entry, const RunRequest& request);
    /// Cancels a request.
    void cancel(const HostId& entry, StreamId stream);
    void addWindow(const HostId& entry, const RunWindow& window);
    /// Cancels all requests of an entry whose connection is lost.
    void entryLost(const HostId& entry);

    /// Accepts no more requests and rejects the queued ones. Running requests continue.
    ///
    /// @param done called when no request runs any more, possibly before drain() returns.
    void drain(std::function<void()> done);
    /// Ends all requests because the lease is lost. Nothing is sent to the upstream afterwards.
    void abandon();

    /// Called when a permit to load an adapter may be available.
    void loadPermitAvailable() { requestsChanged(); }

    /// Applies a changed configuration of the same upstream.
    virtual void setConfig(const UpstreamConfig& config) { m_config = config; }

    /// @return the upstream's state for the entries. The caller fills in the fencing number.
    virtual UpstreamReport report() const;
    const UpstreamConfig& config() const { return m_config; }
    /// @return the number of running and queued requests.
    size_t requestCount() const { return m_requests.size(); }

protected:
    /// @return whether a request for the adapter could start on the upstream now.
    virtual bool isReady(const AdapterKey& adapter, RequestClass requestClass) const = 0;
    /// Called right before a request is sent.
    ///
    /// @return false if the adapter is no longer ready.
    virtual bool acquire(const QueuedRequest& request) = 0;
    /// Called when a request for which acquire() succeeded has ended.
    virtual void release(const QueuedRequest& request) = 0;
    virtual std::unique_ptr<UpstreamRun> makeRun(const RunRequest& request, UpstreamRun::Listener listener)
        = 0;
    /// @return a lower bound of the wait for the adapter. Requests that can't start before their deadline are
    /// shed early.
    virtual Duration minimumWait(const AdapterKey& adapter) const = 0;
    /// @return false while the upstream is known to be unreachable; requests are then rejected at once.
    virtual bool isReachable() const { return true; }
    /// Called after requests were added or have ended.
    virtual void requestsChanged() { }

    /// Starts queued requests up to the upstream's concurrency limit.
    void startWaiting();
    /// Rejects the queued requests for one adapter.
    void refuseWaiting(const AdapterKey& adapter, std::string_view code, Duration retryAfter);
    /// Rejects all queued requests, so that their entries send them to other upstreams.
    void refuseAllWaiting(std::string_view code, Duration retryAfter);

    bool mayAct(Duration margin) const { return m_mayAct(margin); }
    OwnerContext& context() { return m_context; }
    MonotonicTime now() const { return m_context.scheduler.now(); }
    RequestQueue& queue() { return *m_queue; }
    const RequestQueue& queue() const { return *m_queue; }

private:
    using Origin = std::pair<HostId, StreamId>;

    struct Request {
        HostId entry;
        RunRequest message;
        QueuedRequest queued;
        /// Set while the request runs.
        std::unique_ptr<UpstreamRun> run;
    };

    template <typename Predicate>
    void refuseWaitingIf(Predicate predicate, std::string_view code, Duration retryAfter);
    void start(Request& request);
    void ended(QueuedRequestId id, const RunEnd& end);
    void end(QueuedRequestId id, const RunEnd& end);
    void remove(QueuedRequestId id, Tokens served);
    void refuse(const HostId& entry, const RunEnd& end);
    void expireWaiting();
    void scheduleExpiry();
    void finishDrain();

    OwnerContext m_context;
    UpstreamConfig m_config;
    std::unique_ptr<RequestQueue> m_queue;
    LeaseCheck m_mayAct;
    int64_t m_nextId = 1;
    std::map<QueuedRequestId, std::unique_ptr<Request>> m_requests;
    std::map<Origin, QueuedRequestId> m_origins;
    size_t m_running = 0;
    bool m_isDraining = false;
    std::function<void()> m_drained;
    TimerId m_expiryTimer = 0;
    /// Requests that ended, possibly inside a callback of their run, and are destroyed in the next iteration
    /// of the event loop.
    std::vector<std::unique_ptr<Request>> m_ended;
    TimerId m_cleanupTimer = 0;
};

} // namespace lacewing
