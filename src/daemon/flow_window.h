#pragma once

#include "transport/http_client.h"

#include <cstdint>
#include <memory>

namespace lacewing {

/// Response bytes that may be in flight to the entry before it has granted credit.
constexpr int64_t initialWindowBytes = 256 * 1024;

/// Flow control window of one response. Reading from the upstream is paused while the window is used up, so
/// that a slow caller doesn't make the entry buffer the whole response.
class FlowWindow {
public:
    /// Takes sent bytes out of the window and pauses the call when it is used up.
    void consume(size_t bytes, HttpClientCall& call)
    {
        m_bytes -= static_cast<int64_t>(bytes);
        if (m_bytes <= 0)
            call.pauseReading();
    }

    /// Adds credit from the entry and resumes the call if the window was used up.
    ///
    /// @param bytes the credit.
    /// @param call null if the call has not been sent yet.
    void add(int64_t bytes, HttpClientCall* call)
    {
        const bool wasClosed = m_bytes <= 0;
        m_bytes += bytes;
        if (wasClosed && m_bytes > 0 && call)
            call->resumeReading();
    }

private:
    int64_t m_bytes = initialWindowBytes;
};

} // namespace lacewing
