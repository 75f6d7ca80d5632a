#pragma once

#include "base/scheduler.h"

#include <map>
#include <memory>

struct event_base;

namespace lacewing {

/// The one event loop of a process, on libevent. All callbacks run on the thread that calls run().
class EventLoop : public Scheduler {
public:
    EventLoop();
    ~EventLoop() override;

    MonotonicTime now() const override;
    TimerId runAfter(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId timer) override;

    /// Runs until stop() is called.
    void run();
    /// Makes run() return after the current callback.
    void stop();
    /// Calls back on a signal, for example SIGTERM, on the loop's thread.
    void onSignal(int signal, std::function<void()> callback);

    /// @return the libevent base, for the transport classes.
    event_base* base() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewing
