#include "fakes/boot_id.h"
#include "fakes/fake_program.h"
#include "fakes/service_http.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
ABSL_FLAG(absl::Duration, service_time, absl::Milliseconds(20), "duration of each run");
ABSL_FLAG(uint64_t, seed, 1, "decides which calls a fault strikes");
ABSL_FLAG(std::vector<std::string>, forbidden_text, {},
    "comma-separated texts; occurrences in requests are counted as forbidden_text_seen");

using namespace lacewing;

namespace {

constexpr const char* description
    = "Stand-in for a plain service. It runs any call and counts the runs by Lacewing-Workspace and\n"
      "Idempotency-Key, or without a key by a hash of method, path and body. GET /runs shows the counts and "
      "how\n"
      "many calls ran more than once (doubled). GET /admin/status shows boot id and load, GET /metrics "
      "counters.\n"
      "POST /control takes a JSON object of faults, GET /control shows them. Faults are probabilities from 0 "
      "to\n"
      "1, or true and false:\n"
      "  silent_before_run, silent_after_run  the call is never answered\n"
      "  close_before_run, close_after_run    the connection is closed without an answer\n"
      "  refuse_not_run                       503 with Lacewing-Not-Run: 1, not run\n"
      "  slow_ms                              added to the duration of each run, in milliseconds\n";

} // namespace

int main(int argc, char** argv)
{
    startFakeProgram(argc, argv, "fake-service", std::string(description) + connectionFaultsHelp);
    ServiceOptions options;
    options.serviceTime = durationOf(FLAGS_service_time);
    options.bootId = newBootId();
    options.seed = absl::GetFlag(FLAGS_seed);
    options.forbiddenTexts = absl::GetFlag(FLAGS_forbidden_text);

    EventLoop loop;
    FaultSettings faults;
    ServiceHttp service(loop, options, faults);
    FakeServer server(
        loop, faults, [&] { return service.metricsText(); },
        [&](const std::shared_ptr<HttpExchange>& exchange) { service.handle(exchange); });
    return runFakeProgram(loop, server, absl::GetFlag(FLAGS_listen));
}
