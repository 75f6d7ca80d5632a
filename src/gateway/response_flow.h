#pragma once

#include "gateway/response_memory.h"
#include "transport/http_client.h"

#include <functional>

namespace lacewing::gateway {

/// Pauses and resumes the reading of one response: it is read on while its memory is there. What a slow
/// caller has not taken is buffered as long as the process has memory for that.
///
/// Load pattern: callers that read slowly, and many large responses at once. An upstream cuts off a response
/// that remains unread for some seconds, so reading is paused for a slow caller only if memory is short, and
/// then not for long: callers that take nothing are disconnected first, and at last the caller itself.
class ResponseFlow : private ResponseMemory::Holder {
public:
    struct Handlers {
        /// The response must be given up for lack of memory.
        std::function<void()> onGivenUp;
        /// The caller reads too slowly for the memory that is left.
        std::function<void()> onCallerTooSlow;
    };

    /// Longest time for which the reading is paused for a slow caller.
    static constexpr Duration longestPause = std::chrono::seconds(2);

    /// @param memory must outlive the flow.
    ResponseFlow(ResponseMemory& memory, Handlers handlers);
    ~ResponseFlow() override;
    ResponseFlow(const ResponseFlow&) = delete;
    ResponseFlow& operator=(const ResponseFlow&) = delete;

    /// Begins with the response to a request that has been sent.
    ///
    /// @param call must stay valid until end().
    void begin(HttpClientCall& call);
    /// The call has ended. The memory of the response is kept.
    void end();
    /// The response is not needed any more.
    void release();

    /// @param bytes that the response takes in all until it can be forwarded.
    void needs(size_t bytes);
    /// @param isBehind whether the caller has much left to read.
    void setCallerBehind(bool isBehind);
    /// @param isHeld whether events that have arrived must not be passed on yet.
    void setHeld(bool isHeld);

private:
    void memoryGranted() override;
    void memoryRevoked() override;
    void update();
    /// @return whether the reading must wait for the caller.
    bool mustWaitForCaller() const;
    void checkSlowCallerLater();
    void checkSlowCaller();

    ResponseMemory& m_memory;
    Handlers m_handlers;
    HttpClientCall* m_call = nullptr;
    size_t m_reserved = 0;
    bool m_isWaiting = false;
    bool m_isCallerBehind = false;
    bool m_isHeld = false;
    bool m_isPaused = false;
    /// Runs while the reading waits for the caller.
    TimerId m_slowCallerTimer = 0;
    MonotonicTime m_slowCallerSince;
};

} // namespace lacewing::gateway
