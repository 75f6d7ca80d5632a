#pragma once

#include "coordination/request_queue.h"

#include <map>
#include <set>

namespace lacewing {

/// Serves interactive requests before batch requests, with a bounded share for batch, and inside a class the
/// workspace with the fewest tokens served (a virtual token counter per workspace). Inside a workspace the
/// oldest request whose adapter is ready goes first, so a load blocks only the requests that need it.
class FairRequestQueue : public RequestQueue {
public:
    struct Options {
        /// Largest number of waiting requests, per class, so that batch work cannot crowd out urgent
        /// requests.
        size_t capacityPerClass = 1000;
        /// Share of the tokens that batch gets while both classes wait, in [0, 1).
        double batchShare = 0.1;
        /// Batch requests that may run at once. The rest of the upstream's concurrency stays free, so that
        /// an urgent request does not wait for a long batch request to end. 0 means no limit.
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
    /// Position in order of arrival.
    using Sequence = uint64_t;
    using AdapterQueue = std::map<Sequence, QueuedRequest>;

    struct WorkspaceState {
        /// Tokens served, lifted to the class's virtual time when the workspace returns from idle.
        double counter = 0;
        /// Part of the counter that belongs to running requests and is replaced by what they really take.
        double reserved = 0;
        size_t waiting = 0;
        size_t running = 0;
        std::map<AdapterKey, AdapterQueue> adapterQueues;

        double served() const { return counter - reserved; }
        bool active() const { return running > 0 || !adapterQueues.empty(); }
    };

    struct ClassState {
        std::map<WorkspaceId, WorkspaceState> workspaces;
        /// Counter of the workspace that was served last; where a workspace starts if no other is active.
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

    /// Requests of one workspace in the order that ignores whether adapters are ready.
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
    /// Tokens that batch may take before interactive; negative after batch took its share.
    double m_batchCredit = 0;
    Sequence m_nextSequence = 1;
    std::map<QueuedRequestId, Location> m_locations;
    std::set<std::pair<MonotonicTime, QueuedRequestId>> m_deadlines;
    std::map<QueuedRequestId, Running> m_running;
};

} // namespace lacewing
