#pragma once

#include "gateway/call_decision.h"
#include "gateway/call_evidence.h"
#include "gateway/call_services.h"
#include "gateway/response_flow.h"
#include "gateway/stream_binding.h"
#include "gateway/upstream_response.h"
#include "gateway/upstream_search.h"
#include "transport/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lacewing::gateway {

/// Proxies one request of a caller to an upstream, from the request's head to the end of the response.
///
/// Each call ends in exactly one way: with the upstream's response; with a rejection by the gateway, which is
/// only given if no upstream can have run the request; or with a gateway error, after which the request may
/// or may not have run. What follows the end of an exchange with an upstream is decided by decide().
///
/// Load pattern: upstreams fail, stall, reject requests or break off streams under load, and requests that
/// may run only once must not run twice.
class ProxiedCall : public std::enable_shared_from_this<ProxiedCall> {
public:
    /// @param finished called when the call is complete. It must not destroy the call synchronously, since a
    /// member function is still running.
    ProxiedCall(CallServices& services, std::shared_ptr<HttpExchange> exchange,
        std::function<void(ProxiedCall*)> finished);
    ~ProxiedCall();

    void start();

private:
    // Admission.
    bool chargeWorkspace();
    void createSearch();
    /// Looks for an upstream once it is known which versions may serve the call.
    void startSearch(VersionSource source);
    void deny(CallRefusal refusal);
    /// @return whether the request or its prompt is in quarantine, in which case the call has been refused.
    bool refuseQuarantined();
    /// @return whether the end of the process could cut the call off, so that nobody would know whether the
    /// request has run.
    bool mayOutlastHost() const;

    // Exchange with the upstream.
    /// Sends the request to the upstream that the search has found.
    void send();
    HttpClientRequest upstreamRequest(const UpstreamEntry& entry);
    void headersArrived(int status, const HttpHeaders& headers);
    void bodyArrived(std::string_view bytes);
    /// Gives up a response for which there is no memory.
    void giveUpResponse();
    /// @return the parts of the prompt and the hash of the request itself.
    PartSet requestParts() const;
    ExchangeContext exchangeContext() const;
    void upstreamDone(const HttpClientResult& result);
    /// Records what the end of an exchange says of the upstream.
    void recordEnd(ExchangeEnd end, const HttpClientResult& result);
    void exchangeEnded(ExchangeOutcome outcome, RunOutcome runOutcome);
    /// @param end of the exchange that is to be decided on.
    CallProgress progress(ExchangeEnd end) const;
    /// @return the step of a decision, after drawing on the retry allowance.
    CallStep resolve(const CallDecision& decision);
    /// Takes a step after an exchange.
    ///
    /// @param reason if the step ends the call without a whole response.
    void take(CallStep step, const char* reason);
    void forwardResponse();
    /// Forwards the events that have arrived, unless their stream's record must be stored first.
    void releaseEvents();
    /// The record of the stream is stored.
    void streamRecorded();
    void forwardEvents(const std::string& events);
    /// @return whether the request may run more than once, by the configuration that has admitted it and by
    /// the newest one.
    bool mayRepeat() const;
    bool tryRetry();
    void startAttemptTimer();
    void attemptTimedOut();

    // Completion.
    void deadlinePassed();
    void callerLeft();
    void refuse(CallRefusal refusal, std::optional<Duration> retryAfter);
    void fail(int status, const char* reason);
    void reply(int status, const HttpHeaders& headers, std::string_view body, const char* outcome,
        const char* reason);
    void finish(const char* outcome, const char* reason);

    Duration elapsed() const;
    /// Spreads the retries of callers that were rejected at the same time.
    ///
    /// @param shortest fraction of the time after which the first of them may come back.
    Duration spread(Duration retryAfter, double shortest);

    CallServices& m_services;
    std::shared_ptr<HttpExchange> m_exchange;
    std::function<void(ProxiedCall*)> m_finished;
    std::shared_ptr<const ServingConfiguration> m_configuration;
    CallAttributes m_attributes;
    /// Set once a route has been found.
    std::optional<CallEvidence> m_evidence;
    MonotonicTime m_arrival;
    CallAdmission m_admission;
    /// Time from the arrival of the request within which the response must be complete.
    Duration m_timeLimit {};

    /// Number of sends that may have run the request.
    int m_possibleRuns = 0;
    int m_sends = 0;
    /// Set once the request is admitted.
    std::optional<StreamBinding> m_binding;
    /// Null until the request is admitted.
    std::unique_ptr<UpstreamSearch> m_search;

    MonotonicTime m_sentAt;
    std::unique_ptr<HttpClientCall> m_call;
    ResponseFlow m_flow;
    UpstreamResponse m_response;
    /// Events that wait for their stream's record.
    std::string m_heldEvents;
    /// End of the exchange, which is handled after them.
    std::optional<HttpClientResult> m_heldEnd;
    bool m_isExchanging = false;
    /// How the end of the response is marked that the caller has got a part of.
    std::optional<StreamEnd> m_startedEnd;
    bool m_isFinished = false;
    std::optional<Duration> m_firstByte;
    /// Slowdown that the upstream has stated in its response, until the engine's owner is told.
    std::optional<double> m_slowdown;

    TimerId m_deadlineTimer = 0;
    TimerId m_attemptTimer = 0;
};

} // namespace lacewing::gateway
