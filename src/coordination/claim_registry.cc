#include "coordination/claim_registry.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

using namespace std::chrono_literals;

// Limits the row size; larger answers are not stored.
constexpr size_t maximumAnswerSize = 64 * 1024;

constexpr Duration firstRetryDelay = 1s;
constexpr Duration longestRetryDelay = 30s;

// Limits the answers of all open claims kept in memory while the table is down. Repeats of further calls get
// Unknown.
constexpr size_t maximumOpenAnswers = 500;

std::string rowKey(const WorkspaceId& workspace, const RequestId& request)
{
    return "claim/" + workspace.value() + "/" + request.value();
}

ClaimResult verdict(ClaimVerdict verdict)
{
    return { verdict, std::nullopt };
}

} // namespace

const char* toString(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::Run:
        return "run";
    case ClaimVerdict::StoredAnswer:
        return "stored_answer";
    case ClaimVerdict::InProgress:
        return "in_progress";
    case ClaimVerdict::Unknown:
        return "unknown";
    case ClaimVerdict::DifferentBody:
        return "different_body";
    case ClaimVerdict::TableDown:
        return "table_down";
    }
    return "invalid";
}

ClaimRegistry::ClaimRegistry(Scheduler& scheduler, TableService& table, HostId self, Incarnation incarnation,
    LivenessCheck mayBeRunning)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_mayBeRunning(std::move(mayBeRunning))
{
}

ClaimRegistry::~ClaimRegistry()
{
    *m_alive = false;
}

void ClaimRegistry::begin(const WorkspaceId& workspace, const RequestId& request,
    const std::string& fingerprint, BeginCallback callback)
{
    const std::string key = rowKey(workspace, request);
    const auto found = m_open.find(key);
    if (found != m_open.end()) {
        const ClaimResult result = evaluateOwnClaim(found->second, fingerprint);
        m_scheduler.runAfter(
            Duration::zero(), [callback = std::move(callback), result] { callback(result); });
        return;
    }
    if (m_incarnation == Incarnation(0)) {
        m_scheduler.runAfter(Duration::zero(),
            [callback = std::move(callback)] { callback(verdict(ClaimVerdict::TableDown)); });
        return;
    }
    OpenClaim open;
    open.createWriteId = nextWriteId();
    open.row = { ClaimRow::State::Running, m_self, m_incarnation, fingerprint, std::nullopt };
    m_open.emplace(key, std::move(open));
    create(key, false, callback);
}

void ClaimRegistry::create(const std::string& key, bool isRepeated, const BeginCallback& callback)
{
    const OpenClaim& open = m_open.at(key);
    m_table.commit({ open.createWriteId, { { key, RowVersion() } }, { { key, encodeClaimRow(open.row) } } },
        [this, alive = Alive(m_alive), key, isRepeated, callback](std::optional<TableError> error) {
            if (alive.expired())
                return;
            if (!error || *error == TableError::Conflict)
                writePendingFinalRows();
            if (!error)
                return callback(verdict(ClaimVerdict::Run));
            if (*error == TableError::Conflict || *error == TableError::Unknown)
                return readBackCreate(key, isRepeated, *error == TableError::Conflict, callback);
            failCreate(key, isRepeated, callback);
        });
}

void ClaimRegistry::readBackCreate(
    const std::string& key, bool isRepeated, bool wasAnswered, const BeginCallback& callback)
{
    m_table.read({ key },
        [this, alive = Alive(m_alive), key, isRepeated, wasAnswered, callback](
            const std::vector<TableRow>& rows, std::optional<TableError> error) {
            if (alive.expired())
                return;
            const bool mayExist = isRepeated || !wasAnswered;
            if (error)
                return failCreate(key, mayExist, callback);
            if (rows.empty()) {
                // The unconfirmed write may still be committed, or another claim's row was just deleted.
                // Retrying the creation with the same write id is safe in both cases.
                return isRepeated ? failCreate(key, mayExist, callback) : create(key, true, callback);
            }
            const OpenClaim& open = m_open.at(key);
            if (rows.front().writeId == open.createWriteId)
                return callback(verdict(ClaimVerdict::Run));
            const std::optional<ClaimRow> row = decodeClaimRow(rows.front().value);
            const ClaimResult result
                = row ? evaluateClaim(*row, open.row.fingerprint) : verdict(ClaimVerdict::Unknown);
            m_open.erase(key);
            callback(result);
        });
}

void ClaimRegistry::failCreate(const std::string& key, bool mayExist, const BeginCallback& callback)
{
    // Delete a row that may have been created; otherwise repeats would wait for a call that never runs.
    if (mayExist)
        end(key, std::nullopt, nullptr);
    else
        m_open.erase(key);
    callback(verdict(ClaimVerdict::TableDown));
}

ClaimResult ClaimRegistry::evaluateClaim(const ClaimRow& row, const std::string& fingerprint) const
{
    if (row.fingerprint != fingerprint)
        return verdict(ClaimVerdict::DifferentBody);
    if (row.state == ClaimRow::State::Answered)
        return { ClaimVerdict::StoredAnswer, row.answer };
    const bool isRunning = row.state == ClaimRow::State::Running && m_mayBeRunning(row.host, row.incarnation);
    return verdict(isRunning ? ClaimVerdict::InProgress : ClaimVerdict::Unknown);
}

ClaimResult ClaimRegistry::evaluateOwnClaim(const OpenClaim& open, const std::string& fingerprint) const
{
    const bool wasNotRun = open.isEnding && !open.finalValue;
    if (wasNotRun)
        return verdict(ClaimVerdict::TableDown);
    if (open.row.fingerprint == fingerprint && open.row.state == ClaimRow::State::Running)
        return verdict(ClaimVerdict::InProgress);
    return evaluateClaim(open.row, fingerprint);
}

void ClaimRegistry::complete(
    const WorkspaceId& workspace, const RequestId& request, StoredAnswer answer, DoneCallback callback)
{
    const std::string key = rowKey(workspace, request);
    const auto found = m_open.find(key);
    if (found == m_open.end())
        return;
    ClaimRow row = found->second.row;
    const bool isKept = answer.body.size() <= maximumAnswerSize && m_open.size() <= maximumOpenAnswers;
    row.state = isKept ? ClaimRow::State::Answered : ClaimRow::State::Unknown;
    if (isKept)
        row.answer = std::move(answer);
    end(key, std::move(row), std::move(callback));
}

void ClaimRegistry::abandon(const WorkspaceId& workspace, const RequestId& request, DoneCallback callback)
{
    const std::string key = rowKey(workspace, request);
    const auto found = m_open.find(key);
    if (found == m_open.end())
        return;
    ClaimRow row = found->second.row;
    row.state = ClaimRow::State::Unknown;
    end(key, std::move(row), std::move(callback));
}

void ClaimRegistry::release(const WorkspaceId& workspace, const RequestId& request, DoneCallback callback)
{
    const std::string key = rowKey(workspace, request);
    if (m_open.count(key) != 0)
        end(key, std::nullopt, std::move(callback));
}

void ClaimRegistry::end(const std::string& key, std::optional<ClaimRow> row, DoneCallback callback)
{
    OpenClaim& open = m_open.at(key);
    if (std::exchange(open.isEnding, true))
        return;
    if (row) {
        open.row = *row;
        open.finalValue = encodeClaimRow(*row);
    }
    open.finalWriteId = nextWriteId();
    open.retryDelay = firstRetryDelay;
    open.callback = std::move(callback);
    writeFinalRow(key);
}

void ClaimRegistry::writeFinalRow(const std::string& key)
{
    m_table.read({ key },
        [this, alive = Alive(m_alive), key](
            const std::vector<TableRow>& rows, std::optional<TableError> error) {
            if (alive.expired())
                return;
            if (error)
                return retryFinalRow(key);
            OpenClaim& open = m_open.at(key);
            const bool isOwn = !rows.empty() && rows.front().writeId == open.createWriteId;
            if (isOwn)
                return commitFinalRow(key, rows.front());
            // The deletion is complete if the row is absent. A delayed creation may still commit, so read it
            // again.
            const bool isDeleted = rows.empty() && !open.finalValue;
            if (isDeleted && open.retryDelay == firstRetryDelay)
                return retryFinalRow(key);
            finishClaim(key, isDeleted || (!rows.empty() && rows.front().writeId == open.finalWriteId));
        });
}

void ClaimRegistry::commitFinalRow(const std::string& key, const TableRow& row)
{
    const OpenClaim& open = m_open.at(key);
    m_table.commit({ open.finalWriteId, { { key, row.version } }, { { key, open.finalValue } } },
        [this, alive = Alive(m_alive), key](std::optional<TableError> error) {
            if (alive.expired())
                return;
            if (error) {
                retryFinalRow(key);
                return;
            }
            finishClaim(key, true);
            writePendingFinalRows();
        });
}

void ClaimRegistry::retryFinalRow(const std::string& key)
{
    OpenClaim& open = m_open.at(key);
    const Duration delay = std::exchange(open.retryDelay, std::min(2 * open.retryDelay, longestRetryDelay));
    if (open.callback)
        std::exchange(open.callback, nullptr)(false);
    open.retryTimer = m_scheduler.runAfter(delay, [this, alive = Alive(m_alive), key] {
        if (alive.expired())
            return;
        m_open.at(key).retryTimer = 0;
        writeFinalRow(key);
    });
}

void ClaimRegistry::writePendingFinalRows()
{
    std::vector<std::string> waiting;
    for (auto& [key, open] : m_open) {
        // The retry delay of a deletion leaves time for a delayed creation to commit.
        const bool isRemoval = !open.finalValue;
        if (open.retryTimer == 0 || isRemoval)
            continue;
        m_scheduler.cancel(std::exchange(open.retryTimer, 0));
        waiting.push_back(key);
    }
    for (const std::string& key : waiting)
        writeFinalRow(key);
}

void ClaimRegistry::finishClaim(const std::string& key, bool written)
{
    const DoneCallback callback = std::move(m_open.at(key).callback);
    m_open.erase(key);
    if (callback)
        callback(written);
}

std::string ClaimRegistry::nextWriteId()
{
    return m_self.value() + "/" + std::to_string(m_incarnation.value()) + "/claim/"
        + std::to_string(++m_lastWrite);
}

} // namespace lacewing
