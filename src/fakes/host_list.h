#pragma once

#include "base/scheduler.h"
#include "fakes/lagged.h"
#include "fakes/table_store.h"

#include <nlohmann/json.hpp>

namespace lacewing {

/// The platform's list of live and leaving hosts: the session rows of the table as of some time ago.
class HostList {
public:
    /// @param scheduler must outlive the list.
    HostList(Scheduler& scheduler, Duration lag)
        : m_scheduler(scheduler)
        , m_lagged(lag)
    {
    }

    /// Notes the session rows; to be called after each commit.
    void observe(const TableStore& table);
    /// @return {"hosts":[{"id","address","state"}]} as it was known the lag ago.
    nlohmann::json show();

private:
    Scheduler& m_scheduler;
    Lagged<nlohmann::json> m_lagged;
};

} // namespace lacewing
