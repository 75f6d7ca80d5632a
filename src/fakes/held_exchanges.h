#pragma once

#include "base/scheduler.h"
#include "transport/http_server.h"

#include <cstdint>
#include <map>
#include <memory>

namespace lacewing {

/// Keeps exchanges open without ever answering them, until their clients leave.
class HeldExchanges {
public:
    /// @param scheduler must outlive this object.
    explicit HeldExchanges(Scheduler& scheduler)
        : m_scheduler(scheduler)
    {
    }

    void hold(const std::shared_ptr<HttpExchange>& exchange)
    {
        if (!exchange->isOpen())
            return;
        const uint64_t number = m_next++;
        m_exchanges[number] = exchange;
        // The exchange must not be destroyed within its own callback.
        exchange->onClientLeft([this, number] {
            m_scheduler.runAfter(Duration(0), [this, number] { m_exchanges.erase(number); });
        });
    }

    size_t count() const { return m_exchanges.size(); }

private:
    Scheduler& m_scheduler;
    uint64_t m_next = 0;
    std::map<uint64_t, std::shared_ptr<HttpExchange>> m_exchanges;
};

} // namespace lacewing
