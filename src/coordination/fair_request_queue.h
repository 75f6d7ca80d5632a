#pragma once

#include "coordination/request_queue.h"

#include <map>
#include <set>

namespace lacewing {

/// Fair queue over workspaces with two priority classes.
///
/// Load pattern: workspaces that send far more than their share, batch backlogs, and requests whose adapters
/// are not resident. Interactive requests go before batch requests, which get a bounded share. Within a
/// class, the workspace with the fewest tokens served goes first (a virtual token counter per workspace).
/// Within a workspace, the oldest request whose adapter is ready goes first, so a load blocks only the
/// requests that need it.
class FairRequestQueue : public RequestQueue {
public:
    struct Options {
        /// Maximum number of waiting requests per class. The limit is per class so that batch requests cannot
        /// crowd out interactive ones.
        size_t capacityPerClass = 1000;
        /// Share of the tokens for batch requests while both classes have waiting requests, in [0, 1).
        double batchShare = 0.1;
        /// Maximum number of running batch requests. The rest of the upstream's concurrency stays available,
        /// so that an interactive request does not wait for a long batch request to end. 0 means no limit.
        size_t maximumBatchRunning = 0;
    };

    explicit FairRequestQueue(Options options);

    bool push(const QueuedRequest& request) override;
    bool erase(QueuedRequestId id) override;
    std::optional<QueuedRequest> pop(MonotonicTime now, const AdapterReady& isReady) override;
    void settle(QueuedRequestId id, Tokens served) override;
    void charge(const WorkspaceId& workspace, RequestClass requestClass, Tokens served) override;
    std::vector<QueuedRequest> expire(MonotonicTime now, const AdapterWait& minimumWait) override;
    std::vector<WaitingAdapter> waitingAdapters(const AdapterReady& isReady, size_t limit) const override;
    bool hasWaitingRequests(const AdapterKey& adapter, RequestClass requestClass) const override;
    size_t readyCount(RequestClass requestClass, const AdapterReady& isReady) const override;
    size_t size(RequestClass requestClass) const override;
    using RequestQueue::size;

private:
    /// Arrival order of a request.
    using Sequence = uint64_t;
    using AdapterQueue = std::map<Sequence, QueuedRequest>;

    struct WorkspaceState {
        /// Tokens served, including reservations. Raised to the level of the active workspaces when the
        /// workspace returns from idle.
        double counter = 0;
        /// Part of the counter that is the estimated cost of running requests. It is replaced by the tokens
        /// actually served.
        double reserved = 0;
        size_t waiting = 0;
        size_t running = 0;
        std::map<AdapterKey, AdapterQueue> adapterQueues;

        double served() const { return counter - reserved; }
        bool active() const { return running > 0 || !adapterQueues.empty(); }
    };

    struct ClassState {
        std::map<WorkspaceId, WorkspaceState> workspaces;
        /// Highest counter of a workspace at the start of a request; the initial counter of a workspace if no
        /// other one is active.
        double virtualTime = 0;
        size_t waiting = 0;
        size_t running = 0;
        std::map<AdapterKey, size_t> waitingPerAdapter;
    };

    struct Location {
        RequestClass requestClass = RequestClass::Interactive;
        WorkspaceId workspace;
        AdapterKey adapter;
        Sequence sequence = 0;
    };

    struct Running {
        RequestClass requestClass = RequestClass::Interactive;
        WorkspaceId workspace;
        Tokens cost;
    };

    /// Oldest request per adapter that is not ready, for one workspace, in order of arrival.
    struct OrderCursor {
        double counter = 0;
        std::vector<const QueuedRequest*> requests;
        size_t next = 0;
    };

    ClassState& state(RequestClass requestClass);
    const ClassState& state(RequestClass requestClass) const;
    WorkspaceState& activate(ClassState& state, const WorkspaceId& workspace);
    bool isBelowShare(const ClassState& state, const WorkspaceId& workspace) const;
    std::optional<Location> best(RequestClass requestClass, const AdapterReady& isReady) const;
    bool batchMayStart() const;
    static void collectMissedDeadlines(const ClassState& classState, const AdapterKey& adapter,
        MonotonicTime earliestStart, std::vector<QueuedRequestId>& late);
    QueuedRequest remove(const Location& location);
    void start(const QueuedRequest& request);
    std::vector<WaitingAdapter> waitingInClass(
        RequestClass requestClass, const AdapterReady& isReady, size_t limit) const;

    Options m_options;
    ClassState m_interactive;
    ClassState m_batch;
    /// Tokens that batch requests may use ahead of interactive ones; negative after batch has used its share.
    double m_batchCredit = 0;
    Sequence m_nextSequence = 1;
    std::map<QueuedRequestId, Location> m_locations;
    std::set<std::pair<MonotonicTime, QueuedRequestId>> m_deadlines;
    std::map<QueuedRequestId, Running> m_running;
};

} // namespace lacewing
