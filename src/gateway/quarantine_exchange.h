#pragma once

#include "base/lifetime.h"
#include "base/metrics.h"
#include "base/periodic_timer.h"
#include "base/random.h"
#include "base/scheduler.h"
#include "gateway/peer_message.h"
#include "gateway/prompt_quarantine.h"

#include <functional>
#include <optional>
#include <vector>

namespace lacewing::gateway {

/// Keeps the hosts' knowledge of crashes and quarantined prompts in step: tells peers what this host observes
/// and decides, and takes over what they tell.
///
/// What a host observes goes to all peers within some milliseconds, quarantines also to each peer that has
/// just connected. What this host decides is handed on to be kept in the store.
class QuarantineExchange {
public:
    struct Handlers {
        std::function<void(const PeerMessage& message)> sendToAll;
        /// Keeps a change that this host has made.
        std::function<void(const Quarantine& quarantine)> save;
    };

    /// @param scheduler, random, metrics must outlive the exchange.
    QuarantineExchange(Scheduler& scheduler, Random& random, MetricsRegistry& metrics, Handlers handlers);

    /// An engine has broken off a run before its answer began.
    ///
    /// @param startedAt start of the engine's process.
    void runBroke(const UpstreamId& engine, int64_t startedAt, const PartSet& prompt);
    /// The answer to a prompt has begun.
    void answerBegan(const AnswerBegin& answer);
    /// @return the time after which to come back, if the prompt must not be sent now.
    std::optional<Duration> holdTime(const PartSet& prompt) const;
    /// To be called right before a prompt is sent, which may make it a probe.
    void beginProbe(const PartSet& prompt);
    /// Engines of another version have appeared.
    void enginesReplaced();

    /// Takes over what a message tells, whatever its type.
    void onMessage(const HostId& peer, const PeerMessage& message);
    /// Takes over what the store has kept.
    void restore(const Quarantine& quarantine);
    std::vector<Quarantine> all() const { return m_quarantine.all(m_scheduler.now()); }
    size_t activeCount() const { return m_quarantine.activeCount(); }

private:
    void reportCrashes();
    void crashed(const std::vector<CrashReport>& reports);
    void decideSoon();
    void merge(const std::vector<Quarantine>& quarantines, const char* source, const std::string& sourceId);
    /// Tells peers of changes that this host has made, and keeps them.
    void publish(const PromptQuarantine::Changes& changes, const char* reason);
    void record(const Quarantine& quarantine, const char* source, const std::string& sourceId);

    Scheduler& m_scheduler;
    Random& m_random;
    MetricsRegistry& m_metrics;
    Handlers m_handlers;
    PromptQuarantine m_quarantine;
    /// Reports that the peers have not been sent yet.
    std::vector<CrashReport> m_unsent;
    bool m_isDeciding = false;
    PeriodicTimer m_expiryTimer;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
