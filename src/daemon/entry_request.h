#pragma once

#include "base/lifetime.h"
#include "base/metrics.h"
#include "base/scheduler.h"
#include "coordination/claim_registry.h"
#include "coordination/quota_client.h"
#include "coordination/retry_budget.h"
#include "daemon/response_writer.h"
#include "daemon/upstream_router.h"

#include <functional>
#include <memory>

namespace lacewing {

/// Dependencies of a request at its entry. All referenced objects must outlive the request.
struct EntryContext {
    Scheduler& scheduler;
    PeerMessenger& peers;
    MetricsRegistry& metrics;
    QuotaClient& quotaClient;
    UpstreamRouter& router;
    RetryBudget& retryBudget;
    ClaimRegistry& claims;
    /// Returns a new, unique stream id for an attempt.
    std::function<StreamId()> newStream;
    /// Called when the stream of an attempt has ended.
    std::function<void(StreamId stream)> streamEnded;
};

/// One caller's request at its entry. Charges the workspace, sends the request to an upstream's owner, relays
/// the response, and retries or resumes it where that is safe. Ends with exactly one outcome: answered,
/// refused without having run, or unknown.
class EntryRequest {
public:
    /// @param id unique id of the request; its request id at an engine if the caller gave no Idempotency-Key.
    /// @param finished called once at the end, never inside the constructor. It must not destroy the request;
    /// the next iteration of the event loop may.
    EntryRequest(EntryContext context, std::shared_ptr<HttpExchange> exchange, AdmittedRequest request,
        std::string id, std::function<void()> finished);
    ~EntryRequest();
    EntryRequest(const EntryRequest&) = delete;
    EntryRequest& operator=(const EntryRequest&) = delete;

    void start();
    void received(const HostId& owner, const RunChunk& chunk);
    void received(const HostId& owner, const RunEnd& end);
    /// Handles the loss of the connection to an owner.
    void ownerLost(const HostId& owner);
    /// Ends the request early with an error, because its key was withdrawn or the configuration is stale.
    void stop(int status, std::string_view code, std::string message);

    /// @return the stream of the current attempt; 0 between attempts.
    StreamId stream() const { return m_stream; }
    const AdmittedRequest& request() const { return m_request; }
    bool isFinished() const { return m_isFinished; }

private:
    void reserved(const ReserveResult& result);
    void claim();
    void claimed(const ClaimResult& result);
    /// Reads the claim of a running call again later, or ends the request if the call runs on.
    void waitForClaim();
    void endClaim(Outcome outcome, const ResponseEnd* answer);
    void dispatch();
    RunRequest makeRunRequest() const;
    void attemptEnded(RunResult verdict);
    void answered(const RunEnd& end);
    void notRun(const RunEnd& end);
    void lost(std::string_view code);
    void retryOrFail(std::string_view code, const RefusalAnswer& failure);
    void retryLater(Duration delay);
    void callerLeft();
    void sendCredit();
    void checkProgress();
    void fail(const RefusalAnswer& refusal);
    void finish(Outcome outcome, std::string_view code, Tokens used);
    Tokens tokensUsed() const;
    bool mayHaveRun() const { return m_mayHaveRun; }
    MonotonicTime now() const { return m_context.scheduler.now(); }

    EntryContext m_context;
    std::shared_ptr<HttpExchange> m_exchange;
    AdmittedRequest m_request;
    std::string m_id;
    std::function<void()> m_finished;
    std::unique_ptr<ResponseWriter> m_writer;
    std::optional<Reservation> m_reservation;
    /// Whether this request holds the claim of a non-repeatable call.
    bool m_hasClaim = false;

    MonotonicTime m_arrival;
    MonotonicTime m_startDeadline;
    MonotonicTime m_lastProgress;
    /// Delay before the claim of a running call is read the next time.
    Duration m_claimDelay;
    int m_attempts = 0;
    std::set<UpstreamId> m_excluded;
    RoutedTarget m_target;
    StreamId m_stream;
    /// Index of the next token that the caller has not received.
    int64_t m_nextToken = 0;
    int64_t m_pendingCredit = 0;
    bool m_mayHaveRun = false;
    bool m_hasCallerLeft = false;
    bool m_isFinished = false;
    TimerId m_retryTimer = 0;
    TimerId m_progressTimer = 0;
    Lifetime m_lifetime;
};

} // namespace lacewing
