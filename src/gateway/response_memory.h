#pragma once

#include "base/memory_account.h"
#include "base/scheduler.h"

#include <functional>
#include <list>

namespace lacewing::gateway {

/// Hands out the memory that responses of upstreams may take until they can be forwarded.
///
/// Load pattern: many upstreams send large responses at once, or begin them and send no more. A response that
/// would exceed the memory of the process isn't read on until others have ended, in the order in which they
/// came to that point. Small responses go on at any time. If nothing ends, because those that have memory
/// make no progress, the one that has made none for the longest time is given up.
class ResponseMemory {
public:
    /// A response that arrives.
    class Holder {
    public:
        virtual ~Holder() = default;
        /// The memory that the holder waits for is there. It may read on.
        virtual void memoryGranted() = 0;
        /// The response is given up. The holder must release its memory, now or later.
        virtual void memoryRevoked() = 0;
    };

    struct Handlers {
        /// Responses wait: connections of callers that don't read what they are sent are to be closed.
        std::function<void()> onShortage;
    };

    /// A response up to this size needs not wait.
    static constexpr size_t smallResponseBytes = 16 * 1024;

    /// @param account must outlive this object.
    ResponseMemory(Scheduler& scheduler, MemoryAccount& account, Handlers handlers);
    ~ResponseMemory();
    ResponseMemory(const ResponseMemory&) = delete;
    ResponseMemory& operator=(const ResponseMemory&) = delete;

    /// Reserves memory for a response that makes progress.
    ///
    /// @param bytes that the response takes in all, with those that were reserved before.
    /// @return false if the holder must wait for memoryGranted() before it reads on.
    bool reserve(Holder& holder, size_t bytes);
    /// Returns a holder's memory. Does nothing if it has none and doesn't wait.
    void release(Holder& holder);
    size_t waitingCount() const;

private:
    struct Entry {
        Entry(Holder& holder, MemoryAccount& account, MonotonicTime now)
            : holder(&holder)
            , charge(&account)
            , progressed(now)
        {
        }

        Holder* holder;
        MemoryCharge charge;
        /// Bytes that the holder waits for; 0 if it doesn't.
        size_t wanted = 0;
        MonotonicTime progressed;
    };
    using Entries = std::list<Entry>;

    Entries::iterator find(const Holder& holder);
    Entries::iterator firstWaiting();
    /// @return the entry to be given up, if there is one: large, and without progress for too long.
    Entries::iterator stalled();
    void grantWaiting();
    void checkAfter(Duration delay);
    void check();

    Scheduler& m_scheduler;
    MemoryAccount& m_account;
    Handlers m_handlers;
    /// In the order in which they have begun to wait; those that don't wait come first.
    Entries m_entries;
    /// Earliest time at which a shortage is reported again.
    MonotonicTime m_nextShortage;
    TimerId m_timer = 0;
};

} // namespace lacewing::gateway
