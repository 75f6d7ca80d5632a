#include "transport/event_loop.h"

#include <event2/event.h>

#include <csignal>
#include <ctime>
#include <vector>

namespace lacewing {

namespace {

struct EventDeleter {
    void operator()(event* handle) const { event_free(handle); }
};

struct EventBaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
};

using EventPointer = std::unique_ptr<event, EventDeleter>;

} // namespace

struct EventLoop::Implementation {
    struct Timer {
        Implementation* owner = nullptr;
        TimerId id = 0;
        EventPointer handle;
        std::function<void()> callback;
    };

    struct SignalHandler {
        EventPointer handle;
        std::function<void()> callback;
    };

    static void runTimer(evutil_socket_t, short, void* argument)
    {
        auto* timer = static_cast<Timer*>(argument);
        Implementation& owner = *timer->owner;
        // The node is taken out first, because the callback may set or cancel timers.
        const auto node = owner.timers.extract(timer->id);
        node.mapped()->callback();
    }

    static void runSignalHandler(evutil_socket_t, short, void* argument)
    {
        static_cast<SignalHandler*>(argument)->callback();
    }

    std::unique_ptr<event_base, EventBaseDeleter> base;
    TimerId nextTimer = 1;
    std::map<TimerId, std::unique_ptr<Timer>> timers;
    std::vector<std::unique_ptr<SignalHandler>> signalHandlers;
};

EventLoop::EventLoop()
    : m_implementation(std::make_unique<Implementation>())
{
    // Writing to a socket that the other end has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    m_implementation->base.reset(event_base_new_with_config(config));
    event_config_free(config);
}

EventLoop::~EventLoop() = default;

MonotonicTime EventLoop::now() const
{
    // CLOCK_BOOTTIME also counts the time for which the machine was suspended, so leases lapse in it.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

TimerId EventLoop::runAfter(Duration delay, std::function<void()> callback)
{
    auto timer = std::make_unique<Implementation::Timer>();
    timer->owner = m_implementation.get();
    timer->id = m_implementation->nextTimer++;
    timer->callback = std::move(callback);
    timer->handle.reset(evtimer_new(base(), &Implementation::runTimer, timer.get()));
    const auto microseconds
        = std::chrono::duration_cast<std::chrono::microseconds>(std::max(delay, Duration::zero())).count();
    constexpr int64_t microsecondsPerSecond = 1000000;
    const timeval timeout { microseconds / microsecondsPerSecond, microseconds % microsecondsPerSecond };
    evtimer_add(timer->handle.get(), &timeout);
    const TimerId id = timer->id;
    m_implementation->timers.emplace(id, std::move(timer));
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    m_implementation->timers.erase(timer);
}

void EventLoop::run()
{
    event_base_loop(base(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(base());
}

void EventLoop::onSignal(int signal, std::function<void()> callback)
{
    auto handler = std::make_unique<Implementation::SignalHandler>();
    handler->callback = std::move(callback);
    handler->handle.reset(evsignal_new(base(), signal, &Implementation::runSignalHandler, handler.get()));
    evsignal_add(handler->handle.get(), nullptr);
    m_implementation->signalHandlers.push_back(std::move(handler));
}

event_base* EventLoop::base() const
{
    return m_implementation->base.get();
}

} // namespace lacewing
