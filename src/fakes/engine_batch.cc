#include "fakes/engine_batch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewing {

namespace {

template <typename Container> void eraseValue(Container& container, uint64_t value)
{
    container.erase(std::remove(container.begin(), container.end(), value), container.end());
}

} // namespace

EngineBatch::EngineBatch(
    Scheduler& scheduler, const EngineOptions& options, const EngineFaults& faults, MetricsRegistry& metrics)
    : m_scheduler(scheduler)
    , m_options(options)
    , m_faults(faults)
    , m_metrics(metrics)
    , m_cache(options.cacheTokens)
    , m_cacheEvents(scheduler, options.cacheEventLag, options.cacheEventGaps, options.seed)
    , m_reported(options.reportLag)
{
    for (const char* name : { "steps", "tokens_generated", "evicted_while_running", "batch_sequences_total",
             "batch_adapters_total", "cancelled" })
        m_metrics.counter(name) = 0;
    m_metrics.gauge("stall_seconds") = 0;
}

std::optional<EngineError> EngineBatch::check(
    const GenerationRequest& request, const AnswerText& answer) const
{
    if (m_waiting[0].size() + m_waiting[1].size() >= m_options.queueLimit)
        return EngineError { 429, "queue_full", "too many requests wait" };
    if (request.resumeFrom > answer.length())
        return EngineError { 400, "invalid_request", "resume_from is beyond the end of the answer" };
    return std::nullopt;
}

std::optional<uint64_t> EngineBatch::submit(const GenerationRequest& request, GenerationHandlers handlers)
{
    const AnswerText answer(request.identity, request.prompt, request.maximumTokens);
    if (auto error = check(request, answer)) {
        m_lastError = *error;
        return std::nullopt;
    }
    const uint64_t number = ++m_lastNumber;
    Sequence sequence { request, std::move(handlers), answer };
    sequence.nextToken = request.resumeFrom;
    if (!request.workspace.empty())
        sequence.workspaceTokens
            = &m_metrics.counter("workspace_tokens", { { "workspace", request.workspace } });
    const auto placed = m_sequences.emplace(number, std::move(sequence)).first;
    queueOf(placed->second).push_back(number);
    ++m_metrics.counter("requests", { { "adapter", request.identity } });
    recordLoad();
    // Later, so that requests which arrive together share their first step.
    m_scheduler.runAfter(Duration(0), [this] { startStep(); });
    return number;
}

std::deque<uint64_t>& EngineBatch::queueOf(const Sequence& sequence)
{
    return m_waiting[sequence.request.isInteractive ? 0 : 1];
}

void EngineBatch::cancel(uint64_t number)
{
    if (m_sequences.count(number) == 0)
        return;
    ++m_metrics.counter("cancelled");
    remove(number);
}

void EngineBatch::remove(uint64_t number)
{
    const auto found = m_sequences.find(number);
    eraseValue(queueOf(found->second), number);
    eraseValue(m_running, number);
    m_sequences.erase(found);
    recordLoad();
}

void EngineBatch::end(uint64_t number, const GenerationEnd& end)
{
    const auto onEnd = std::move(m_sequences.at(number).handlers.onEnd);
    remove(number);
    onEnd(end);
}

void EngineBatch::evict(const std::string& name)
{
    std::vector<uint64_t> numbers;
    for (const auto& [number, sequence] : m_sequences) {
        if (sequence.request.name == name)
            numbers.push_back(number);
    }
    if (!numbers.empty())
        ++m_metrics.counter("evicted_while_running");
    for (const uint64_t number : numbers) {
        if (m_sequences.count(number) == 0)
            continue;
        ++m_metrics.counter("requests_failed_by_eviction");
        const bool isRunning = std::find(m_running.begin(), m_running.end(), number) != m_running.end();
        GenerationEnd failure;
        failure.error = isRunning
            ? EngineError { 500, "adapter_evicted", "the adapter was unloaded while the request ran" }
            : EngineError { 404, "adapter_not_resident", "the adapter was unloaded before the request ran" };
        end(number, failure);
    }
}

void EngineBatch::addLoadStall()
{
    if (!m_running.empty())
        m_pendingStall += m_options.loadStall;
}

int64_t EngineBatch::requestsOn(const std::string& name) const
{
    int64_t count = 0;
    for (const auto& [number, sequence] : m_sequences)
        count += sequence.request.name == name ? 1 : 0;
    return count;
}

void EngineBatch::admit()
{
    for (std::deque<uint64_t>& queue : m_waiting) {
        while (!queue.empty() && m_running.size() < m_options.maximumBatch) {
            m_running.push_back(queue.front());
            queue.pop_front();
            beginPrefill(m_sequences.at(m_running.back()));
        }
    }
}

void EngineBatch::beginPrefill(Sequence& sequence)
{
    std::string text = sequence.request.prompt;
    for (int64_t token = 0; token < sequence.nextToken; ++token)
        text += sequence.answer.token(token);
    sequence.blocks = PrefixCache::blocksOf(sequence.request.identity, text);
    const auto tokens = static_cast<int64_t>((text.size() + 3) / 4);
    const int64_t cached = m_cache.use(sequence.blocks);
    // The last token is always processed, because its result is the next token.
    sequence.prefillLeft = std::max<int64_t>(1, tokens - cached);
    m_metrics.counter("prompt_tokens") += tokens;
    m_metrics.counter("prompt_tokens_cached") += std::min(cached, tokens);
}

void EngineBatch::startStep()
{
    if (m_isStepping)
        return;
    admit();
    recordLoad();
    if (m_running.empty())
        return;
    m_isStepping = true;
    m_scheduler.runAfter(planStep(), [this] { finishStep(); });
}

Duration EngineBatch::planStep()
{
    m_step = Step();
    std::set<std::string> adapters;
    int64_t prefillBudget = m_options.prefillTokensPerStep;
    // Interactive prompts are processed first, because a step processes a limited number of prompt tokens.
    std::stable_partition(m_running.begin(), m_running.end(),
        [this](uint64_t number) { return m_sequences.at(number).request.isInteractive; });
    for (const uint64_t number : m_running) {
        Sequence& sequence = m_sequences.at(number);
        if (sequence.request.usesAdapter)
            adapters.insert(sequence.request.name);
        if (sequence.prefillLeft > 0) {
            const int64_t tokens = std::min(sequence.prefillLeft, prefillBudget);
            prefillBudget -= tokens;
            sequence.prefillLeft -= tokens;
            if (sequence.prefillLeft > 0)
                continue;
            m_step.prefilled.push_back(number);
        }
        m_step.decoding.push_back(number);
    }
    ++m_metrics.counter("steps");
    m_metrics.counter("batch_sequences_total") += static_cast<int64_t>(m_running.size());
    m_metrics.counter("batch_adapters_total") += static_cast<int64_t>(adapters.size());
    const double scale = m_faults.slowFactor / m_options.timeScale;
    const Duration stall = std::exchange(m_pendingStall, Duration(0));
    m_metrics.gauge("stall_seconds") += toSeconds(stall) * scale;
    const Duration work = m_options.baseStep
        + m_options.stepPerSequence * static_cast<int64_t>(m_running.size())
        + m_options.stepPerAdapter * static_cast<int64_t>(adapters.size())
        + m_options.prefillPerToken * (m_options.prefillTokensPerStep - prefillBudget) + stall;
    return Duration(static_cast<int64_t>(static_cast<double>(work.count()) * scale));
}

void EngineBatch::finishStep()
{
    m_isStepping = false;
    const Step step = std::exchange(m_step, {});
    for (const uint64_t number : step.prefilled) {
        const auto found = m_sequences.find(number);
        if (found != m_sequences.end())
            storePrefix(found->second);
    }
    for (const uint64_t number : step.decoding)
        generateToken(number);
    startStep();
}

void EngineBatch::storePrefix(const Sequence& sequence)
{
    std::vector<uint64_t> stored;
    std::vector<uint64_t> evicted;
    m_cache.store(sequence.blocks, stored, evicted);
    m_cacheEvents.add("stored", sequence.request.identity, stored);
    m_cacheEvents.add("evicted", "", evicted);
}

void EngineBatch::generateToken(uint64_t number)
{
    auto found = m_sequences.find(number);
    if (found == m_sequences.end())
        return;
    Sequence& sequence = found->second;
    if (sequence.nextToken < sequence.answer.length()) {
        const int64_t index = sequence.nextToken++;
        ++m_metrics.counter("tokens_generated");
        if (sequence.workspaceTokens)
            ++*sequence.workspaceTokens;
        const std::string text = sequence.answer.token(index);
        // A copy, because the callback may cancel the request and so destroy the sequence.
        const auto onToken = sequence.handlers.onToken;
        onToken(index, text);
        found = m_sequences.find(number);
    }
    if (found == m_sequences.end() || found->second.nextToken < found->second.answer.length())
        return;
    const Sequence& done = found->second;
    end(number,
        { std::nullopt, done.request.promptTokens, done.answer.length(), done.answer.finishReason() });
}

void EngineBatch::recordLoad()
{
    EngineLoad load;
    load.running = static_cast<int64_t>(m_running.size());
    load.waiting = static_cast<int64_t>(m_waiting[0].size() + m_waiting[1].size());
    for (const uint64_t number : m_running) {
        const Sequence& sequence = m_sequences.at(number);
        load.batchTokens += sequence.request.promptTokens + sequence.nextToken;
    }
    m_reported.record(m_scheduler.now(), load);
}

} // namespace lacewing
