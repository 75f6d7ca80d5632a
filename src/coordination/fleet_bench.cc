// Measures the steady-state cost of sessions, membership and leases: table calls and messages per second and
// daemon, in virtual time. The results are counts, so they don't depend on the machine.

#include "coordination/simulated_fleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <cstdio>

ABSL_FLAG(std::vector<std::string>, daemons, std::vector<std::string>({ "3", "7", "20", "60" }),
    "fleet sizes to measure");
ABSL_FLAG(size_t, upstreams, 12, "upstream leases");
ABSL_FLAG(int, seconds, 300, "measured virtual time");
ABSL_FLAG(size_t, partitions, 64, "allotment leases");

namespace {

using namespace lacewing;
using namespace std::chrono_literals;

constexpr Duration warmUpTime = 90s;

/// @return the mean size in bytes of a heartbeat and its acknowledgement on a link: CBOR with the field names
/// of the design document, plus the frame header.
double meanMessageBytes()
{
    const std::string hash(64, 'a');
    const nlohmann::json heartbeat { { "type", "Heartbeat" }, { "seq", 100000 }, { "incarnation", 100 },
        { "state", "live" }, { "revision", 10000 }, { "hash", hash }, { "headAgeMs", 1000 },
        { "tableUp", true }, { "load", 100 } };
    const nlohmann::json ack { { "type", "HeartbeatAck" }, { "seq", 100000 }, { "incarnation", 100 },
        { "peerIncarnation", 100 }, { "guarding", true }, { "revision", 10000 }, { "hash", hash },
        { "headAgeMs", 1000 }, { "tableUp", true } };
    constexpr size_t frameHeader = 4;
    return static_cast<double>(
               nlohmann::json::to_cbor(heartbeat).size() + nlohmann::json::to_cbor(ack).size())
        / 2
        + frameHeader;
}

size_t heldLeases(SimulatedFleet& fleet)
{
    size_t count = 0;
    for (size_t i = 0; i < fleet.size(); ++i)
        count += fleet.member(i).leases().held().size();
    return count;
}

void measure(size_t daemons)
{
    const Duration measuredTime = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    SimulatedFleetOptions options;
    options.daemons = daemons;
    options.upstreams = absl::GetFlag(FLAGS_upstreams);
    options.partitions = absl::GetFlag(FLAGS_partitions);
    SimulatedFleet fleet(options);
    for (size_t i = 0; i < daemons; ++i)
        fleet.start(i);
    fleet.scheduler().advance(warmUpTime);
    const int64_t reads = fleet.table().readCount();
    const int64_t writes = fleet.table().writeCount();
    const int64_t bytes = fleet.table().readByteCount();
    const int64_t messages = fleet.messageCount();
    fleet.scheduler().advance(measuredTime);
    const double perDaemon = toSeconds(measuredTime) * static_cast<double>(daemons);
    const double sent = static_cast<double>(fleet.messageCount() - messages) / perDaemon;
    std::printf("daemons=%zu held=%zu/%zu reads_per_s=%.3f writes_per_s=%.4f read_bytes_per_s=%.0f "
                "sent_messages_per_s=%.2f sent_bytes_per_s=%.0f\n",
        daemons, heldLeases(fleet), fleet.leases().size(),
        static_cast<double>(fleet.table().readCount() - reads) / perDaemon,
        static_cast<double>(fleet.table().writeCount() - writes) / perDaemon,
        static_cast<double>(fleet.table().readByteCount() - bytes) / perDaemon, sent,
        sent * meanMessageBytes());
}

} // namespace

int main(int argc, char** argv)
{
    FLAGS_minloglevel = google::FATAL;
    absl::ParseCommandLine(argc, argv);
    for (const std::string& daemons : absl::GetFlag(FLAGS_daemons))
        measure(std::stoul(daemons));
    return 0;
}
