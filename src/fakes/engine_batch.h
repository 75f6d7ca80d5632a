#pragma once

#include "base/metrics.h"
#include "base/scheduler.h"
#include "fakes/answer_text.h"
#include "fakes/cache_event_log.h"
#include "fakes/engine_options.h"
#include "fakes/lagged.h"
#include "fakes/prefix_cache.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// One request to generate text.
struct GenerationRequest {
    /// The name under which the adapter is loaded, or the base model.
    std::string name;
    /// "adapter@version", or the base model.
    std::string identity;
    bool usesAdapter = true;
    std::string prompt;
    /// As reported in the usage.
    int64_t promptTokens = 0;
    int64_t maximumTokens = 1;
    /// Index of the first token wanted; the ones before cost only prefill.
    int64_t resumeFrom = 0;
    bool isInteractive = true;
    /// May be empty.
    std::string workspace;
};

/// How a generation ended.
struct GenerationEnd {
    /// Nothing if the answer is complete.
    std::optional<EngineError> error;
    int64_t promptTokens = 0;
    int64_t completionTokens = 0;
    std::string finishReason;
};

/// Receives the tokens of one request. The callbacks may submit and cancel requests.
struct GenerationHandlers {
    std::function<void(int64_t index, const std::string& text)> onToken;
    /// Called once, after the last token. Not called after cancel().
    std::function<void(const GenerationEnd& end)> onEnd;
};

/// The requests that an engine holds; what its load reports show.
struct EngineLoad {
    int64_t running = 0;
    int64_t waiting = 0;
    /// Prompt and generated tokens of the sequences in the batch.
    int64_t batchTokens = 0;
};

/// Continuous batching on one accelerator: sequences join and leave the batch between steps, and each step
/// takes a time that depends on the batch.
class EngineBatch {
public:
    /// All references must outlive this object.
    EngineBatch(Scheduler& scheduler, const EngineOptions& options, const EngineFaults& faults,
        MetricsRegistry& metrics);

    /// Queues a request.
    ///
    /// @return its number, or nothing if the queue is full or the request is invalid; see lastError().
    std::optional<uint64_t> submit(const GenerationRequest& request, GenerationHandlers handlers);
    const EngineError& lastError() const { return m_lastError; }

    /// Forgets a request without any further callback. Numbers of ended requests are ignored.
    void cancel(uint64_t number);

    /// Ends all requests on an adapter with an error: those in the batch fail, those that wait are refused.
    void evict(const std::string& name);

    /// Lets the next step take longer because an adapter has become resident.
    void addLoadStall();

    /// @return how many requests hold an adapter, in the batch or waiting.
    int64_t requestsOn(const std::string& name) const;
    /// @return the load as it was the report lag ago.
    EngineLoad reportedLoad() { return m_reported.seen(m_scheduler.now()); }
    const CacheEventLog& cacheEvents() const { return m_cacheEvents; }

private:
    struct Sequence {
        GenerationRequest request;
        GenerationHandlers handlers;
        AnswerText answer;
        int64_t nextToken = 0;
        /// Tokens that must still be processed before the first one is generated.
        int64_t prefillLeft = 0;
        /// Blocks of the prefix cache that the sequence uses.
        std::vector<uint64_t> blocks {};
        int64_t* workspaceTokens = nullptr;
    };
    /// What the running step does.
    struct Step {
        std::vector<uint64_t> decoding;
        std::vector<uint64_t> prefilled;
    };

    std::optional<EngineError> check(const GenerationRequest& request, const AnswerText& answer) const;
    std::deque<uint64_t>& queueOf(const Sequence& sequence);
    void admit();
    void beginPrefill(Sequence& sequence);
    void startStep();
    Duration planStep();
    void finishStep();
    void storePrefix(const Sequence& sequence);
    void generateToken(uint64_t number);
    void remove(uint64_t number);
    void end(uint64_t number, const GenerationEnd& end);
    void recordLoad();

    Scheduler& m_scheduler;
    const EngineOptions& m_options;
    const EngineFaults& m_faults;
    MetricsRegistry& m_metrics;
    PrefixCache m_cache;
    CacheEventLog m_cacheEvents;
    Lagged<EngineLoad> m_reported;
    EngineError m_lastError;
    std::map<uint64_t, Sequence> m_sequences;
    /// Interactive requests, then batch requests.
    std::array<std::deque<uint64_t>, 2> m_waiting;
    std::vector<uint64_t> m_running;
    Step m_step;
    bool m_isStepping = false;
    Duration m_pendingStall {};
    uint64_t m_lastNumber = 0;
};

} // namespace lacewing
