#include "coordination/budgeted_table.h"

#include <utility>

namespace lacewing {

namespace {

bool reachedTable(std::optional<TableError> error)
{
    return !error || *error == TableError::Conflict;
}

} // namespace

BudgetedTable::BudgetedTable(
    TableService& table, Scheduler& scheduler, CallBudget& budget, CallPriority priority)
    : m_table(table)
    , m_scheduler(scheduler)
    , m_budget(budget)
    , m_priority(priority)
{
}

void BudgetedTable::read(std::vector<std::string> keys, RowsCallback callback)
{
    if (admit([callback] { callback({}, TableError::Throttled); }))
        m_table.read(std::move(keys), recording(std::move(callback)));
}

void BudgetedTable::list(std::string prefix, RowsCallback callback)
{
    if (admit([callback] { callback({}, TableError::Throttled); }))
        m_table.list(std::move(prefix), recording(std::move(callback)));
}

void BudgetedTable::commit(TableTransaction transaction, CommitCallback callback)
{
    if (!admit([callback] { callback(TableError::Throttled); }))
        return;
    m_table.commit(
        std::move(transaction), m_lifetime.guard([this, callback](std::optional<TableError> error) {
            m_budget.recordAnswer(reachedTable(error));
            callback(error);
        }));
}

TableService::RowsCallback BudgetedTable::recording(RowsCallback callback)
{
    return m_lifetime.guard([this, callback = std::move(callback)](
                                const std::vector<TableRow>& rows, std::optional<TableError> error) {
        m_budget.recordAnswer(reachedTable(error));
        callback(rows, error);
    });
}

bool BudgetedTable::admit(const std::function<void()>& refuse)
{
    if (m_budget.take(m_priority))
        return true;
    m_scheduler.runAfter(Duration::zero(), m_lifetime.guard(refuse));
    return false;
}

} // namespace lacewing
