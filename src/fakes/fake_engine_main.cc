#include "fakes/boot_id.h"
#include "fakes/engine_http.h"
#include "fakes/fake_program.h"
#include "fakes/weight_store_loader.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
ABSL_FLAG(std::string, base_model, "base", "name of the base model");
ABSL_FLAG(std::string, weights, "",
    "IP:PORT of the platform whose weight store loads adapters; empty: a load takes --load-time");
ABSL_FLAG(absl::Duration, load_time, absl::Milliseconds(250), "duration of a load without --weights");
ABSL_FLAG(int64_t, slots, 8, "adapters that can be resident at once");
ABSL_FLAG(uint64_t, max_batch, 32, "sequences in a batch at most");
ABSL_FLAG(uint64_t, queue_limit, 256, "requests that may wait for a place in the batch");
ABSL_FLAG(absl::Duration, step, absl::Microseconds(29200), "duration of a decoding step without sequences");
ABSL_FLAG(absl::Duration, step_per_sequence, absl::Microseconds(200), "added to a step by each sequence");
ABSL_FLAG(
    absl::Duration, step_per_adapter, absl::Microseconds(600), "added to a step by each distinct adapter");
ABSL_FLAG(absl::Duration, prefill_per_token, absl::Microseconds(100), "added to a step by each prompt token");
ABSL_FLAG(int64_t, prefill_tokens_per_step, 512, "prompt tokens that a step processes at most");
ABSL_FLAG(absl::Duration, load_stall, absl::Milliseconds(5), "added to the next step by each finished load");
ABSL_FLAG(double, time_scale, 1, "divides the durations of steps, prefill and load stalls");
ABSL_FLAG(int64_t, cache_tokens, 65536, "capacity of the prefix cache, in tokens");
ABSL_FLAG(absl::Duration, cache_event_lag, absl::Seconds(2), "delay of cache events");
ABSL_FLAG(double, cache_event_gaps, 0.02, "share of cache events that are never published, 0 to 1");
ABSL_FLAG(absl::Duration, report_lag, absl::Milliseconds(500), "age of load reports");
ABSL_FLAG(bool, check_fencing, true, "refuse orders with an old fencing number; if false they are obeyed");
ABSL_FLAG(uint64_t, seed, 1, "decides which loads fail and which cache events are lost");
ABSL_FLAG(std::vector<std::string>, forbidden_text, {},
    "comma-separated texts; occurrences in requests are counted as forbidden_text_seen");

using namespace lacewing;

namespace {

constexpr const char* description
    = "Stand-in for a model engine with continuous batching on one accelerator.\n"
      "The protocol is in docs/upstream-protocol.md. GET /metrics shows counters, POST /control takes a "
      "JSON\n"
      "object of faults, GET /control shows them:\n"
      "  slow_factor              multiplies the duration of steps\n"
      "  load_failures            probability that a load fails after its time\n"
      "  not_ready                flag: completions are refused with 503 not_ready\n"
      "  drop_after_tokens        streams are cut after this many tokens; 0: never\n";

/// @return the first flag whose value the model can't work with, or nothing.
std::optional<std::string> invalidFlag(const EngineOptions& options)
{
    if (!(options.timeScale >= 0.001 && options.timeScale <= 1e6))
        return "time_scale";
    if (options.prefillTokensPerStep < 1)
        return "prefill_tokens_per_step";
    if (options.maximumBatch < 1)
        return "max_batch";
    return std::nullopt;
}

EngineOptions optionsFromFlags()
{
    EngineOptions options;
    options.baseModel = absl::GetFlag(FLAGS_base_model);
    options.bootId = newBootId();
    options.slots = absl::GetFlag(FLAGS_slots);
    options.maximumBatch = absl::GetFlag(FLAGS_max_batch);
    options.queueLimit = absl::GetFlag(FLAGS_queue_limit);
    options.baseStep = durationOf(FLAGS_step);
    options.stepPerSequence = durationOf(FLAGS_step_per_sequence);
    options.stepPerAdapter = durationOf(FLAGS_step_per_adapter);
    options.prefillPerToken = durationOf(FLAGS_prefill_per_token);
    options.prefillTokensPerStep = absl::GetFlag(FLAGS_prefill_tokens_per_step);
    options.loadStall = durationOf(FLAGS_load_stall);
    options.timeScale = absl::GetFlag(FLAGS_time_scale);
    options.cacheTokens = absl::GetFlag(FLAGS_cache_tokens);
    options.cacheEventLag = durationOf(FLAGS_cache_event_lag);
    options.cacheEventGaps = absl::GetFlag(FLAGS_cache_event_gaps);
    options.reportLag = durationOf(FLAGS_report_lag);
    options.checkFencing = absl::GetFlag(FLAGS_check_fencing);
    options.seed = absl::GetFlag(FLAGS_seed);
    return options;
}

std::unique_ptr<AdapterLoader> loaderFromFlags(EventLoop& loop)
{
    const std::string weights = absl::GetFlag(FLAGS_weights);
    if (weights.empty())
        return std::make_unique<TimedAdapterLoader>(loop, durationOf(FLAGS_load_time));
    const auto address = SocketAddress::parse(weights);
    if (!address)
        return nullptr;
    return std::make_unique<WeightStoreLoader>(loop, *address);
}

} // namespace

int main(int argc, char** argv)
{
    startFakeProgram(argc, argv, "fake-engine", std::string(description) + connectionFaultsHelp);
    EventLoop loop;
    const EngineOptions options = optionsFromFlags();
    std::optional<std::string> invalid = invalidFlag(options);
    const std::unique_ptr<AdapterLoader> loader = loaderFromFlags(loop);
    if (!loader)
        invalid = "weights";
    if (invalid) {
        LogEvent(LogLevel::Error, "invalid_flag").with("flag", *invalid);
        return 1;
    }
    FaultSettings faults;
    EngineHttp engine(loop, options, *loader, absl::GetFlag(FLAGS_forbidden_text), faults);
    FakeServer server(
        loop, faults, [&] { return engine.metricsText(); },
        [&](const std::shared_ptr<HttpExchange>& exchange) { engine.handle(exchange); });
    return runFakeProgram(loop, server, absl::GetFlag(FLAGS_listen));
}
