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

/// How a submission ended.
struct SubmitResult {
    enum class Status {
        /// In force here and at one more daemon at least; it will not be lost.
        Accepted,
        /// Another submission came first; nothing was changed.
        Conflict,
        /// The configuration breaks a rule; nothing was changed.
        Invalid,
        /// This daemon has no valid session; nothing was changed.
        NoSession,
        /// A store is down; nothing was changed.
        Unavailable,
        /// The head has moved, but no other daemon has said in time that it knows.
        Unconfirmed,
        /// Whether the head has moved could not be found out in time.
        Unknown,
    };

    Status status = Status::Unknown;
    /// The accepted revision, or the one that came first.
    Revision revision;
    /// What the others changed since the expected revision.
    std::vector<ConfigurationChange> changes;
    std::vector<ConfigurationProblem> problems;
    std::string reason;
};

/// @return the status in snake_case, for logs, metrics and answers.
const char* toString(SubmitResult::Status status);

/// A configuration that shall replace the one in force.
struct SubmitRequest {
    Configuration configuration;
    /// The revision that the configuration was made from.
    Revision expectedRevision;
    /// @return the condition that this daemon's session row is live, or nothing if the session is not valid.
    /// Called anew before each attempt, since renewals change the row's version.
    std::function<std::optional<TableCondition>()> sessionCondition;
};

/// What a submission needs of the store that it belongs to.
class SubmissionContext {
public:
    virtual ~SubmissionContext() = default;

    /// Takes a head that was read from the table.
    virtual void learnHead(const std::optional<ConfigurationHead>& head, MonotonicTime readSent) = 0;
    /// Takes the outcome of a call to the table.
    virtual void recordTableCall(std::optional<TableError> error, MonotonicTime sent) = 0;
    /// Puts a submitted configuration in force here, unless a later one is.
    virtual void applySubmitted(const ConfigurationHead& head, const EncodedConfiguration& encoded) = 0;
    /// @return objects that are known to be in the object store.
    virtual std::set<ContentHash> storedObjects() const = 0;
    virtual Revision revision() const = 0;
    /// @return the changes of all revisions after the given one, as far as they are known.
    virtual std::vector<ConfigurationChange> changesSince(Revision earlier) const = 0;
    virtual bool isConfirmed(Revision revision) const = 0;
};

/// One submission: stores the objects, moves the head by compare-and-set, settles lost answers by reading
/// back, and waits until another daemon has the revision.
class ConfigurationSubmission {
public:
    using Callback = std::function<void(const SubmitResult& result)>;

    /// @param writeId unique and without spaces.
    /// @param done called once; it must not destroy the submission.
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
    /// True once a commit was sent that may have taken effect.
    bool m_maybeCommitted = false;
    bool m_isDone = false;
    SubmitResult m_result;
    Lifetime m_lifetime;
};

} // namespace lacewing
