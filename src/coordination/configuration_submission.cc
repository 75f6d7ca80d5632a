#include "coordination/configuration_submission.h"

#include <utility>

namespace lacewing {

namespace {

constexpr size_t maximumActiveUploads = 16;
constexpr int maximumUploadFailures = 3;
constexpr Duration retryDelay = std::chrono::milliseconds(300);
constexpr Duration totalTimeout = std::chrono::seconds(30);
constexpr Duration changesTimeout = std::chrono::seconds(2);
constexpr Duration confirmationTimeout = std::chrono::seconds(10);
constexpr Duration checkInterval = std::chrono::milliseconds(50);

} // namespace

const char* toString(SubmitResult::Status status)
{
    switch (status) {
    case SubmitResult::Status::Accepted:
        return "accepted";
    case SubmitResult::Status::Conflict:
        return "conflict";
    case SubmitResult::Status::Invalid:
        return "invalid";
    case SubmitResult::Status::NoSession:
        return "no_session";
    case SubmitResult::Status::Unavailable:
        return "unavailable";
    case SubmitResult::Status::Unconfirmed:
        return "unconfirmed";
    case SubmitResult::Status::Unknown:
        return "unknown";
    }
    return "invalid";
}

ConfigurationSubmission::ConfigurationSubmission(Scheduler& scheduler, TableService& table,
    ObjectStore& objectStore, SubmissionContext& context, SubmitRequest request, EncodedConfiguration encoded,
    std::string writeId, Callback done)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_objectStore(objectStore)
    , m_context(context)
    , m_request(std::move(request))
    , m_encoded(std::move(encoded))
    , m_writeId(std::move(writeId))
    , m_done(std::move(done))
{
}

void ConfigurationSubmission::start()
{
    m_deadline = m_scheduler.now() + totalTimeout;
    const std::set<ContentHash> stored = m_context.storedObjects();
    for (const auto& [hash, content] : m_encoded.objects) {
        if (stored.count(hash) == 0)
            m_uploads.push_back({ hash, content, 0 });
    }
    continueUploads();
}

void ConfigurationSubmission::continueUploads()
{
    while (!m_uploads.empty() && m_activeUploads < maximumActiveUploads) {
        Upload upload = std::move(m_uploads.front());
        m_uploads.pop_front();
        ++m_activeUploads;
        const ContentHash hash = upload.hash;
        const std::string content = upload.content;
        m_objectStore.store(hash, content,
            m_lifetime.guard([this, upload = std::move(upload)](
                                 std::optional<ObjectStoreError> error) { onUploaded(upload, error); }));
    }
    if (m_uploads.empty() && m_activeUploads == 0)
        readHead();
}

void ConfigurationSubmission::onUploaded(Upload upload, std::optional<ObjectStoreError> error)
{
    if (m_isDone)
        return;
    --m_activeUploads;
    if (error && (++upload.failures > maximumUploadFailures || m_scheduler.now() >= m_deadline)) {
        finish(SubmitResult::Status::Unavailable, std::string("object store: ") + toString(*error));
        return;
    }
    if (!error) {
        continueUploads();
        return;
    }
    ++m_activeUploads;
    m_scheduler.runAfter(retryDelay, m_lifetime.guard([this, upload = std::move(upload)] {
        --m_activeUploads;
        m_uploads.push_back(upload);
        continueUploads();
    }));
}

void ConfigurationSubmission::readHead()
{
    const MonotonicTime sent = m_scheduler.now();
    m_table.read({ configurationHeadKey },
        m_lifetime.guard([this, sent](const std::vector<TableRow>& rows, std::optional<TableError> error) {
            onHead(rows, error, sent);
        }));
}

void ConfigurationSubmission::onHead(
    const std::vector<TableRow>& rows, std::optional<TableError> error, MonotonicTime sent)
{
    m_context.recordTableCall(error, sent);
    if (error)
        return retryRead(std::string("table: ") + toString(*error));
    if (rows.empty()) {
        m_context.learnHead(std::nullopt, sent);
        return handleHead(std::nullopt, RowVersion(0));
    }
    const std::optional<ConfigurationHead> head = ConfigurationHead::parse(rows.front().value);
    if (!head)
        return retryRead(std::string("table: malformed row ") + configurationHeadKey);
    m_context.learnHead(head, sent);
    handleHead(head, rows.front().version);
}

void ConfigurationSubmission::handleHead(const std::optional<ConfigurationHead>& head, RowVersion version)
{
    const ConfigurationHead current = head.value_or(ConfigurationHead {});
    if (current.revision == m_request.expectedRevision)
        return commit(current, version);
    if (m_maybeCommitted && current.revision >= ownRevision()) {
        const std::optional<std::string> writer = current.writeIdOf(ownRevision());
        if (!writer)
            return finish(SubmitResult::Status::Unknown,
                "too many later revisions to determine which submission created this one");
        if (*writer == m_writeId)
            return onCommitSucceeded(current);
    }
    m_result.revision = current.revision;
    waitForChanges(current.revision, m_scheduler.now() + changesTimeout);
}

void ConfigurationSubmission::commit(const ConfigurationHead& head, RowVersion version)
{
    if (m_scheduler.now() >= m_deadline)
        return finish(m_maybeCommitted ? SubmitResult::Status::Unknown : SubmitResult::Status::Unavailable,
            "the table did not commit in time");
    const std::optional<TableCondition> session = m_request.sessionCondition();
    // The outcome of an earlier attempt must be known before reporting that nothing was changed.
    if (!session && m_maybeCommitted)
        return retryRead("the session is not valid");
    if (!session)
        return finish(SubmitResult::Status::NoSession, "this daemon's session is not valid");
    const ConfigurationHead next = head.next(m_encoded.root, m_writeId);
    TableTransaction transaction;
    transaction.writeId = m_writeId;
    transaction.conditions = { { configurationHeadKey, version }, *session };
    transaction.writes = { { configurationHeadKey, next.text() } };
    const MonotonicTime sent = m_scheduler.now();
    m_table.commit(
        std::move(transaction), m_lifetime.guard([this, sent, next](std::optional<TableError> error) {
            if (error)
                return onCommitFailed(error, sent);
            m_context.recordTableCall(error, sent);
            onCommitSucceeded(next);
        }));
}

void ConfigurationSubmission::onCommitFailed(std::optional<TableError> error, MonotonicTime sent)
{
    m_context.recordTableCall(error, sent);
    if (error == TableError::Unknown)
        m_maybeCommitted = true;
    // Repeating the same transaction is safe: all attempts require the same version of the head row, so at
    // most one takes effect, and the row shows which one.
    retryRead(std::string("table: ") + toString(*error));
}

void ConfigurationSubmission::retryRead(const std::string& reason)
{
    if (m_scheduler.now() >= m_deadline)
        return finish(
            m_maybeCommitted ? SubmitResult::Status::Unknown : SubmitResult::Status::Unavailable, reason);
    m_scheduler.runAfter(retryDelay, m_lifetime.guard([this] { readHead(); }));
}

void ConfigurationSubmission::waitForChanges(Revision winningRevision, MonotonicTime waitDeadline)
{
    if (m_context.revision() >= winningRevision || m_scheduler.now() >= waitDeadline) {
        m_result.changes = m_context.changesSince(m_request.expectedRevision);
        return finish(SubmitResult::Status::Conflict,
            "revision " + std::to_string(winningRevision.value()) + " is in force, not "
                + std::to_string(m_request.expectedRevision.value()));
    }
    m_scheduler.runAfter(checkInterval, m_lifetime.guard([this, winningRevision, waitDeadline] {
        waitForChanges(winningRevision, waitDeadline);
    }));
}

void ConfigurationSubmission::onCommitSucceeded(const ConfigurationHead& head)
{
    m_result.revision = ownRevision();
    if (head.revision == ownRevision())
        m_context.applySubmitted(head, m_encoded);
    waitForConfirmation(m_scheduler.now() + confirmationTimeout);
}

void ConfigurationSubmission::waitForConfirmation(MonotonicTime waitDeadline)
{
    if (m_context.revision() >= ownRevision() && m_context.isConfirmed(ownRevision()))
        return finish(SubmitResult::Status::Accepted, "");
    if (m_scheduler.now() >= waitDeadline)
        return finish(SubmitResult::Status::Unconfirmed, "no other daemon has the revision yet");
    m_scheduler.runAfter(
        checkInterval, m_lifetime.guard([this, waitDeadline] { waitForConfirmation(waitDeadline); }));
}

void ConfigurationSubmission::finish(SubmitResult::Status status, const std::string& reason)
{
    if (std::exchange(m_isDone, true))
        return;
    m_result.status = status;
    m_result.reason = reason;
    m_done(m_result);
}

} // namespace lacewing
