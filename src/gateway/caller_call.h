#pragma once

#include "gateway/admission_search.h"
#include "gateway/call_services.h"
#include "gateway/upstream_answer.h"
#include "transport/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lacewing::gateway {

/// One request of a caller, from its head to the end of its answer.
///
/// It ends in exactly one of: the upstream's answer; a refusal of the gateway, which is only given while no
/// upstream can have run the request; or a failure of the gateway, which promises nothing. A request is sent
/// again only if the upstream says that it has not run it, if nothing was sent, or if its route allows
/// repeats.
class CallerCall : public std::enable_shared_from_this<CallerCall> {
public:
    /// @param finished called once the call needs nothing any more; the receiver must not destroy it at once.
    CallerCall(CallServices& services, std::shared_ptr<HttpExchange> exchange,
        std::function<void(CallerCall*)> finished);
    ~CallerCall();

    void start();

private:
    // Admission.
    bool chargeWorkspace();
    void deny(CallRefusal refusal);

    // Choosing an upstream.
    void chooseUpstream();
    void choosePlain();
    void chooseEngine();
    /// @param choices engines that can be asked, this one included.
    void askOwner(const HostId& owner, const UpstreamId& engine, size_t choices);
    void ownerAnswered(const RunAnswer& answer);

    // Exchange with the upstream.
    void send(const UpstreamId& upstream);
    HttpClientRequest upstreamRequest(const UpstreamEntry& entry);
    void headersArrived(int status, const HttpHeaders& headers);
    void bodyArrived(std::string_view bytes);
    /// Closes the connection to an upstream whose answer has no end.
    void giveUpAnswer();
    void upstreamDone(const HttpClientResult& result);
    void exchangeEnded(ExchangeOutcome outcome, RunOutcome runOutcome);
    void handleNotExecuted();
    void handleFailure(const char* reason);
    void handleBrokenStream();
    void forwardAnswer();
    void forwardEvents(const std::string& events);
    bool mayRepeat() const;
    bool trySendAgain();
    void watchSilence();

    // Ends.
    void deadlinePassed();
    void callerLeft();
    void refuse(CallRefusal refusal, std::optional<Duration> retryAfter);
    void fail(int status, const char* reason);
    void reply(int status, const HttpHeaders& headers, std::string_view body, const char* outcome,
        const char* reason);
    void finish(const char* outcome, const char* reason);

    Duration elapsed() const;
    Duration jittered(Duration duration);

    CallServices& m_services;
    std::shared_ptr<HttpExchange> m_exchange;
    std::function<void(CallerCall*)> m_finished;
    std::shared_ptr<const ServingConfiguration> m_configuration;
    CallAttributes m_attributes;
    MonotonicTime m_arrival;
    CallAdmission m_admission;
    /// Time from the arrival at which the caller must have its final answer.
    Duration m_limit {};
    int m_priority = 0;

    std::set<UpstreamId> m_tried;
    /// Upstreams that may have run the request.
    int m_runs = 0;
    int m_sends = 0;
    AdmissionSearch m_search;

    UpstreamId m_upstream;
    std::optional<RunId> m_run;
    std::optional<int64_t> m_version;
    std::optional<int> m_urgency;
    std::unique_ptr<HttpClientCall> m_call;
    UpstreamAnswer m_answer;
    bool m_isExchanging = false;
    bool m_hasStartedAnswer = false;
    bool m_isFinished = false;
    /// Whether an upstream may have run the request, so that no refusal may be given.
    bool m_mayHaveRun = false;
    std::optional<Duration> m_firstByte;

    TimerId m_deadlineTimer = 0;
    TimerId m_silenceTimer = 0;
};

} // namespace lacewing::gateway
