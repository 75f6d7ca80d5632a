#pragma once

#include "base/lifetime.h"
#include "base/metrics.h"
#include "base/scheduler.h"
#include "coordination/claim_registry.h"
#include "coordination/retry_budget.h"
#include "coordination/token_wallet.h"
#include "daemon/response_writer.h"
#include "daemon/upstream_router.h"

#include <functional>
#include <memory>

namespace lacewing {

/// What a request at an entry needs from its daemon. All members must outlive the request.
struct EntryContext {
    Scheduler& scheduler;
    PeerMessenger& peers;
    MetricsRegistry& metrics;
    TokenWallet& wallet;
    UpstreamRouter& router;
    RetryBudget& retryBudget;
    ClaimRegistry& claims;
    /// Gives each attempt a stream number that was never used before.
    std::function<StreamId()> newStream;
    /// Called when the stream of an attempt has ended.
    std::function<void(StreamId stream)> streamEnded;
};

/// One caller's request at its entry: charges the workspace, sends the request to an upstream's owner, relays
/// the answer, and retries or resumes where that is safe. It ends in exactly one outcome.
class EntryRequest {
public:
    /// @param finished called once at the end, never inside the constructor; the request may be destroyed in
    /// the next round of the loop.
    EntryRequest(EntryContext context, std::shared_ptr<HttpExchange> exchange, AdmittedRequest request,
        std::string id, std::function<void()> finished);
    ~EntryRequest();
    EntryRequest(const EntryRequest&) = delete;
    EntryRequest& operator=(const EntryRequest&) = delete;

    void start();
    void received(const HostId& owner, const RunChunk& chunk);
    void received(const HostId& owner, const RunEnd& end);
    /// The owner can't be reached any more.
    void ownerLost(const HostId& owner);
    /// Ends the request early, because its key was withdrawn or the configuration is stale.
    void stop(int status, std::string_view code, std::string message);

    /// @return the stream of the current attempt; 0 between attempts.
    StreamId stream() const { return m_stream; }
    const AdmittedRequest& request() const { return m_request; }
    bool isFinished() const { return m_isFinished; }

private:
    void reserved(const ReserveResult& result);
    void claim();
    void claimed(const ClaimResult& result);
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
    /// Whether this request holds the claim of a call that may not be repeated.
    bool m_hasClaim = false;

    MonotonicTime m_arrival;
    MonotonicTime m_startDeadline;
    MonotonicTime m_lastProgress;
    int m_attempts = 0;
    std::set<UpstreamId> m_excluded;
    RoutedTarget m_target;
    StreamId m_stream;
    /// Index of the next token that the caller has not got.
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
