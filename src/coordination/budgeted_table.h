#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "coordination/call_budget.h"
#include "state/table_service.h"

namespace lacewing {

/// Table service that enforces a call budget: calls beyond it fail with TableError::Throttled.
class BudgetedTable : public TableService {
public:
    /// All three references must outlive the object.
    BudgetedTable(TableService& table, Scheduler& scheduler, CallBudget& budget, CallPriority priority);

    void read(std::vector<std::string> keys, RowsCallback callback) override;
    void list(std::string prefix, RowsCallback callback) override;
    void commit(TableTransaction transaction, CommitCallback callback) override;

private:
    RowsCallback recording(RowsCallback callback);
    bool admit(const std::function<void()>& refuse);

    TableService& m_table;
    Scheduler& m_scheduler;
    CallBudget& m_budget;
    CallPriority m_priority;
    Lifetime m_lifetime;
};

} // namespace lacewing
