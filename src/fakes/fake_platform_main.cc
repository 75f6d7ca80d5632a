#include "fakes/fake_program.h"
#include "fakes/platform_http.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
ABSL_FLAG(double, loads_per_second, 2, "adapter loads that may start in a second");
ABSL_FLAG(double, load_burst, 4, "adapter loads that may start at once after a quiet time");
ABSL_FLAG(absl::Duration, load_time, absl::Milliseconds(250), "duration of an adapter load");
ABSL_FLAG(int64_t, full_speed_loads, 8, "loads in flight up to which a load is not slowed down");
ABSL_FLAG(absl::Duration, host_list_lag, absl::Seconds(3), "age of the host list");
ABSL_FLAG(uint64_t, seed, 1, "decides which answers are lost and which loads fail");

using namespace lacewing;

namespace {

constexpr const char* description
    = "Stand-in for the platform: table service, object store, weight store and host list.\n"
      "The protocol is in docs/upstream-protocol.md. POST /control takes a JSON object of faults, GET "
      "/control\n"
      "shows them, GET /metrics shows counters. Faults of each of table, objects, weights and hosts, for\n"
      "example {\"table\":{\"down\":true}}, and after them those of all connections:\n"
      "  down          answers 503, nothing takes effect\n"
      "  silent        accepts requests and never answers them; nothing takes effect\n"
      "  slow_ms       delay of each call in milliseconds, half before and half after its effect\n"
      "  lose_answers  probability that a write takes effect and its connection is closed without an answer\n"
      "  fail          (weights) probability that a load fails after its time\n";

} // namespace

int main(int argc, char** argv)
{
    startFakeProgram(argc, argv, "fake-platform", std::string(description) + connectionFaultsHelp);
    PlatformOptions options;
    options.weights.loadsPerSecond = absl::GetFlag(FLAGS_loads_per_second);
    options.weights.burst = absl::GetFlag(FLAGS_load_burst);
    options.weights.loadTime = durationOf(FLAGS_load_time);
    options.weights.fullSpeedLoads = absl::GetFlag(FLAGS_full_speed_loads);
    options.hostListLag = durationOf(FLAGS_host_list_lag);
    options.seed = absl::GetFlag(FLAGS_seed);

    EventLoop loop;
    FaultSettings faults;
    PlatformHttp platform(loop, options, faults);
    FakeServer server(
        loop, faults, [&] { return platform.metricsText(); },
        [&](const std::shared_ptr<HttpExchange>& exchange) { platform.handle(exchange); });
    return runFakeProgram(loop, server, absl::GetFlag(FLAGS_listen));
}
