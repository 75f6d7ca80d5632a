#pragma once

#include "base/ids.h"
#include "base/scheduler.h"
#include "coordination/claim_row.h"
#include "state/table_service.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lacewing {

/// Tells a caller how to handle a non-idempotent call.
enum class ClaimVerdict {
    /// The caller owns the claim: run the call, then complete(), abandon() or release() it.
    Run,
    /// The call has already completed; return the stored answer.
    StoredAnswer,
    /// The call is running, perhaps on another host.
    InProgress,
    /// The call may have run, and its answer is not known.
    Unknown,
    /// The same request id came with another body.
    DifferentBody,
    /// The table can't be reached; the call was not run.
    TableDown,
};

/// @return the verdict's name in snake_case.
const char* toString(ClaimVerdict verdict);

/// Answer to ClaimRegistry::begin().
struct ClaimResult {
    ClaimVerdict verdict = ClaimVerdict::TableDown;
    /// Set for StoredAnswer.
    std::optional<StoredAnswer> answer;
};

/// Runs each non-idempotent call at most once, using one table row per call. It serves clients that repeat a
/// request with the same request id, through the same or another host, while the first call is running or
/// after it has ended.
///
/// The row is created before the call runs and receives the answer afterwards. Rows contain the
/// claiming host and incarnation, so that the claim of a daemon whose session has ended is reported as
/// Unknown.
class ClaimRegistry {
public:
    /// Tells whether a daemon may still be running its claims: true unless its session has ended.
    using LivenessCheck = std::function<bool(const HostId& host, Incarnation incarnation)>;
    using BeginCallback = std::function<void(const ClaimResult& result)>;
    /// Receives whether the final row was written; false if the first attempt failed and is being retried.
    using DoneCallback = std::function<void(bool written)>;

    /// @param scheduler, table must outlive the registry.
    ClaimRegistry(Scheduler& scheduler, TableService& table, HostId self, Incarnation incarnation,
        LivenessCheck mayBeRunning);
    ~ClaimRegistry();
    ClaimRegistry(const ClaimRegistry&) = delete;
    ClaimRegistry& operator=(const ClaimRegistry&) = delete;

    /// Sets the incarnation recorded in new claims. While it is 0, begin() results in TableDown.
    void setIncarnation(Incarnation incarnation) { m_incarnation = incarnation; }

    /// Claims a call.
    ///
    /// @param fingerprint hash of method, path and body; a repeat must have the same.
    void begin(const WorkspaceId& workspace, const RequestId& request, const std::string& fingerprint,
        BeginCallback callback);

    /// Stores the answer of a call that begin() said to run. The caller should get its answer without waiting
    /// for the callback. If the table is down, storing is retried until it succeeds, and repeats through this
    /// host are answered from memory meanwhile. An answer above the size limit is not kept: repeats get
    /// Unknown.
    void complete(
        const WorkspaceId& workspace, const RequestId& request, StoredAnswer answer, DoneCallback callback);

    /// Records that a call that begin() said to run ended without a known answer.
    void abandon(const WorkspaceId& workspace, const RequestId& request, DoneCallback callback);

    /// Removes the claim of a call that was certainly not run, so that it can be repeated.
    void release(const WorkspaceId& workspace, const RequestId& request, DoneCallback callback);

    /// @return the number of claims that are running or not written yet.
    size_t openCount() const { return m_open.size(); }

private:
    /// A claim of this daemon, until its final row is written.
    struct OpenClaim {
        std::string createWriteId;
        ClaimRow row;
        /// The row to write at the end; no value deletes it.
        std::optional<std::string> finalValue;
        bool isEnding = false;
        std::string finalWriteId;
        Duration retryDelay {};
        /// Set while the final row waits for its next try.
        TimerId retryTimer = 0;
        DoneCallback callback;
    };
    using Alive = std::weak_ptr<bool>;

    void create(const std::string& key, bool isRepeated, const BeginCallback& callback);
    void readBackCreate(
        const std::string& key, bool isRepeated, bool wasAnswered, const BeginCallback& callback);
    void failCreate(const std::string& key, bool mayExist, const BeginCallback& callback);
    ClaimResult evaluateClaim(const ClaimRow& row, const std::string& fingerprint) const;
    ClaimResult evaluateOwnClaim(const OpenClaim& open, const std::string& fingerprint) const;
    void end(const std::string& key, std::optional<ClaimRow> row, DoneCallback callback);
    void writeFinalRow(const std::string& key);
    void commitFinalRow(const std::string& key, const TableRow& row);
    void retryFinalRow(const std::string& key);
    /// Called when the table responds again. Writes the pending final rows without waiting for their retry
    /// timers, so that repeats through other hosts do not find a running claim of a completed call. Deletions
    /// keep their timers.
    void writePendingFinalRows();
    void finishClaim(const std::string& key, bool written);
    std::string nextWriteId();

    Scheduler& m_scheduler;
    TableService& m_table;
    HostId m_self;
    Incarnation m_incarnation;
    LivenessCheck m_mayBeRunning;
    uint64_t m_lastWrite = 0;
    std::map<std::string, OpenClaim> m_open;
    /// Expires with the registry; table callbacks check it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lacewing
