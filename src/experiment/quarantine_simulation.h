#pragma once

#include "base/random.h"
#include "base/simulated_network.h"
#include "base/virtual_scheduler.h"
#include "gateway/quarantine_exchange.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lacewing::experiment {

/// Plays a fleet of hosts before engines that end on prompts with certain parts, on virtual time: callers
/// send sound prompts and such ones through random hosts, which run the gateway's QuarantineExchange. Engines
/// can also end for other reasons, and hosts can restart, freeze and be cut off from each other.
class QuarantineSimulation {
public:
    struct Shape {
        /// @return a fleet of so many hosts before engines that suit it.
        static Shape ofHosts(size_t hosts);

        size_t hosts = 7;
        size_t engines = 12;
        /// Requests of all callers together.
        double requestsPerSecond = 60;
        /// Share of the requests whose prompt has a part that crashes engines, for each such part.
        double poisonedShare = 0.05;
    };

    /// What happened to the prompts with one part that crashes engines.
    struct PoisonResult {
        std::vector<MonotonicTime> crashes;
        /// When hosts sent such prompts, but for hosts that were disturbed within the stability time.
        std::vector<MonotonicTime> sent;
        /// @return number of such prompts that were sent after the fifth crash and the stability time.
        size_t sentAfterCrashes() const;
    };

    QuarantineSimulation(const Shape& shape, uint64_t seed);
    ~QuarantineSimulation();
    QuarantineSimulation(const QuarantineSimulation&) = delete;
    QuarantineSimulation& operator=(const QuarantineSimulation&) = delete;

    void advance(Duration duration) { m_scheduler.advance(duration); }

    /// From now on engines end on prompts with a part, and callers send such prompts.
    void poison(uint64_t part);
    /// Engines end no longer on it; callers go on.
    void mend(uint64_t part) { m_poisons[part].isMended = true; }
    /// Engines end for another reason, at the same moment.
    void crashEngines(size_t count);
    HostId host(size_t index) const { return HostId("host-" + std::to_string(index)); }
    void restart(const HostId& host);
    void restartAll();
    void setFrozen(const HostId& host, bool isFrozen);
    /// Cuts the links between the first hosts and all others, or heals them.
    void setCut(size_t count, bool isCut);
    void setStoreAvailable(bool isAvailable) { m_isStoreAvailable = isAvailable; }

    /// Plays two parts that crash engines beside hosts that restart, freeze and are cut off, an outage of the
    /// store and engines that end for other reasons.
    void playTroubles();

    const PoisonResult& result(uint64_t part) { return m_poisons[part].result; }
    /// @return share of the sound requests since the last call that began at the first attempt.
    double takeSoundShare();
    /// @return number of hosts that hold prompts with a part.
    size_t holdingHosts(uint64_t part) const;
    /// @return number of quarantines of other parts than those that crash engines, summed over hosts.
    size_t wrongQuarantines() const;

private:
    struct Host;
    struct Engine {
        int64_t startedAt = 1;
        bool isUp = true;
    };
    struct Poison {
        bool isMended = false;
        PoisonResult result;
    };
    /// A prompt on its way at an engine.
    struct Run {
        HostId host;
        std::shared_ptr<char> life;
        size_t engine = 0;
        int64_t startedAt = 0;
        gateway::PartSet prompt;
        std::optional<uint64_t> poison;
    };

    void start(const HostId& host);
    void send(const HostId& from, const gateway::PeerMessage& message);
    void introduce(const HostId& from, const HostId& to);
    void disturb(const HostId& host);
    bool isInTouch(const HostId& host) const;
    void scheduleCall();
    void call();
    /// The answer to a prompt is due.
    void begin(int64_t run);
    /// An engine ends, and all that it runs breaks off.
    void end(size_t engine);
    void report(const Run& run);
    /// @return the host's exchange, or null if the process that sent the run has ended.
    gateway::QuarantineExchange* senderOf(const Run& run);
    static UpstreamId engineId(size_t index) { return UpstreamId("engine-" + std::to_string(index)); }

    Shape m_shape;
    VirtualScheduler m_scheduler;
    Random m_random;
    SimulatedNetwork m_network;
    std::map<HostId, std::unique_ptr<Host>> m_hosts;
    std::map<HostId, MonotonicTime> m_lastDisturbance;
    std::set<HostId> m_frozen;
    std::vector<Engine> m_engines;
    /// Prompts whose answers have not begun.
    std::map<int64_t, Run> m_runs;
    int64_t m_nextRun = 1;
    std::map<uint64_t, Poison> m_poisons;
    /// What the store keeps, by the parts.
    std::map<gateway::PartSet, gateway::Quarantine> m_rows;
    bool m_isStoreAvailable = true;
    uint64_t m_nextPart = 1'000'000;
    int m_soundSent = 0;
    int m_soundBegun = 0;
};

} // namespace lacewing::experiment
