#pragma once

#include "base/scheduler.h"

#include <functional>
#include <map>

namespace lacewing {

/// Model of an engine that batches continuously: every step gives each running request one token, and takes
/// longer with more requests and with more distinct adapters in the batch.
class BatchEngine {
public:
    /// @param onDone called with the request's number when its last token is out.
    BatchEngine(Scheduler& scheduler, std::function<void(int)> onDone);
    ~BatchEngine();
    BatchEngine(const BatchEngine&) = delete;
    BatchEngine& operator=(const BatchEngine&) = delete;

    /// Starts a request.
    ///
    /// @return time until its first token.
    Duration start(int request, int adapter, int promptTokens, int outputTokens);

    /// Drops all requests, as a restart does.
    ///
    /// @return the tokens that each of them still had to generate.
    std::map<int, int> stop();

    size_t running() const { return m_running.size(); }

    /// Time-weighted sums while at least one request ran, since the last call of resetSums().
    struct Sums {
        double busySeconds = 0;
        double batchSeconds = 0;
        double adapterSeconds = 0;
        double tokens = 0;
    };

    const Sums& sums();
    void resetSums();

private:
    struct Running {
        int adapter = 0;
        double remaining = 0;
        int outputTokens = 0;
    };

    double stepSeconds() const;
    void progress();
    void scheduleNext();
    void finishDue();

    Scheduler& m_scheduler;
    std::function<void(int)> m_onDone;
    std::map<int, Running> m_running;
    std::map<int, int> m_perAdapter;
    MonotonicTime m_progressedAt;
    TimerId m_timer = 0;
    Sums m_sums;
};

} // namespace lacewing
