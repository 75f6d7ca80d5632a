#pragma once

#include "base/metrics.h"
#include "base/scheduler.h"
#include "coordination/request_queue.h"
#include "daemon/upstream_run.h"
#include "state/configuration.h"
#include "state/peer_messages.h"
#include "transport/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lacewing {

/// What an owner needs from its daemon.
struct OwnerContext {
    Scheduler& scheduler;
    HttpClient& client;
    PeerMessenger& peers;
    MetricsRegistry& metrics;
};

/// Gives one upstream its work on behalf of the whole fleet, while this daemon holds the upstream's lease.
/// Requests wait in a queue, run on the upstream, and their answers go back to the entries that sent them.
class UpstreamOwner {
public:
    /// Tells whether the lease allows to act now and for at least the margin.
    using LeaseCheck = std::function<bool(Duration margin)>;

    /// @param context its members must outlive the owner.
    UpstreamOwner(
        OwnerContext context, UpstreamConfig config, std::unique_ptr<RequestQueue> queue, LeaseCheck mayAct);
    virtual ~UpstreamOwner();
    UpstreamOwner(const UpstreamOwner&) = delete;
    UpstreamOwner& operator=(const UpstreamOwner&) = delete;

    /// Takes a request in, or refuses it at once.
    void submit(const HostId& entry, const RunRequest& request);
    /// Ends a request whose caller has left.
    void cancel(const HostId& entry, StreamId stream);
    void addWindow(const HostId& entry, const RunWindow& window);
    /// Ends all requests of an entry that can't be reached any more.
    void entryLost(const HostId& entry);

    /// Takes no more requests and refuses those that wait; what runs goes on.
    ///
    /// @param done is called once nothing runs any more, perhaps at once.
    void drain(std::function<void()> done);
    /// Ends everything because the lease is lost. Nothing is sent to the upstream any more.
    void abandon();

    /// A load of an adapter may be allowed now.
    void loadPermitAvailable() { requestsChanged(); }

    /// Takes in a changed configuration of the same upstream.
    virtual void setConfig(const UpstreamConfig& config) { m_config = config; }

    /// @return what entries are told about the upstream. The fencing number is left to the caller.
    virtual UpstreamReport report() const;
    const UpstreamConfig& config() const { return m_config; }
    /// @return requests that run or wait.
    size_t requestCount() const { return m_requests.size(); }

protected:
    /// @return whether a request for the adapter could start on the upstream now.
    virtual bool isReady(const AdapterKey& adapter, RequestClass requestClass) const = 0;
    /// Called right before a request is sent.
    ///
    /// @return false if the adapter is not ready after all.
    virtual bool acquire(const QueuedRequest& request) = 0;
    /// Called when a request that was acquired has ended.
    virtual void release(const QueuedRequest& request) = 0;
    virtual std::unique_ptr<UpstreamRun> makeRun(const RunRequest& request, UpstreamRun::Listener listener)
        = 0;
    /// @return a lower bound of the wait for the adapter, by which requests are shed early.
    virtual Duration minimumWait(const AdapterKey& adapter) const = 0;
    /// @return false while the upstream is known to be unreachable; requests are refused at once then.
    virtual bool isReachable() const { return true; }
    /// Called after requests were added or have ended.
    virtual void requestsChanged() { }

    /// Starts as many waiting requests as can run.
    void startWaiting();
    /// Refuses waiting requests for one adapter.
    void refuseWaiting(const AdapterKey& adapter, std::string_view code, Duration retryAfter);
    /// Refuses all waiting requests, so that their entries send them to other upstreams.
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
    /// Runs that ended inside one of their own callbacks, destroyed in the next round of the loop.
    std::vector<std::unique_ptr<Request>> m_ended;
    TimerId m_cleanupTimer = 0;
};

} // namespace lacewing
