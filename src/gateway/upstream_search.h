#pragma once

#include "base/lifetime.h"
#include "gateway/admission_search.h"
#include "gateway/call_services.h"
#include "gateway/stream_binding.h"

#include <functional>
#include <optional>
#include <set>

namespace lacewing::gateway {

/// Finds the upstreams for one call, one after the other, and obtains the permission to start the call there:
/// from the owner of an engine, or from the host that decides on an upstream with a limit.
///
/// Load pattern: upstreams that could serve the call are overloaded or at the limits that they state. The
/// call goes on to the next one, and ends with the earliest time at which one of them can take it.
class UpstreamSearch {
public:
    /// What a search knows of its call.
    struct Subject {
        const CallAttributes& attributes;
        const CallAdmission& admission;
        /// Keeps the call at the software version of its stream.
        const StreamBinding& binding;
        MonotonicTime arrival;
        /// Time from the arrival within which the response must be complete.
        Duration timeLimit {};
        int priority = 0;
    };

    struct Handlers {
        /// The call may start at upstream() now.
        std::function<void()> onStart;
        /// No upstream is left that can take the call in time.
        std::function<void(CallRefusal refusal, Duration retryAfter)> onExhausted;
    };

    /// Retry delay if no upstream can take a call and none has said when it could.
    static constexpr Duration noUpstreamRetryAfter = std::chrono::milliseconds(400);

    /// @param services and what the subject refers to must outlive the search.
    UpstreamSearch(CallServices& services, const Subject& subject, Handlers handlers);
    ~UpstreamSearch();
    UpstreamSearch(const UpstreamSearch&) = delete;
    UpstreamSearch& operator=(const UpstreamSearch&) = delete;

    /// Looks for the next upstream. A handler is called in this call or later.
    void next();
    /// Ends the search; no handler is called any more.
    void stop();
    /// Allows one more owner to be asked, because an engine that admitted the call did not run it.
    void allowOneMoreOwner() { m_owners.allowOneMore(); }

    /// Tells the owner that the response has begun.
    ///
    /// @param slowdown that the engine has stated in the response.
    void runProgressed(std::optional<double> slowdown);
    /// Tells the owner that the run has ended, or withdraws the request for one. Does nothing if there is
    /// none.
    void runEnded(const RunEnding& ending);

    /// @return the upstream that was chosen or asked last; empty before the first one.
    const UpstreamId& upstream() const { return m_upstream; }
    /// @return whether an upstream that has not been tried may get a request now.
    bool hasAlternative() const;
    /// @return the number of upstreams that have denied the call or that it has started at.
    size_t triedCount() const { return m_tried.size(); }
    /// @return how many owners were asked.
    int askedOwners() const { return m_owners.attempts(); }
    /// @return the version of the adapter that the engine must run, if it is known.
    std::optional<int64_t> version() const { return m_version; }
    std::optional<int> urgency() const { return m_urgency; }

private:
    void chooseEngine();
    /// @param choices number of engines that can be asked, including this one.
    void askOwner(const HostId& owner, const UpstreamId& engine, size_t choices);
    void ownerAnswered(const RunAnswer& answer);
    /// @return the reason for a refusal after owners have denied the call.
    CallRefusal overloadRefusal() const;

    /// @return the reason for a refusal if the service has upstreams, but only in evacuated data centres or
    /// outside the home regions.
    std::optional<CallRefusal> regionalRefusal() const;
    /// Ends the search because no upstream of the service may get the call.
    void reportNoUpstream();

    void choosePlain();
    /// Starts the call once the limit that the upstream states permits it, or chooses another upstream.
    ///
    /// @param patience time for which the call may wait for its start.
    void startWithinLimit(const UpstreamId& upstream, Duration patience);
    void permitAnswered(const PermitAnswer& answer);
    /// @return the time for which the call can wait and still be answered on time.
    Duration timeUntilLate() const;
    /// @return the time until the first event is late.
    Duration timeUntilLateAnswer() const;
    /// Counts whether the engine that comes first keeps the beginning of the prompt, which others share.
    void countAffinity(const std::vector<EngineCandidate>& candidates, const UpstreamId& chosen) const;

    void start(const UpstreamId& upstream);

    CallServices& m_services;
    Subject m_subject;
    Handlers m_handlers;
    AdmissionSearch m_owners;
    std::set<UpstreamId> m_tried;
    UpstreamId m_upstream;
    std::optional<PermitId> m_permit;
    std::optional<RunId> m_run;
    std::optional<int64_t> m_version;
    std::optional<int> m_urgency;
    /// Runs while the call waits for the start that it was permitted.
    TimerId m_startTimer = 0;
    bool m_isStopped = false;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
