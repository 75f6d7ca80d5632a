#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "coordination/configuration_head.h"
#include "state/configuration_check.h"
#include "state/configuration_diff.h"
#include "state/configuration_encoding.h"
#include "state/object_store.h"
#include "state/table_service.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/// Result of a submission.
struct SubmitResult {
    enum class Status {
        /// Applied here and on at least one other daemon, so it cannot be lost.
        Accepted,
        /// Another submission was committed first; nothing was changed.
        Conflict,
        /// The configuration failed validation; nothing was changed.
        Invalid,
        /// This daemon has no valid session; nothing was changed.
        NoSession,
        /// The table or the object store is unavailable; nothing was changed.
        Unavailable,
        /// The head was updated, but no other daemon confirmed the revision in time.
        Unconfirmed,
        /// It could not be determined in time whether the head was updated.
        Unknown,
    };

    Status status = Status::Unknown;
    /// The accepted revision or, on a conflict, the current one.
    Revision revision;
    /// Changes by other submissions since the expected revision.
    std::vector<ConfigurationChange> changes;
    std::vector<ConfigurationProblem> problems;
    std::string reason;
};

/// @return the status in snake_case, for logs, metrics and responses.
const char* toString(SubmitResult::Status status);

/// Request to replace the current configuration.
struct SubmitRequest {
    Configuration configuration;
    /// The revision that the configuration is based on.
    Revision expectedRevision;
    /// @return the table condition that this daemon's session row is live, or std::nullopt if the session is
    /// not valid. Called before each attempt because renewals change the row's version.
    std::function<std::optional<TableCondition>()> sessionCondition;
};

/// Interface of the configuration store to its submissions.
class SubmissionContext {
public:
    virtual ~SubmissionContext() = default;

    /// Processes a head read from the table; std::nullopt if there is none yet.
    virtual void learnHead(const std::optional<ConfigurationHead>& head, MonotonicTime readSent) = 0;
    /// Records the outcome of a call to the table.
    virtual void recordTableCall(std::optional<TableError> error, MonotonicTime sent) = 0;
    /// Applies a submitted configuration, unless a later one is known.
    virtual void applySubmitted(const ConfigurationHead& head, const EncodedConfiguration& encoded) = 0;
    /// @return the hashes of objects that are known to be in the object store.
    virtual std::set<ContentHash> storedObjects() const = 0;
    virtual Revision revision() const = 0;
    /// @return the known changes of all revisions after the given one.
    virtual std::vector<ConfigurationChange> changesSince(Revision earlier) const = 0;
    virtual bool isConfirmed(Revision revision) const = 0;
};

/// A single submission. It uploads the objects, updates the head by compare-and-set, reads the head back if
/// the outcome is unknown, and waits until another daemon has the revision.
class ConfigurationSubmission {
public:
    using Callback = std::function<void(const SubmitResult& result)>;

    /// @param writeId unique and without spaces.
    /// @param done called exactly once; it must not destroy the submission.
    ConfigurationSubmission(Scheduler& scheduler, TableService& table, ObjectStore& objectStore,
        SubmissionContext& context, SubmitRequest request, EncodedConfiguration encoded, std::string writeId,
        Callback done);

    void start();
    bool isDone() const { return m_isDone; }

private:
    struct Upload {
        ContentHash hash;
        std::string content;
        int failures = 0;
    };

    void continueUploads();
    void onUploaded(Upload upload, std::optional<ObjectStoreError> error);
    void readHead();
    void onHead(const std::vector<TableRow>& rows, std::optional<TableError> error, MonotonicTime sent);
    void handleHead(const std::optional<ConfigurationHead>& head, RowVersion version);
    void commit(const ConfigurationHead& head, RowVersion version);
    void onCommitFailed(std::optional<TableError> error, MonotonicTime sent);
    void retryRead(const std::string& reason);
    void waitForChanges(Revision winningRevision, MonotonicTime waitDeadline);
    void onCommitSucceeded(const ConfigurationHead& head);
    void waitForConfirmation(MonotonicTime waitDeadline);
    void finish(SubmitResult::Status status, const std::string& reason);
    Revision ownRevision() const { return m_request.expectedRevision + Revision(1); }

    Scheduler& m_scheduler;
    TableService& m_table;
    ObjectStore& m_objectStore;
    SubmissionContext& m_context;
    SubmitRequest m_request;
    EncodedConfiguration m_encoded;
    std::string m_writeId;
    Callback m_done;
    std::deque<Upload> m_uploads;
    size_t m_activeUploads = 0;
    MonotonicTime m_deadline {};
    /// True once a commit with an unknown outcome may have taken effect.
    bool m_maybeCommitted = false;
    bool m_isDone = false;
    SubmitResult m_result;
    Lifetime m_lifetime;
};

} // namespace lacewing
