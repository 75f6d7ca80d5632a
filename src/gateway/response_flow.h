#pragma once

#include "gateway/response_memory.h"
#include "transport/http_client.h"

#include <functional>

namespace lacewing::gateway {

/// Pauses and resumes the reading of one response: it is read on while its memory is there and the caller
/// takes what has been forwarded.
///
/// Load pattern: callers that read slowly, and many large responses at once.
class ResponseFlow : private ResponseMemory::Holder {
public:
    /// @param memory must outlive the flow.
    /// @param givenUp called when the response must be given up for lack of memory.
    ResponseFlow(ResponseMemory& memory, std::function<void()> givenUp);
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

    ResponseMemory& m_memory;
    std::function<void()> m_givenUp;
    HttpClientCall* m_call = nullptr;
    size_t m_reserved = 0;
    bool m_isWaiting = false;
    bool m_isCallerBehind = false;
    bool m_isHeld = false;
    bool m_isPaused = false;
};

} // namespace lacewing::gateway
