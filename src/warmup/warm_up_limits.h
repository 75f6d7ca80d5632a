#pragma once

#include "base/ids.h"
#include "gateway/process_absence.h"
#include "warmup/cold_start.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing::gateway {

/// How a host has learned that an upstream is cold.
enum class ColdSource {
    Row,
    Response,
    Peer,
    /// A new process whose row does not state the remaining cold time.
    Start,
};

/// @return the source's name in snake_case, for logs.
const char* toString(ColdSource source);

/// For how long an upstream's process is still cold.
struct ColdStatement {
    UpstreamId upstream;
    /// Start of the upstream's process.
    int64_t startedAt = 0;
    Duration remaining {};
};

/// What is known of an upstream from its row and the configuration.
struct PresentProcess {
    int64_t startedAt = 0;
    /// Nothing if the configuration sets no limit for cold upstreams of the service.
    std::optional<ColdStart> coldStart;
    /// Remaining cold time that the row states, if it states one.
    std::optional<Duration> remaining;
    /// When the row was read.
    MonotonicTime read;
};

/// An upstream whose limit for cold upstreams has begun, ended or got another rate.
struct ColdChange {
    UpstreamId upstream;
    /// Time for which the limit lasts, zero if it has ended.
    Duration remaining {};
    RequestRate rate { 0 };
    ColdSource source = ColdSource::Row;
};

/// Tracks until when each upstream's process is cold, and the rate of requests that it takes until then.
///
/// Load pattern: the upstreams of a whole data centre return at once, all of them cold, and crash if they get
/// the load that they had before. What rows and responses state is already old when it is read, so the
/// remaining time counts from the reading and the end is never moved forward. A peer's statement moves a
/// known end only if it differs by more than messages take, since each relay adds its delay; otherwise two
/// hosts that tell each other would extend the cold time for ever.
///
/// Has no clock and does no I/O. The limit of an upstream begins and ends in update().
class WarmUpLimits {
public:
    /// Time after its start in which a host does not decide on requests of other hosts to cold upstreams:
    /// until it has read the other hosts' rows it takes itself for the whole fleet.
    static constexpr Duration peerDiscoveryTime = std::chrono::seconds(2);

    /// Takes over the rows of all upstreams.
    ///
    /// @param isFirstRead whether processes that this host did not know may have been running for long.
    void setPresent(const std::map<UpstreamId, PresentProcess>& present, bool isFirstRead, MonotonicTime now);
    /// Takes over what a response or a peer has stated.
    ///
    /// @return whether the peers should be told.
    bool learn(const ColdStatement& statement, ColdSource source, MonotonicTime now);
    /// Begins and ends limits.
    ///
    /// @return the upstreams whose limit has changed.
    std::vector<ColdChange> update(MonotonicTime now);
    /// @return time until a limit ends; nothing without a limit.
    std::optional<Duration> nextEnd(MonotonicTime now) const;

    /// @return the limit of an upstream as of the last update(); nothing if it is warm.
    std::optional<RequestRate> rate(const UpstreamId& upstream) const;
    /// @return what to tell a peer of an upstream; nothing if it is warm or will be very soon.
    std::optional<ColdStatement> known(const UpstreamId& upstream, MonotonicTime now) const;
    /// @return number of upstreams with a limit.
    size_t coldCount() const;
    /// @return the upstreams with a limit.
    std::vector<UpstreamId> cold() const;

private:
    struct KnownProcess {
        /// @return the end of the cold time.
        MonotonicTime end() const;

        int64_t startedAt = 0;
        std::optional<ColdStart> coldStart;
        MonotonicTime statedEnd;
        /// When this host learned of a process that has stated nothing.
        std::optional<MonotonicTime> assumedColdSince;
        /// When the last row that stated a time was read.
        std::optional<MonotonicTime> rowRead;
        ColdSource source = ColdSource::Row;
        /// The limit as of the last update().
        std::optional<RequestRate> limit;
        ProcessAbsence absence;
    };

    /// @return whether the process was not known before.
    static bool replaceProcess(KnownProcess& known, int64_t startedAt);
    static void extend(KnownProcess& known, Duration remaining, MonotonicTime from, MonotonicTime now);
    void applyRow(KnownProcess& known, const PresentProcess& row, bool isNew, MonotonicTime now);

    std::map<UpstreamId, KnownProcess> m_known;
};

} // namespace lacewing::gateway
